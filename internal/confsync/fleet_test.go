package confsync

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const frameBytes = 8

// document returns bytes of a revision; the tag makes other bytes.
func document(revision uint64, tag string, size int) []byte {
	head := fmt.Sprintf("%d %s\n", revision, tag)
	return append([]byte(head), bytes.Repeat([]byte("x"), size)...)
}

func check(data []byte) (Identity, error) {
	number, rest, _ := bytes.Cut(data, []byte(" "))
	revision, err := strconv.ParseUint(string(number), 10, 64)
	if err != nil {
		return Identity{}, err
	}
	if bytes.HasPrefix(rest, []byte("bad")) {
		return Identity{}, errors.New("document is bad")
	}
	sum := sha256.Sum256(data)
	return NewIdentity(revision, hex.EncodeToString(sum[:])), nil
}

// headDiffer replaces the first line.
type headDiffer struct{}

func (headDiffer) Delta(_, to []byte) []byte {
	head, _, _ := bytes.Cut(to, []byte("\n"))
	return head
}

func (headDiffer) Apply(from, delta []byte) ([]byte, error) {
	_, tail, _ := bytes.Cut(from, []byte("\n"))
	return slices.Concat(delta, []byte("\n"), tail), nil
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type node struct {
	self     Peer
	syncer   *Syncer
	accepted []Accepted
	rejected []Rejected
	// heldAtStart holds the revisions of the ready peers reachable at start. A
	// peer that restarts or is cut off before the node is ready drops out.
	heldAtStart map[*node]uint64
	bytes       int
	fault       fault
}

// fault is how reads of a node fail.
type fault int

const (
	refused fault = iota + 1
	silent
)

type watch struct {
	node *node
	read Read
}

// fleet runs Syncers over virtual time with a service and a lossy network.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	seq       int
	events    eventHeap
	nodes     []*node
	byAddress map[string]*node
	loss      float64
	side      map[string]int // nodes of different sides don't hear each other
	held      []byte
	down      bool
	watches   []watch
	reads     []time.Duration
	// records are what the members were when they were last refreshed.
	records []Peer
	faults  []string
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), side: make(map[string]int), byAddress: make(map[string]*node)}
	for i := range size {
		name := fmt.Sprintf("h%d", i)
		n := &node{self: Peer{Name: name, Address: name, DataCentre: fmt.Sprintf("dc%d", i%3)}}
		f.nodes = append(f.nodes, n)
		f.byAddress[name] = n
	}
	f.after(time.Second, f.refreshMembers)
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, run: run})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) connected(a, b *node) bool { return f.side[a.self.Name] == f.side[b.self.Name] }

// cut moves a node to another side of a partition.
func (f *fleet) cut(n *node) {
	f.side[n.self.Name] = 1
	n.heldAtStart = nil
	for _, p := range f.nodes {
		delete(p.heldAtStart, n)
	}
}

func (f *fleet) start(n *node) {
	n.self.Incarnation++
	n.heldAtStart = make(map[*node]uint64)
	for _, p := range f.nodes {
		delete(p.heldAtStart, n)
		if p != n && p.syncer != nil && p.syncer.Ready() && f.connected(p, n) {
			n.heldAtStart[p] = p.syncer.Identity().Revision
		}
	}
	n.accepted, n.rejected = nil, nil
	s := New(Options{Blob: "config", Self: n.self, Check: check, Differ: headDiffer{}, FleetSize: len(f.nodes)}, f.now, f.rng)
	n.syncer = s
	f.after(time.Duration(f.rng.Int64N(int64(TickInterval))), func() { f.tick(n, s) })
	f.after(300*time.Millisecond, func() { f.members(n) })
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		f.start(n)
	}
}

func (f *fleet) tick(n *node, s *Syncer) {
	if n.syncer != s {
		return
	}
	f.act(n, s.Tick(f.now))
	f.after(TickInterval, func() { f.tick(n, s) })
}

func (f *fleet) refreshMembers() {
	f.after(time.Second, f.refreshMembers)
	var records []Peer
	for _, n := range f.nodes {
		record := n.self
		record.DataCentre = strconv.Itoa(f.side[n.self.Name])
		if n.syncer != nil {
			record.Ready, record.Revision = n.syncer.Ready(), n.syncer.Identity().Revision
		}
		records = append(records, record)
	}
	if slices.Equal(records, f.records) {
		return
	}
	f.records = records
	for _, n := range f.nodes {
		f.members(n)
	}
}

func (f *fleet) members(n *node) {
	if n.syncer == nil {
		return
	}
	var members []Peer
	for _, p := range f.nodes {
		if p != n && p.syncer != nil && f.connected(p, n) {
			m := p.self
			m.Ready, m.Revision = p.syncer.Ready(), p.syncer.Identity().Revision
			members = append(members, m)
		}
	}
	f.act(n, n.syncer.MembersChanged(f.now, members))
}

func (f *fleet) act(n *node, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			f.send(n, a)
		case Read:
			f.read(watch{node: n, read: a})
		case Accepted:
			if k := len(n.accepted); k > 0 && a.Identity.Revision <= n.accepted[k-1].Identity.Revision {
				f.faults = append(f.faults, fmt.Sprintf("%s went back to %s", n.self.Name, a.Identity))
			}
			n.accepted = append(n.accepted, a)
		case BecameReady:
			for p, held := range n.heldAtStart {
				if a.Identity.Revision < held {
					f.faults = append(f.faults, fmt.Sprintf("%s serves %s, %s had %d", n.self.Name, a.Identity, p.self.Name, held))
				}
			}
			n.heldAtStart = nil
		case Rejected:
			n.rejected = append(n.rejected, a)
		}
	}
}

func (f *fleet) send(n *node, a Send) {
	encoded, err := msgpack.Marshal(a.Msg)
	if err != nil {
		panic(err)
	}
	n.bytes += len(encoded) + frameBytes
	decoded := reflect.New(reflect.TypeOf(a.Msg).Elem()).Interface().(Message)
	if err := msgpack.Unmarshal(encoded, decoded); err != nil {
		panic(err)
	}
	if f.rng.Float64() < f.loss {
		return
	}
	delay := time.Millisecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	f.after(delay, func() {
		p := f.byAddress[a.To]
		if p.syncer != nil && f.connected(n, p) {
			f.act(p, p.syncer.Receive(f.now, n.self.Address, decoded))
		}
	})
}

func (f *fleet) read(w watch) {
	f.reads = append(f.reads, f.now)
	if w.node.fault == silent {
		return
	}
	if f.down || w.node.fault == refused {
		f.after(time.Millisecond, func() { f.answer(w, nil, errors.New("service is down")) })
		return
	}
	if id, _ := check(f.held); id.Revision > w.read.After || w.read.Wait == 0 || f.revision() > w.read.After {
		f.after(time.Millisecond, func() { f.answer(w, f.held, nil) })
		return
	}
	f.watches = append(f.watches, w)
	f.after(w.read.Wait, func() { f.answer(w, f.held, nil) })
}

func (f *fleet) revision() uint64 {
	number, _, _ := bytes.Cut(f.held, []byte(" "))
	revision, _ := strconv.ParseUint(string(number), 10, 64)
	return revision
}

func (f *fleet) answer(w watch, body []byte, err error) {
	if w.node.syncer == nil {
		return
	}
	if f.revision() <= w.read.After {
		body = nil
	}
	result := ReadResult{ID: w.read.ID, Revision: f.revision(), Body: body, Err: err}
	f.act(w.node, w.node.syncer.ReadDone(f.now, result))
}

// publish makes the service hold the bytes and answers the waiting watches.
func (f *fleet) publish(data []byte) {
	f.held = data
	watches := f.watches
	f.watches = nil
	for _, w := range watches {
		f.after(time.Millisecond, func() { f.answer(w, f.held, nil) })
	}
}

// inForce returns how many running nodes are ready with the revision.
func (f *fleet) inForce(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.syncer != nil && n.syncer.Ready() && n.syncer.Identity().Revision == revision {
			count++
		}
	}
	return count
}

// timeToAll runs until all nodes have the revision or the limit has passed.
func (f *fleet) timeToAll(revision uint64, limit time.Duration) time.Duration {
	from := f.now
	for f.inForce(revision) < len(f.nodes) && f.now-from < limit {
		f.run(10 * time.Millisecond)
	}
	return f.now - from
}

// greatestReadRate returns the greatest number of reads in one second.
func (f *fleet) greatestReadRate() int {
	greatest, first := 0, 0
	for i := range f.reads {
		for f.reads[i]-f.reads[first] >= time.Second {
			first++
		}
		greatest = max(greatest, i-first+1)
	}
	return greatest
}
