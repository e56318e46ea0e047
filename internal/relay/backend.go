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
	// retryBudgetUse is the part of the shared budget of repeats that is used; the rest
	// is room for requests that are counted in another window.
	retryBudgetUse = 0.9
	// startupBudgetUse is the part of a node's number of repeats that a new process uses
	// for the length of the window, since the process before it may have used its
	// own just now.
	startupBudgetUse = 0.4
	// retryReserve is the number of repeats that hedges leave to retries.
	retryReserve = 0.5
)

// Options bound what a node may do to leaves. The nodes share each bound.
type Options struct {
	Zone string
	// RepeatShare and RepeatSlack bound the arrivals beyond the first of each
	// request at a service: a share of the requests for it, plus a number, in
	// RepeatWindow.
	RepeatShare  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
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
	// peersKnown is set once the node has had time to learn of its peers.
	peersKnown atomic.Bool
	// latest returns the view of the catalog. It is called with mu held, so that of
	// updates at the same time none brings an older view back.
	latest func() *catalog.View
	// onCrash takes the end of a leaf with the contents that it had to run.
	onCrash func(service, leaf, proof string, contents []quarantine.Sent)
	// mu serializes updates and guards view, the last one taken.
	mu   sync.Mutex
	view *catalog.View
}

// backend is one service.
type backend struct {
	name  string
	owner *Backends
	// mu guards the fields below.
	mu           sync.Mutex
	group        *leafpick.Group
	sharingNodes *leafpick.Fleet
	share        float64
	pools        map[string]*leafPool
	retryBudget  *budget.Window
}

// NewBackends returns backends without services. latest returns the view of the catalog.
func NewBackends(o Options, fleet *Fleet, latest func() *catalog.View, logger *zap.Logger) *Backends {
	b := &Backends{
		options: o, latest: latest, logger: logger, start: time.Now(), memory: leafconn.NewMemory(o.AnswerBytes),
		onCrash: func(string, string, string, []quarantine.Sent) {},
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
	b.updateLocked()
}

// Settle tells that the peers known by now are those that share the bounds.
func (b *Backends) Settle() {
	b.peersKnown.Store(true)
	b.Update()
}

// Update takes the latest view of the leaves.
func (b *Backends) Update() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateLocked()
}

// updateLocked needs mu.
func (b *Backends) updateLocked() {
	view := b.latest()
	b.view = view
	old := *b.byName.Load()
	next := make(map[string]*backend, len(view.Leaves))
	gathered := view.Gathered()
	for name, entries := range view.Leaves {
		back := old[name]
		if back == nil {
			back = b.newBackend(name)
		}
		back.update(view, entries, gathered[name])
		next[name] = back
	}
	for name, back := range old {
		if next[name] == nil {
			back.update(view, nil, gathered[name])
			next[name] = back
		}
	}
	b.byName.Store(&next)
}

func (b *Backends) newBackend(name string) *backend {
	return &backend{
		name:  name,
		owner: b,
		group: leafpick.NewGroup(leafpick.Options{
			Zone: b.options.Zone, ColdShare: b.options.ColdShare, ColdSlack: b.options.ColdSlack,
		}),
		pools:       map[string]*leafPool{},
		retryBudget: budget.NewWindow(b.options.RepeatWindow, b.options.RepeatShare*retryBudgetUse),
	}
}

func (s *backend) update(view *catalog.View, entries []*catalog.Leaf, gathered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet := s.owner.fleet.Load()
	s.sharingNodes, s.share = fleet.shareOf(gathered)
	preconnect := !gathered || fleet.gathers()
	service := view.Service(s.name)
	s.updateRetryBudget()
	var usable []*catalog.Leaf
	for _, e := range entries {
		if view.Usable(e) {
			usable = append(usable, e)
		}
	}
	s.group.Set(s.owner.now(), usable, service)
	s.updatePools(entries, usable, service.MaxConns, preconnect)
	s.group.SetConnections(func(id string) leafpick.Connections { return s.pools[id].pool })
}

// updateRetryBudget sets this node's part of the service's budget of repeats.
func (s *backend) updateRetryBudget() {
	o := s.owner.options
	slack := o.RepeatSlack * retryBudgetUse * s.share
	switch {
	case !s.owner.peersKnown.Load():
		slack = 0
	case s.owner.now() < o.RepeatWindow:
		slack *= startupBudgetUse
	}
	s.retryBudget.SetNumber(slack)
}

// countFirstAttempt counts the first arrival of a request.
func (s *backend) countFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.FirstTries(s.owner.now(), 1)
}

// begin chooses a leaf and counts a call to it; nil if none may be used. A repeat
// is sent only within the budget, of which hedges leave a part to retries.
func (s *backend) begin(ask leafpick.Ask, repeat, isHedge bool) (*leafpick.Call, *leafPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.owner.now()
	if isHedge && s.retryBudget.Room(now) < 1+retryReserve || repeat && !s.retryBudget.Take(now) {
		return nil, nil
	}
	c := s.group.Begin(now, ask, s.sharingNodes, rand.Float64())
	if c == nil {
		if repeat {
			s.retryBudget.Return(now)
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
	return s.group.Callable(s.owner.now(), s.sharingNodes)
}

// saturated reports whether a call that begins now would wait for others at each leaf, and
// be answered later than within.
func (s *backend) saturated(ask leafpick.Ask, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Saturated(s.owner.now(), ask, within, s.sharingNodes)
}
