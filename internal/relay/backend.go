package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/budget"
	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

const (
	// repeatUse is the part of the shared budget of repeats that is used; the rest
	// is room for requests that are counted in another window.
	repeatUse = 0.9
	// startUse is the part of a node's number of repeats that a new process uses
	// for the length of the window, since the process before it may have used its
	// own just now.
	startUse = 0.4
	// hedgeReserve is the number of repeats that hedges leave to retries.
	hedgeReserve = 0.5
)

// Options bound what a node may do to leaves. The nodes share each bound.
type Options struct {
	DataCentre string
	// RetryBudgetRatio and RepeatSlack bound the arrivals beyond the first of each
	// request at a service: a share of the requests for it, plus a number, in
	// RepeatWindow.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	RetryWindow      time.Duration
	// ColdShare and ColdSlack bound the requests in a second at a leaf in its cold
	// start: its own rate times a share, plus a number.
	ColdShare float64
	ColdSlack float64
	// AnswerBytes bounds the bodies of leaves' answers that the node holds; zero stands
	// for leafconn.DefaultMemory.
	AnswerBytes int64
}

// Backends holds the leaves of all services with their connections and budgets.
type Backends struct {
	options Options
	logger  *zap.Logger
	start   time.Time
	memory  *leafconn.Memory
	fleet   atomic.Pointer[Fleet]
	byName  atomic.Pointer[map[string]*backend]
	// settled is set once the node has had time to learn of its peers.
	settled atomic.Bool
	// latest returns the view of the catalog. It is called with mu held, so that of
	// updates at the same time none brings an older view back.
	latest func() *catalog.View
	// onEnded takes the end of a leaf with the contents that it had to run.
	onEnded func(service, leaf, proof string, contents []quarantine.Sent)
	// mu serializes updates and guards view, the last one taken.
	mu   sync.Mutex
	view *catalog.View
}

// backend is one service.
type backend struct {
	name  string
	owner *Backends
	// mu guards the fields below.
	mu      sync.Mutex
	group   *leafpick.Group
	sharers *leafpick.Fleet
	part    float64
	pools   map[string]*leafPool
	repeats *budget.Window
}

// NewBackends returns backends without services. latest returns the view of the catalog.
func NewBackends(o Options, fleet *Fleet, latest func() *catalog.View, logger *zap.Logger) *Backends {
	b := &Backends{
		options: o, latest: latest, logger: logger, start: time.Now(), memory: leafconn.NewMemory(o.AnswerBytes),
		onEnded: func(string, string, string, []quarantine.Sent) {},
	}
	b.fleet.Store(fleet)
	b.byName.Store(&map[string]*backend{})
	return b
}

func (b *Backends) now() time.Duration { return time.Since(b.start) }

func (b *Backends) get(service string) *backend { return (*b.byName.Load())[service] }

// SetFleet takes the nodes that share the bounds. A node that is suspected or cleared
// changes nothing.
func (b *Backends) SetFleet(fleet *Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latest() == b.view && fleet.equal(b.fleet.Load()) {
		return
	}
	b.fleet.Store(fleet)
	b.update()
}

// MarkPeersKnown tells that the peers known by now are those that share the bounds.
func (b *Backends) MarkPeersKnown() {
	b.settled.Store(true)
	b.Update()
}

// Update takes the latest view of the leaves.
func (b *Backends) Update() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
}

// update needs mu.
func (b *Backends) update() {
	view := b.latest()
	b.view = view
	old := *b.byName.Load()
	next := make(map[string]*backend, len(view.Leaves))
	gathered := view.Gathered()
	for name, entries := range view.Leaves {
		service := old[name]
		if service == nil {
			service = b.newBackend(name)
		}
		service.update(view, entries, gathered[name])
		next[name] = service
	}
	for name, service := range old {
		if next[name] == nil {
			service.update(view, nil, gathered[name])
			next[name] = service
		}
	}
	b.byName.Store(&next)
}

func (b *Backends) newBackend(name string) *backend {
	return &backend{
		name:  name,
		owner: b,
		group: leafpick.NewGroup(leafpick.Options{
			Zone: b.options.DataCentre, ColdShare: b.options.ColdShare, ColdSlack: b.options.ColdSlack,
		}),
		pools:   map[string]*leafPool{},
		repeats: budget.NewWindow(b.options.RetryWindow, b.options.RetryBudgetRatio*repeatUse),
	}
}

func (s *backend) update(view *catalog.View, entries []*catalog.Leaf, gathered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet := s.owner.fleet.Load()
	s.sharers, s.part = fleet.sharers(gathered)
	ahead := !gathered || fleet.gathers()
	service := view.Service(s.name)
	s.shareBudget()
	var usable []*catalog.Leaf
	for _, e := range entries {
		if view.Usable(e) {
			usable = append(usable, e)
		}
	}
	s.group.Set(s.owner.now(), usable, service)
	s.updatePools(entries, usable, service.MaxConns, ahead)
	s.group.SetConnections(func(id string) leafpick.Connections { return s.pools[id].pool })
}

// shareBudget sets this node's part of the service's budget of repeats.
func (s *backend) shareBudget() {
	o := s.owner.options
	number := o.RetryBudgetSlack * repeatUse * s.part
	switch {
	case !s.owner.settled.Load():
		number = 0
	case s.owner.now() < o.RetryWindow:
		number *= startUse
	}
	s.repeats.SetNumber(number)
}

// first counts the first arrival of a request.
func (s *backend) first() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeats.FirstTries(s.owner.now(), 1)
}

// begin chooses a leaf and counts a call to it; nil if none may be used. A repeat
// is sent only within the budget, of which hedges leave a part to retries.
func (s *backend) begin(ask leafpick.Ask, repeat, isHedge bool) (*leafpick.Call, *leafPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.owner.now()
	if isHedge && s.repeats.Room(now) < 1+hedgeReserve || repeat && !s.repeats.Take(now) {
		return nil, nil
	}
	c := s.group.Begin(now, ask, s.sharers, rand.Float64())
	if c == nil {
		if repeat {
			s.repeats.Return(now)
		}
		return nil, nil
	}
	return c, s.pools[c.ID]
}

// end takes the end of a call, and reports what that changes for the leaf.
func (s *backend) end(c *leafpick.Call, outcome leafpick.Outcome) leafpick.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.End(s.owner.now(), c, outcome)
}

// Report updates the gauges of leaves by service and state.
func (b *Backends) Report(scope tally.Scope) {
	for name, s := range *b.byName.Load() {
		s.mu.Lock()
		census := s.group.Census(b.now())
		s.mu.Unlock()
		for state, n := range map[string]int{"warm": census.Warm, "cold": census.Cold, "ejected": census.Ejected} {
			scope.Tagged(map[string]string{"service": name, "state": state}).Gauge("leaves").Update(float64(n))
		}
	}
}

// callable reports whether a leaf may be called now.
func (s *backend) callable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Callable(s.owner.now(), s.sharers)
}

// saturated reports whether a call that begins now would wait for others at each leaf, and
// be answered later than within.
func (s *backend) saturated(ask leafpick.Ask, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Saturated(s.owner.now(), ask, within, s.sharers)
}
