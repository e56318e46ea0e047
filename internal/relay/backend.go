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
	// retryBudgetUse is the fraction of the shared retry budget that is used; the rest
	// is headroom for requests that are counted in another window.
	retryBudgetUse = 0.9
	// startupBudgetUse is the fraction of a node's slack that a new process uses during
	// its first RepeatWindow, since the process before it may have used its own slack
	// just before.
	startupBudgetUse = 0.4
	// retryReserve is the number of repeats in the retry budget that hedges leave for
	// retries.
	retryReserve = 0.5
)

// Options limit the load that a node puts on leaves, and the memory for their answers. All
// nodes share the limits on repeats and on cold starts.
type Options struct {
	// DataCentre is the data centre of the node.
	DataCentre string
	// RetryBudgetRatio and RepeatSlack are the retry budget of a service. They bound the
	// repeats, that is, the arrivals of a request after its first one, as retries or
	// hedges. In each RepeatWindow a service receives at most RepeatShare repeats per
	// request, plus RepeatSlack.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	RetryWindow      time.Duration
	// ColdShare and ColdSlack bound the requests per second to a leaf during its cold
	// start: the leaf's own rate times ColdShare, plus ColdSlack.
	ColdShare float64
	ColdSlack float64
	// AnswerBytes bounds the total size of the leaves' answer bodies that the node holds;
	// zero means leafconn.DefaultMemory.
	AnswerBytes int64
}

// Backends holds the leaves of all services with their connections and retry budgets.
type Backends struct {
	options Options
	logger  *zap.Logger
	start   time.Time
	memory  *leafconn.Memory
	fleet   atomic.Pointer[Fleet]
	byName  atomic.Pointer[map[string]*backend]
	// peersKnown is set once the node has had time to discover its peers.
	peersKnown atomic.Bool
	// latest returns the current view of the catalog. It is called with mu held, so that
	// concurrent updates never replace a view with an older one.
	latest func() *catalog.View
	// onCrash is called when the process of a leaf has ended, with the contents that the
	// leaf had not answered. proof is the evidence of the end.
	onCrash func(service, leaf, proof string, contents []quarantine.SentContent)
	// mu serializes updates and guards view, the view that was applied last.
	mu   sync.Mutex
	view *catalog.View
}

// backend is one service with its leaves, their connections and the retry budget.
type backend struct {
	name  string
	owner *Backends
	// mu guards the fields below.
	mu    sync.Mutex
	group *leafpick.Group
	// sharingNodes are the nodes that share the limits of the service, and share is this
	// node's fraction of the limits.
	sharingNodes *leafpick.Fleet
	share        float64
	// pools holds the connection pools by the ID of the leaf.
	pools       map[string]*leafPool
	retryBudget *budget.Window
}

// NewBackends returns Backends without services. latest returns the current view of the
// catalog.
func NewBackends(o Options, fleet *Fleet, latest func() *catalog.View, logger *zap.Logger) *Backends {
	b := &Backends{
		options: o, latest: latest, logger: logger, start: time.Now(), memory: leafconn.NewMemory(o.AnswerBytes),
		onCrash: func(string, string, string, []quarantine.SentContent) {},
	}
	b.fleet.Store(fleet)
	b.byName.Store(&map[string]*backend{})
	return b
}

func (b *Backends) now() time.Duration { return time.Since(b.start) }

func (b *Backends) get(service string) *backend { return (*b.byName.Load())[service] }

// SetFleet sets the nodes that share the limits. It does nothing if neither the nodes nor the
// view have changed, as when a node only becomes suspect or stops being suspect.
func (b *Backends) SetFleet(fleet *Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.latest() == b.view && fleet.equal(b.fleet.Load()) {
		return
	}
	b.fleet.Store(fleet)
	b.update()
}

// MarkPeersKnown declares that the peers known by now are those that share the limits. Before it is
// called, the node uses no slack of retry budgets and grants no trials.
func (b *Backends) MarkPeersKnown() {
	b.peersKnown.Store(true)
	b.Update()
}

// Update applies the current view of the leaves.
func (b *Backends) Update() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
}

// update requires that mu is held.
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
			DataCentre: b.options.DataCentre, ColdRatio: b.options.ColdShare, ColdSlack: b.options.ColdSlack,
		}),
		pools:       map[string]*leafPool{},
		retryBudget: budget.NewWindow(b.options.RetryWindow, b.options.RetryBudgetRatio*retryBudgetUse),
	}
}

func (s *backend) update(view *catalog.View, entries []*catalog.Leaf, gathered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet := s.owner.fleet.Load()
	s.sharingNodes, s.share = fleet.sharingNodes(gathered)
	connectEarly := !gathered || fleet.gathers()
	service := view.Service(s.name)
	s.updateRetryBudget()
	var usable []*catalog.Leaf
	for _, e := range entries {
		if view.Usable(e) {
			usable = append(usable, e)
		}
	}
	s.group.Set(s.owner.now(), usable, service)
	s.updatePools(entries, usable, service.MaxConns, connectEarly)
	s.group.SetConnections(func(id string) leafpick.Connections { return s.pools[id].pool })
}

// updateRetryBudget sets this node's share of the service's retry budget.
func (s *backend) updateRetryBudget() {
	o := s.owner.options
	slack := o.RetryBudgetSlack * retryBudgetUse * s.share
	switch {
	case !s.owner.peersKnown.Load():
		slack = 0
	case s.owner.now() < o.RetryWindow:
		slack *= startupBudgetUse
	}
	s.retryBudget.SetSlack(slack)
}

// countFirstAttempt adds the first arrival of a request to the retry budget.
func (s *backend) countFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.FirstTries(s.owner.now(), 1)
}

// begin chooses a leaf and counts a call to it. It returns nil if no leaf may be used. A
// repeat also needs retry budget, of which hedges leave a reserve for retries.
func (s *backend) begin(ask leafpick.CallOptions, repeat, isHedge bool) (*leafpick.Call, *leafPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.owner.now()
	if isHedge && s.retryBudget.Available(now) < 1+retryReserve || repeat && !s.retryBudget.Take(now) {
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

// end records the outcome of a call and returns how it changes the state of the leaf.
func (s *backend) end(c *leafpick.Call, outcome leafpick.Outcome) leafpick.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.End(s.owner.now(), c, outcome)
}

// Report updates the gauges that count leaves by service and state.
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

// callable reports whether at least one leaf may be called now.
func (s *backend) callable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Callable(s.owner.now(), s.sharingNodes)
}

// saturated reports whether a call that begins now would queue behind others at every leaf
// and take longer than within.
func (s *backend) saturated(ask leafpick.CallOptions, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.Saturated(s.owner.now(), ask, within, s.sharingNodes)
}
