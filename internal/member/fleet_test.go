package member

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	step       = 20 * time.Millisecond
	frameBytes = 8
)

type node struct {
	self               Member
	list               *List
	tickOffset         int
	paused             bool
	inbox              []delivery
	highestIncarnation map[string]uint64
	sent               int
	messages           int
	// deathsSeen counts how often a member became dead in the view of the node.
	deathsSeen int
	// suspicionsSeen counts how often a member became suspect in the view of the node.
	suspicionsSeen int
}

type delivery struct {
	from string
	msg  Message
}

type packet struct {
	from, to *node
	msg      Message
}

// fleet runs Lists in steps of virtual time over a simulated lossy network.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	steps     int
	nodes     []*node
	byAddress map[string]*node
	packets   []packet
	loss      float64
	// blocked reports whether messages from one node to another are lost.
	blocked func(from, to *node) bool
	measure bool
	// hosts is the host list that each starting node receives.
	hosts      []Host
	violations []string
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), byAddress: make(map[string]*node)}
	f.blocked = func(_, _ *node) bool { return false }
	for i := range size {
		f.add(fmt.Sprintf("host-%03d", i), fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250))
	}
	return f
}

// add adds a node with the given name and address, and starts its process.
func (f *fleet) add(name, address string) *node {
	self := Member{Name: name, Address: address, DataCentre: "tema", Region: "accra", Cell: "c1"}
	n := &node{self: self, tickOffset: f.rng.IntN(5)}
	f.nodes = append(f.nodes, n)
	f.start(n)
	return n
}

func (f *fleet) start(n *node) {
	n.self.Incarnation = uint64(f.now) + 1
	n.highestIncarnation = make(map[string]uint64)
	n.list = New(Options{Seeds: []string{f.nodes[0].self.Address, f.nodes[min(1, len(f.nodes)-1)].self.Address}}, n.self, f.now, f.rng)
	n.list.SetHosts(f.hosts)
	n.paused, n.inbox = false, nil
	f.byAddress[n.self.Address] = n
}

func (f *fleet) stop(n *node) { n.list = nil }

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		f.steps++
		packets := f.packets
		f.packets = nil
		for _, m := range packets {
			f.deliver(m)
		}
		for _, n := range f.nodes {
			if n.list != nil && !n.paused && (f.steps+n.tickOffset)%5 == 0 {
				f.send(n, n.list.Tick(f.now))
				f.recordChanges(n)
			}
		}
	}
}

func (f *fleet) deliver(m packet) {
	if m.to.list == nil {
		return
	}
	if m.to.paused {
		m.to.inbox = append(m.to.inbox, delivery{m.from.self.Address, m.msg})
		return
	}
	f.send(m.to, m.to.list.Receive(f.now, m.from.self.Address, m.msg))
	f.recordChanges(m.to)
}

func (f *fleet) resume(n *node) {
	n.paused = false
	for _, d := range n.inbox {
		f.send(n, n.list.Receive(f.now, d.from, d.msg))
	}
	n.inbox = nil
}

// recordChanges counts the deaths and suspicions in the view of a node. It records a violation
// if the node goes back to an older incarnation of a member.
func (f *fleet) recordChanges(n *node) {
	for _, m := range n.list.Changes() {
		if m.Incarnation < n.highestIncarnation[m.Name] {
			f.violations = append(f.violations, fmt.Sprintf("%s went back to an older incarnation of %s", n.self.Name, m.Name))
		}
		n.highestIncarnation[m.Name] = m.Incarnation
		if m.State == Dead {
			n.deathsSeen++
		}
		if m.State == Suspect {
			n.suspicionsSeen++
		}
	}
}

func (f *fleet) send(n *node, out []Outgoing) {
	for _, o := range out {
		if f.measure || len(f.nodes) <= 6 {
			var size int
			size, o.Msg = recode(o.Msg)
			n.sent += size + frameBytes
		}
		n.messages++
		to, ok := f.byAddress[o.To]
		if !ok || f.rng.Float64() < f.loss || f.blocked(n, to) {
			continue
		}
		f.packets = append(f.packets, packet{from: n, to: to, msg: o.Msg})
	}
}

// recode returns the encoded size of a message and the message as decoded.
func recode(msg Message) (int, Message) {
	encoded, err := msgpack.Marshal(msg)
	if err != nil {
		panic(err)
	}
	decoded := reflect.New(reflect.TypeOf(msg).Elem()).Interface().(Message)
	if err := msgpack.Unmarshal(encoded, decoded); err != nil {
		panic(err)
	}
	return len(encoded), decoded
}

// converged reports whether, in the view of every running node, exactly the running nodes
// are alive, each in its current incarnation.
func (f *fleet) converged() bool {
	running := 0
	for _, n := range f.nodes {
		if n.list != nil {
			running++
		}
	}
	for _, n := range f.nodes {
		if n.list != nil && (len(n.list.alive) != running-1 || !f.allRunning(n)) {
			return false
		}
	}
	return true
}

func (f *fleet) allRunning(n *node) bool {
	for _, p := range f.nodes {
		if p == n || p.list == nil {
			continue
		}
		e, ok := n.list.table[p.self.Name]
		if !ok || e.State >= Suspect || e.Incarnation != p.self.Incarnation {
			return false
		}
	}
	return true
}

// timeToConverge runs the fleet until it has converged or the limit has passed, and returns
// the virtual time that passed.
func (f *fleet) timeToConverge(limit time.Duration) time.Duration {
	return f.timeUntil(limit, f.converged)
}

func (f *fleet) timeUntil(limit time.Duration, done func() bool) time.Duration {
	from := f.now
	for !done() && f.now-from < limit {
		f.run(5 * step)
	}
	return f.now - from
}

func (f *fleet) totalDeaths() (total int) {
	for _, n := range f.nodes {
		total += n.deathsSeen
	}
	return total
}

// allSee returns a function that reports whether a node is in the given state in the view of
// all other nodes.
func (f *fleet) allSee(subject *node, state State) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n != subject && n.list.table[subject.self.Name].State != state {
				return false
			}
		}
		return true
	}
}
