package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

const simStep = 25 * time.Millisecond

// simCall is a call that the leaf may be running until a time.
type simCall struct {
	leaf  string
	until time.Duration
}

// simHost is a seat and its current process.
type simHost struct {
	name        string
	state       *State // nil while there is no process
	incarnation uint64
	rate        float64 // of the local clock
	frozenUntil time.Duration
	stopAt      time.Duration
	running     []simCall
}

func (h *simHost) local(now time.Duration) time.Duration {
	return time.Duration(float64(now)*h.rate) + time.Hour
}

// simBeat is a heartbeat in transit.
type simBeat struct {
	at   time.Duration
	to   int
	beat Heartbeat
}

// sim runs states over virtual time and counts the calls at each leaf.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	opts    Options
	doc     *document.Document
	hosts   []*simHost
	views   []View
	transit []simBeat
	cut     map[[2]int]bool
	loss    float64
	leaves  []string // in a fixed order, so that a seed repeats
	bounds  map[string]int
	running map[string]int
	idle    bool // makes no calls
}

// firstIncarnation has the size of a time in milliseconds.
const firstIncarnation = 1 << 40

// simInstances is the number of instances of each service.
const simInstances = 4

// simDocument has leaves of one, two and five slots.
func simDocument(instances int) *document.Document {
	doc := &document.Document{Revision: 1, DataCentres: []document.DataCentre{{Name: "dc0", Region: "r"}}}
	doc.Deployments = []document.Deployment{{Customer: "adom"}}
	for _, slots := range []int{1, 2, 5} {
		addService(doc, slots, instances, "holder")
	}
	return doc
}

func addService(doc *document.Document, slots, instances int, routing string) {
	s := document.Service{Name: fmt.Sprintf("s%d", slots), Leaf: document.LeafLimits{Slots: slots, Connections: 50}}
	s.Policy.Routing = routing
	for i := range instances {
		s.Instances = append(s.Instances, document.Instance{Name: fmt.Sprintf("i%d", i), DataCentre: "dc0", Leaves: []document.Leaf{{Name: "a"}}})
	}
	doc.Deployments[0].Services = append(doc.Deployments[0].Services, s)
}

func newSim(seed uint64, hosts int, opts Options) *sim {
	return newSimWith(simDocument(simInstances), seed, hosts, opts)
}

func newSimWith(doc *document.Document, seed uint64, hosts int, opts Options) *sim {
	s := &sim{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		opts:   opts,
		doc:    doc,
		cut:    make(map[[2]int]bool),
		bounds: make(map[string]int),
	}
	for _, service := range s.doc.Deployments[0].Services {
		for _, i := range service.Instances {
			id := placement.LeafID("adom", service.Name, i.Name, "a")
			s.leaves = append(s.leaves, id)
			s.bounds[id] = service.Leaf.Slots
		}
	}
	var all []int
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("host-%d", i), incarnation: firstIncarnation, rate: 0.998 + 0.004*s.rng.Float64()}
		s.hosts = append(s.hosts, h)
		all = append(all, i)
	}
	s.addView(all)
	for i := range hosts {
		s.startProcess(i, 0)
	}
	return s
}

// addView publishes a host list.
func (s *sim) addView(members []int) {
	v := View{Revision: uint64(len(s.views) + 1)}
	for _, i := range members {
		v.Hosts = append(v.Hosts, placement.Host{Name: s.hosts[i].name, Cell: "c", Region: "r", DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	s.views = append(s.views, v)
}

// startProcess starts a process that reads a host list of some age.
func (s *sim) startProcess(i, age int) {
	h := s.hosts[i]
	h.incarnation++
	h.frozenUntil, h.stopAt = 0, 0
	opts := s.opts
	opts.Host, opts.Cell, opts.Incarnation = h.name, "c", h.incarnation
	state, err := New(opts, h.local(s.now))
	if err != nil {
		panic(err)
	}
	h.state = state
	state.SetDocument(h.local(s.now), s.doc)
	s.setView(i, max(0, len(s.views)-1-age))
}

func (s *sim) setView(i, view int) {
	h := s.hosts[i]
	if err := h.state.SetView(h.local(s.now), s.views[view]); err != nil {
		panic(err)
	}
}

// kill ends a process. Its calls run on at the leaves unless ExitEndsCalls.
func (s *sim) kill(i int) {
	s.hosts[i].state = nil
	if s.opts.ExitEndsCalls {
		s.hosts[i].running = nil
	}
}

// refuse reports to a host that the process of another one has ended.
func (s *sim) refuse(at, ended int) {
	if h := s.hosts[at]; s.awake(h) && s.hosts[ended].state == nil {
		h.state.ReportEnded(h.local(s.now), s.hosts[ended].name, s.hosts[ended].incarnation)
	}
}

func (s *sim) awake(h *simHost) bool { return h.state != nil && s.now >= h.frozenUntil }

// split cuts all heartbeats between two groups of hosts.
func (s *sim) split(group func(i int) bool) {
	for i := range s.hosts {
		for j := range s.hosts {
			if group(i) != group(j) {
				s.cut[[2]int{i, j}] = true
			}
		}
	}
}

// step advances time and returns an error if a leaf has too many calls.
func (s *sim) step() error {
	s.now += simStep
	s.deliver()
	for i, h := range s.hosts {
		if s.awake(h) {
			s.send(i, h.state.Tick(h.local(s.now)))
		}
	}
	s.endCalls()
	if !s.idle {
		for _, h := range s.hosts {
			s.beginCalls(h)
		}
	}
	return s.check()
}

func (s *sim) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) deliver() {
	var later []simBeat
	for _, b := range s.transit {
		h := s.hosts[b.to]
		switch {
		case b.at > s.now || (h.state != nil && !s.awake(h)):
			later = append(later, b)
		case h.state != nil:
			h.state.Receive(h.local(s.now), b.beat)
		}
	}
	s.transit = later
}

func (s *sim) send(from int, out []Outgoing) {
	for _, o := range out {
		to := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == o.To })
		if s.cut[[2]int{from, to}] || s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
		if s.loss > 0 && s.rng.IntN(20) == 0 {
			delay = time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
		s.transit = append(s.transit, simBeat{s.now + delay, to, o.Heartbeat})
	}
}

func (s *sim) endCalls() {
	s.running = make(map[string]int)
	for _, h := range s.hosts {
		var on []simCall
		for _, c := range h.running {
			if s.now < c.until {
				on = append(on, c)
				s.running[c.leaf]++
			} else if h.state != nil {
				h.state.End(c.leaf)
			}
		}
		h.running = on
	}
}

// beginCalls starts as many calls as the state permits, most of them as long as
// it permits.
func (s *sim) beginCalls(h *simHost) {
	if !s.awake(h) {
		return
	}
	for _, leaf := range s.leaves {
		for {
			a, ok := h.state.TryBegin(h.local(s.now), leaf)
			if !ok {
				break
			}
			if a.HandlesCold {
				h.state.MarkLeaf(leaf, 1, true)
			}
			length := a.CallUntil - h.local(s.now)
			if s.rng.IntN(3) == 0 {
				length = time.Duration(s.rng.Int64N(int64(length)))
			}
			h.running = append(h.running, simCall{leaf, s.now + length})
			s.running[leaf]++
		}
	}
}

func (s *sim) check() error {
	for leaf, bound := range s.bounds {
		if s.running[leaf] > bound {
			return fmt.Errorf("at %v leaf %s runs %d calls, bound %d", s.now, leaf, s.running[leaf], bound)
		}
	}
	return nil
}

// usable returns the slots of a leaf that awake hosts may use now.
func (s *sim) usable(leaf string) int {
	total := 0
	for _, h := range s.hosts {
		if s.awake(h) {
			total += h.state.Allowed(h.local(s.now), leaf).Slots
		}
	}
	return total
}

// least returns the least part of a leaf's slots that is usable.
func (s *sim) least() float64 {
	least := 1.0
	for leaf, bound := range s.bounds {
		least = min(least, float64(s.usable(leaf))/float64(bound))
	}
	return least
}
