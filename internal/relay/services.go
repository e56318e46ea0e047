package relay

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// ServicesOptions configure Services. They limit the load that a node puts on leaves, and the
// memory for their answers. All nodes share the limits on repeats and on cold starts.
type ServicesOptions struct {
	// DataCentre is the data centre of the node.
	DataCentre string
	// RetryBudgetRatio, RetryBudgetSlack and RetryWindow are the retry budget of a
	// service. It bounds the repeats, that is, the arrivals of a request after its first
	// one, as retries or hedges. In each RetryWindow a service receives at most
	// RetryBudgetRatio repeats per request, plus RetryBudgetSlack.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	RetryWindow      time.Duration
	// ColdRatio and ColdSlack bound the requests per second to a leaf during its cold
	// start: the leaf's own limit times ColdRatio, plus ColdSlack.
	ColdRatio float64
	ColdSlack float64
	// AnswerBytes bounds the total size of the leaves' answer bodies that the node holds;
	// zero means memlimit.Default.
	AnswerBytes int64
}

// Services holds the state of all services: their leaves, connections and retry budgets.
type Services struct {
	options ServicesOptions
	logger  *zap.Logger
	start   time.Time
	memory  *memlimit.Memory
	fleet   atomic.Pointer[Fleet]
	byName  atomic.Pointer[map[string]*serviceState]
	// departures holds the leaves that have said that they are leaving.
	departures departures
	// peersKnown is set once the node has had time to discover its peers.
	peersKnown atomic.Bool
	// latest returns the current view of the catalog. It is called with mu held, so that
	// concurrent updates never replace a view with an older one.
	latest func() *catalog.View
	// onCrash is called when the process of a leaf has ended, with the contents that the
	// leaf had not answered. proof is the evidence of the end.
	onCrash func(service string, leaf catalog.Process, proof string, contents []quarantine.SentContent)
	// mu serializes updates and guards view, the view that was applied last.
	mu   sync.Mutex
	view *catalog.View
}

// serviceState is the state of one service: its leaves, their connections and the retry
// budget.
type serviceState struct {
	name  string
	owner *Services
	// mu guards the fields below.
	mu    sync.Mutex
	calls *dispatch.Service
	// sharingNodes are the nodes that share the limits of the service, and share is this
	// node's fraction of the limits.
	sharingNodes *leafpick.Fleet
	share        float64
	// pools holds the connection pools by the ID of the leaf.
	pools map[string]*leafPool
	// leaving is the number of leaves that are listed but leaving.
	leaving int
	// gauges is nil until the first report.
	gauges *leafGauges
}

// NewServices returns Services without any service. latest returns the current view of the
// catalog.
func NewServices(o ServicesOptions, fleet *Fleet, latest func() *catalog.View, logger *zap.Logger) *Services {
	s := &Services{
		options: o, latest: latest, logger: logger, start: time.Now(), memory: memlimit.New(o.AnswerBytes),
		departures: departures{known: leafpick.NewDepartures()},
		onCrash:    func(string, catalog.Process, string, []quarantine.SentContent) {},
	}
	s.fleet.Store(fleet)
	s.byName.Store(&map[string]*serviceState{})
	return s
}

// SetReclaimAnswers sets the function that makes a caller give up its answer if the answers of leaves take all
// the memory for them. It returns false if there is no such caller.
func (s *Services) SetReclaimAnswers(reclaim func() bool) { s.memory.SetReclaim(reclaim) }

func (s *Services) now() time.Duration { return time.Since(s.start) }

func (s *Services) get(service string) *serviceState { return (*s.byName.Load())[service] }

// SetFleet sets the nodes that share the limits. It does nothing if neither the nodes nor the
// view have changed, as when a node only becomes suspect or stops being suspect.
func (s *Services) SetFleet(fleet *Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest() == s.view && fleet.equal(s.fleet.Load()) {
		return
	}
	s.fleet.Store(fleet)
	s.update(true)
}

// MarkPeersKnown declares that the peers known by now are those that share the limits. Before
// it is called, the node uses no slack of retry budgets and grants no trials.
func (s *Services) MarkPeersKnown() {
	s.peersKnown.Store(true)
	s.Refresh()
}

// Update applies the current view to the services that have changed in it.
func (s *Services) Update() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(false)
}

// Refresh applies the current view, and the node's shares of the limits, to all services.
func (s *Services) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(true)
}

// update applies the current view to all services, or only to those that have changed in it. It
// requires that mu is held.
func (s *Services) update(all bool) {
	view, before := s.latest(), s.view
	s.view = view
	all = all || before == nil || view.Table != before.Table || view.Newest != before.Newest || !maps.Equal(view.TakenOut, before.TakenOut)
	old := *s.byName.Load()
	next := make(map[string]*serviceState, len(view.Leaves))
	shards := view.Shards()
	for name, entries := range view.Leaves {
		service := old[name]
		if service == nil {
			service = s.newServiceState(name)
		}
		if all || old[name] == nil || !sameSlice(before.Leaves[name], entries) {
			service.update(view, entries, positionOf(shards, name))
		}
		next[name] = service
	}
	for name, service := range old {
		if next[name] != nil {
			continue
		}
		if all || len(before.Leaves[name]) > 0 {
			service.update(view, nil, positionOf(shards, name))
		}
		next[name] = service
	}
	s.byName.Store(&next)
}

// sameSlice reports whether two lists of entries of published views are one and the same.
func sameSlice(a, b []*catalog.Leaf) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (s *Services) newServiceState(name string) *serviceState {
	return &serviceState{
		name:  name,
		owner: s,
		calls: dispatch.NewService(leafpick.Options{
			DataCentre: s.options.DataCentre, ColdRatio: s.options.ColdRatio, ColdSlack: s.options.ColdSlack,
		}, dispatch.RetryBudget{Ratio: s.options.RetryBudgetRatio, Slack: s.options.RetryBudgetSlack, Window: s.options.RetryWindow}),
		pools: map[string]*leafPool{},
	}
}

// positionOf returns the position of a service among shards, or nil if it is not one of them.
func positionOf(shards map[string]catalog.ShardPosition, service string) *catalog.ShardPosition {
	if position, gathered := shards[service]; gathered {
		return &position
	}
	return nil
}

// update applies the entries of the service's leaves. position is the position of the service
// among the shards of a route, or nil if it is not gathered.
func (s *serviceState) update(view *catalog.View, entries []*catalog.Leaf, position *catalog.ShardPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharingNodes, s.share = s.owner.fleet.Load().sharingNodes(position)
	connectEarly := s.sharingNodes.IsMember()
	service := view.Service(s.name)
	s.calls.SetShare(s.share, s.owner.peersKnown.Load(), s.owner.now())
	var usable []*catalog.Leaf
	s.leaving = 0
	for _, e := range entries {
		switch {
		case s.owner.departures.listed(s.owner.now(), e.Process()):
			s.leaving++
		case view.Usable(e):
			usable = append(usable, e)
		}
	}
	s.calls.Group.Set(s.owner.now(), usable, service)
	s.updatePools(entries, usable, service.MaxConns, connectEarly)
	s.calls.Group.SetConnections(func(id string) leafpick.Connections { return s.pools[id].pool })
}

// countFirstAttempt adds the first arrival of a request to the retry budget.
func (s *serviceState) countFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.CountFirstAttempt(s.owner.now())
}

// begin chooses a leaf and counts a call to it. It returns nil if no leaf may be used, or if there is
// no retry budget for a repeat.
func (s *serviceState) begin(opts leafpick.CallOptions, repeat bool) (*leafpick.Call, *leafPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls.Begin(s.owner.now(), opts, repeat, s.sharingNodes, rand.Float64())
	if c == nil {
		return nil, nil
	}
	return c, s.pools[c.ID]
}

// end records the outcome of a call and returns how it changes the state of the leaf.
func (s *serviceState) end(c *leafpick.Call, outcome leafpick.Outcome) leafpick.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.Group.End(s.owner.now(), c, outcome)
}

// Report updates the gauges that count leaves by service and state.
func (s *Services) Report(scope tally.Scope) {
	for _, service := range *s.byName.Load() {
		service.report(scope)
	}
}

// leafGauges are the gauges that count the leaves of one service by state.
type leafGauges struct {
	warm, cold, ejected, quiet, leaving tally.Gauge
}

func newLeafGauges(scope tally.Scope, service string) *leafGauges {
	gauge := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{"service": service, "state": state}).Gauge("leaves")
	}
	return &leafGauges{
		warm: gauge("warm"), cold: gauge("cold"), ejected: gauge("ejected"), quiet: gauge("quiet"), leaving: gauge("leaving"),
	}
}

func (s *serviceState) report(scope tally.Scope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gauges == nil {
		s.gauges = newLeafGauges(scope, s.name)
	}
	census := s.calls.Group.Census(s.owner.now())
	s.gauges.warm.Update(float64(census.Warm))
	s.gauges.cold.Update(float64(census.Cold))
	s.gauges.ejected.Update(float64(census.Ejected))
	s.gauges.quiet.Update(float64(census.Quiet))
	s.gauges.leaving.Update(float64(s.leaving))
}

// hasLeaf reports whether the service has a leaf that can be used, by this node or another one.
func (s *serviceState) hasLeaf() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.Group.Size() > 0
}

// callable reports whether at least one leaf may be called now.
func (s *serviceState) callable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.Group.Callable(s.owner.now(), s.sharingNodes)
}

// saturated reports whether a call that begins now would queue behind others at every leaf
// and take longer than within.
func (s *serviceState) saturated(opts leafpick.CallOptions, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.Group.Saturated(s.owner.now(), opts, within, s.sharingNodes)
}
