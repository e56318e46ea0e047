package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/budget"
	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// connUse is the part of a leaf's connections that the nodes share out; the
	// rest is room for nodes that were replaced while their connections still count.
	connUse = 0.8
	// maxConnsPerLeaf bounds a node's connections to one leaf.
	maxConnsPerLeaf = 6
	// connsPerSlot bounds the connections of all nodes by a leaf's slots. A leaf
	// queues few requests and rejects others; nodes queue them with the newest first.
	connsPerSlot = 6
	// repeatUse is the part of the shared budget of repeats that is used; the rest
	// is room for requests that are counted in another window.
	repeatUse = 0.9
	// startUse is the part of a node's number of repeats that a new process uses
	// for the length of the window, since the process before it may have used its
	// own just now.
	startUse = 0.4
	// othersPart is the part of the repeats of gathered services that nodes which do
	// not gather share; they gather themselves when no gatherer answers.
	othersPart = 0.15
	// hedgeReserve is the number of repeats that hedges leave to retries.
	hedgeReserve = 0.5
	// warmTimeout bounds the time to open a connection ahead of use.
	warmTimeout = time.Second
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
}

// Backends holds the leaves of all services with their connections and budgets.
type Backends struct {
	options Options
	logger  *zap.Logger
	start   time.Time
	fleet   atomic.Pointer[Fleet]
	byName  atomic.Pointer[map[string]*backend]
	// settled is set once the node has had time to learn of its peers.
	settled atomic.Bool
	// mu serializes updates.
	mu sync.Mutex
}

// Fleet is the set of live nodes that share the bounds of leaves.
type Fleet struct {
	// All are all nodes; they share the bounds of services that are not gathered.
	All leafpick.Fleet
	// Gatherers are the nodes that gather answers, for others too where those are
	// much smaller. They share the bounds of gathered services, but for a small
	// part of the repeats.
	Gatherers leafpick.Fleet
}

// gathers reports whether the node itself is a gatherer.
func (f *Fleet) gathers() bool { return slices.Contains(f.Gatherers.Names, f.Gatherers.Self) }

// sharers returns the nodes that share the bounds of a service, and this node's part
// of a number that they share.
func (f *Fleet) sharers(gathered bool) (*leafpick.Fleet, float64) {
	others := len(f.All.Names) - len(f.Gatherers.Names)
	if !gathered || others <= 0 {
		return &f.All, 1 / float64(f.All.Size())
	}
	if f.gathers() {
		return &f.Gatherers, (1 - othersPart) / float64(f.Gatherers.Size())
	}
	return &f.Gatherers, othersPart / float64(others)
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

// leafPool is the connections to one start of a leaf.
type leafPool struct {
	entry *catalog.Leaf
	pool  *leafconn.Pool
}

// NewBackends returns backends without services.
func NewBackends(o Options, fleet *Fleet, logger *zap.Logger) *Backends {
	b := &Backends{options: o, logger: logger, start: time.Now()}
	b.fleet.Store(fleet)
	b.byName.Store(&map[string]*backend{})
	return b
}

func (b *Backends) now() time.Duration { return time.Since(b.start) }

func (b *Backends) get(service string) *backend { return (*b.byName.Load())[service] }

// SetFleet takes the nodes that share the bounds.
func (b *Backends) SetFleet(fleet *Fleet, view *catalog.View) {
	b.fleet.Store(fleet)
	b.Update(view)
}

// Settle tells that the peers known by now are those that share the bounds.
func (b *Backends) Settle(view *catalog.View) {
	b.settled.Store(true)
	b.Update(view)
}

// Update takes a new view of the leaves.
func (b *Backends) Update(view *catalog.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
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
			Zone: b.options.Zone, ColdShare: b.options.ColdShare, ColdSlack: b.options.ColdSlack,
		}),
		pools:   map[string]*leafPool{},
		repeats: budget.NewWindow(b.options.RepeatWindow, b.options.RepeatShare*repeatUse),
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
	s.updatePools(usable, service.MaxConns, ahead)
	s.group.SetConnections(func(id string) leafpick.Connections { return s.pools[id].pool })
}

// connShare returns a node's share of the connections of a leaf.
func connShare(maxConns, slots int, part float64) int {
	total := min(connUse*float64(maxConns), float64(connsPerSlot*slots))
	return min(max(int(total*part), 1), maxConnsPerLeaf)
}

func (s *backend) updatePools(usable []*catalog.Leaf, maxConns int, ahead bool) {
	kept := make(map[string]*leafPool, len(usable))
	homes := s.homes(usable, maxConns)
	for _, e := range usable {
		limit, home := connShare(maxConns, e.Slots, s.part), homes[e.ID]
		p := s.pools[e.ID]
		if p == nil || !p.entry.SameProcess(e) {
			p = &leafPool{entry: e, pool: leafconn.NewPool(e.Address, limit, home)}
			if ahead && e.Zone == s.owner.options.Zone {
				go s.warm(p)
			}
		}
		p.pool.SetLimit(limit, home)
		kept[e.ID] = p
	}
	for id, p := range s.pools {
		if kept[id] != p {
			p.pool.Close()
		}
	}
	s.pools = kept
}

// connRooms returns the number of nodes that can keep a connection to a leaf.
func connRooms(maxConns int) int {
	if maxConns <= 0 {
		return leafpick.Unbounded
	}
	return max(int(connUse*float64(maxConns)), 1)
}

// GatherRoom returns the number of nodes that can keep a connection to a leaf of each
// gathered service.
func GatherRoom(view *catalog.View) int {
	room := leafpick.Unbounded
	for name := range view.Gathered() {
		rooms, usable := 0, 0
		for _, e := range view.Leaves[name] {
			if view.Usable(e) {
				rooms = min(rooms+connRooms(view.Service(name).MaxConns), leafpick.Unbounded)
				usable++
			}
		}
		if usable > 0 {
			room = min(room, rooms)
		}
	}
	return room
}

// homes returns the IDs of the leaves to which this node keeps connections. One that does
// not share the bounds of the service does where there is room for all nodes.
func (s *backend) homes(usable []*catalog.Leaf, maxConns int) map[string]bool {
	sharers := s.sharers
	if all := &s.owner.fleet.Load().All; connRooms(maxConns) >= all.Size() {
		sharers = all
	}
	ids := make([]string, 0, len(usable))
	for _, e := range usable {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	homes := make(map[string]bool, len(ids))
	for i, home := range sharers.Homes(slices.Repeat([]int{connRooms(maxConns)}, len(ids))) {
		homes[ids[i]] = home
	}
	return homes
}

func (s *backend) warm(p *leafPool) {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	if err := p.pool.Warm(ctx); err != nil {
		s.owner.logger.Info("leaf can't be reached", zap.String("leaf", p.entry.ID),
			zap.String("address", p.entry.Address), zap.Error(err))
	}
}

// shareBudget sets this node's part of the service's budget of repeats.
func (s *backend) shareBudget() {
	o := s.owner.options
	number := o.RepeatSlack * repeatUse * s.part
	switch {
	case !s.owner.settled.Load():
		number = 0
	case s.owner.now() < o.RepeatWindow:
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
func (s *backend) begin(ask leafpick.Ask, repeat, isHedge bool) (*leafpick.Call, *leafconn.Pool) {
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
	return c, s.pools[c.ID].pool
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
