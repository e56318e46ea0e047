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

// document returns a document of a revision. Another tag gives other bytes.
func document(revision uint64, tag string, size int) []byte {
	head := fmt.Sprintf("%d %s\n", revision, tag)
	return append([]byte(head), bytes.Repeat([]byte("x"), size)...)
}

// check rejects a document whose tag starts with "bad".
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

// headDiffer makes deltas that replace the first line.
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
	// peerRevisionsAtStart holds the revisions of the peers that were ready and
	// reachable when the node started. A peer that restarts or is isolated before the
	// node is ready is removed.
	peerRevisionsAtStart map[*node]uint64
	bytesSent            int
	readFault            readFault
	// linkBusyUntil is when the node's link has sent all that it has been given.
	linkBusyUntil time.Duration
}

// readFault determines how the reads of a node fail.
type readFault int

const (
	readFails readFault = iota + 1
	readHangs
)

type watch struct {
	node *node
	read Read
}

// fleet simulates Syncers in virtual time with a service and a lossy network.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	seq       int
	events    eventHeap
	nodes     []*node
	byAddress map[string]*node
	loss      float64
	// linkRate is the rate of a node's link in bytes per second, or zero for no limit.
	linkRate int
	// partition maps a node name to its side of the network partition. Nodes of
	// different sides can't reach each other.
	partition   map[string]int
	serviceBody []byte
	serviceDown bool
	watches     []watch
	reads       []time.Duration
	// memberRecords are the membership records at the last refresh.
	memberRecords []Peer
	violations    []string
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), partition: make(map[string]int), byAddress: make(map[string]*node)}
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

func (f *fleet) connected(a, b *node) bool {
	return f.partition[a.self.Name] == f.partition[b.self.Name]
}

// isolate moves a node to the other side of the partition.
func (f *fleet) isolate(n *node) {
	f.partition[n.self.Name] = 1
	n.peerRevisionsAtStart = nil
	for _, p := range f.nodes {
		delete(p.peerRevisionsAtStart, n)
	}
}

func (f *fleet) start(n *node) {
	n.self.Incarnation++
	n.peerRevisionsAtStart = make(map[*node]uint64)
	for _, p := range f.nodes {
		delete(p.peerRevisionsAtStart, n)
		if p != n && p.syncer != nil && p.syncer.Ready() && f.connected(p, n) {
			n.peerRevisionsAtStart[p] = p.syncer.Identity().Revision
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
	f.perform(n, s.Tick(f.now))
	f.after(TickInterval, func() { f.tick(n, s) })
}

func (f *fleet) refreshMembers() {
	f.after(time.Second, f.refreshMembers)
	var memberRecords []Peer
	for _, n := range f.nodes {
		record := n.self
		record.DataCentre = strconv.Itoa(f.partition[n.self.Name])
		if n.syncer != nil {
			record.Ready, record.Revision = n.syncer.Ready(), n.syncer.Identity().Revision
		}
		memberRecords = append(memberRecords, record)
	}
	if slices.Equal(memberRecords, f.memberRecords) {
		return
	}
	f.memberRecords = memberRecords
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
	f.perform(n, n.syncer.MembersChanged(f.now, members))
}

func (f *fleet) perform(n *node, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			f.send(n, a)
		case Read:
			f.read(watch{node: n, read: a})
		case Accepted:
			if k := len(n.accepted); k > 0 && a.Identity.Revision <= n.accepted[k-1].Identity.Revision {
				f.violations = append(f.violations, fmt.Sprintf("%s went back to %s", n.self.Name, a.Identity))
			}
			n.accepted = append(n.accepted, a)
		case BecameReady:
			for p, held := range n.peerRevisionsAtStart {
				if a.Identity.Revision < held {
					f.violations = append(f.violations, fmt.Sprintf("%s serves %s, %s had %d", n.self.Name, a.Identity, p.self.Name, held))
				}
			}
			n.peerRevisionsAtStart = nil
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
	n.bytesSent += len(encoded) + frameBytes
	decoded := reflect.New(reflect.TypeOf(a.Msg).Elem()).Interface().(Message)
	if err := msgpack.Unmarshal(encoded, decoded); err != nil {
		panic(err)
	}
	if f.rng.Float64() < f.loss {
		return
	}
	delay := time.Millisecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	if f.linkRate > 0 {
		n.linkBusyUntil = max(n.linkBusyUntil, f.now) + time.Duration(len(encoded)+frameBytes)*time.Second/time.Duration(f.linkRate)
		delay += n.linkBusyUntil - f.now
	}
	f.after(delay, func() {
		p := f.byAddress[a.To]
		if p.syncer != nil && f.connected(n, p) {
			f.perform(p, p.syncer.Receive(f.now, n.self.Address, decoded))
		}
	})
}

func (f *fleet) read(w watch) {
	f.reads = append(f.reads, f.now)
	if w.node.readFault == readHangs {
		return
	}
	if f.serviceDown || w.node.readFault == readFails {
		f.after(time.Millisecond, func() { f.answer(w, nil, errors.New("service is down")) })
		return
	}
	if id, _ := check(f.serviceBody); id.Revision > w.read.After || w.read.Wait == 0 || f.revision() > w.read.After {
		f.after(time.Millisecond, func() { f.answer(w, f.serviceBody, nil) })
		return
	}
	f.watches = append(f.watches, w)
	f.after(w.read.Wait, func() { f.answer(w, f.serviceBody, nil) })
}

func (f *fleet) revision() uint64 {
	number, _, _ := bytes.Cut(f.serviceBody, []byte(" "))
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
	f.perform(w.node, w.node.syncer.ReadDone(f.now, result))
}

// publish sets the document of the service and answers the waiting reads.
func (f *fleet) publish(data []byte) {
	f.serviceBody = data
	watches := f.watches
	f.watches = nil
	for _, w := range watches {
		f.after(time.Millisecond, func() { f.answer(w, f.serviceBody, nil) })
	}
}

// countReady returns the number of running nodes that are ready at the revision.
func (f *fleet) countReady(revision uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.syncer != nil && n.syncer.Ready() && n.syncer.Identity().Revision == revision {
			count++
		}
	}
	return count
}

// converge runs until all nodes are ready at the revision or the limit has passed.
// It returns the elapsed time.
func (f *fleet) converge(revision uint64, limit time.Duration) time.Duration {
	from := f.now
	for f.countReady(revision) < len(f.nodes) && f.now-from < limit {
		f.run(10 * time.Millisecond)
	}
	return f.now - from
}

// maxReadRate returns the maximum number of reads within one second.
func (f *fleet) maxReadRate() int {
	highest, first := 0, 0
	for i := range f.reads {
		for f.reads[i]-f.reads[first] >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
