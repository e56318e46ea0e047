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
	self     Member
	list     *List
	offset   int
	paused   bool
	inbox    []delivery
	highest  map[string]uint64
	sent     int
	messages int
	// dead counts the members that the node came to hold for dead.
	dead int
	// suspected counts the suspicions that the node took.
	suspected int
}

type delivery struct {
	from string
	msg  Message
}

type inFlight struct {
	from, to *node
	msg      Message
}

// fleet runs Lists over virtual time in steps over a lossy network.
type fleet struct {
	rng    *rand.Rand
	now    time.Duration
	steps  int
	nodes  []*node
	at     map[string]*node
	flight []inFlight
	loss   float64
	// cut reports whether messages from one node to another are lost.
	cut     func(from, to *node) bool
	measure bool
	// hosts is the host list that each starting node receives.
	hosts  []Host
	faults []string
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), at: make(map[string]*node)}
	f.cut = func(_, _ *node) bool { return false }
	for i := range size {
		f.add(fmt.Sprintf("host-%03d", i), fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250))
	}
	return f
}

// add starts a process of the named host at an address.
func (f *fleet) add(name, address string) *node {
	self := Member{Name: name, Address: address, DataCentre: "tema", Region: "accra", Cell: "c1"}
	n := &node{self: self, offset: f.rng.IntN(5)}
	f.nodes = append(f.nodes, n)
	f.start(n)
	return n
}

func (f *fleet) start(n *node) {
	n.self.Incarnation = uint64(f.now) + 1
	n.highest = make(map[string]uint64)
	n.list = New(Options{Seeds: []string{f.nodes[0].self.Address, f.nodes[min(1, len(f.nodes)-1)].self.Address}}, n.self, f.now, f.rng)
	n.list.SetHosts(f.hosts)
	n.paused, n.inbox = false, nil
	f.at[n.self.Address] = n
}

func (f *fleet) stop(n *node) { n.list = nil }

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		f.steps++
		flight := f.flight
		f.flight = nil
		for _, m := range flight {
			f.deliver(m)
		}
		for _, n := range f.nodes {
			if n.list != nil && !n.paused && (f.steps+n.offset)%5 == 0 {
				f.send(n, n.list.Tick(f.now))
				f.note(n)
			}
		}
	}
}

func (f *fleet) deliver(m inFlight) {
	if m.to.list == nil {
		return
	}
	if m.to.paused {
		m.to.inbox = append(m.to.inbox, delivery{m.from.self.Address, m.msg})
		return
	}
	f.send(m.to, m.to.list.Receive(f.now, m.from.self.Address, m.msg))
	f.note(m.to)
}

func (f *fleet) wake(n *node) {
	n.paused = false
	for _, d := range n.inbox {
		f.send(n, n.list.Receive(f.now, d.from, d.msg))
	}
	n.inbox = nil
}

// note checks that no node goes back to an older incarnation.
func (f *fleet) note(n *node) {
	for _, m := range n.list.Changes() {
		if m.Incarnation < n.highest[m.Name] {
			f.faults = append(f.faults, fmt.Sprintf("%s went back to an older %s", n.self.Name, m.Name))
		}
		n.highest[m.Name] = m.Incarnation
		if m.State == Dead {
			n.dead++
		}
		if m.State == Suspect {
			n.suspected++
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
		to, ok := f.at[o.To]
		if !ok || f.rng.Float64() < f.loss || f.cut(n, to) {
			continue
		}
		f.flight = append(f.flight, inFlight{from: n, to: to, msg: o.Msg})
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

// agreed reports whether every running node holds exactly the running nodes
// for alive.
func (f *fleet) agreed() bool {
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

// timeToAgree runs until all agree or the limit has passed.
func (f *fleet) timeToAgree(limit time.Duration) time.Duration {
	return f.timeUntil(limit, f.agreed)
}

func (f *fleet) timeUntil(limit time.Duration, done func() bool) time.Duration {
	from := f.now
	for !done() && f.now-from < limit {
		f.run(5 * step)
	}
	return f.now - from
}

func (f *fleet) deadSeen() (total int) {
	for _, n := range f.nodes {
		total += n.dead
	}
	return total
}

// seen reports whether all others hold the node to be in the state.
func (f *fleet) seen(of *node, state State) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n != of && n.list.table[of.self.Name].State != state {
				return false
			}
		}
		return true
	}
}
