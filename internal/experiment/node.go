package experiment

import (
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

// node models one node: the decisions of package dispatch, its connections and its processor.
type node struct {
	sim        *simulation
	name       string
	dataCentre string
	// run counts the processes of the node, startedAt is the start of the current one.
	run       int
	startedAt time.Duration
	// down is set while no process runs, and unready while the node gets no new requests.
	down, unready bool
	gathers       bool
	// all holds the live nodes, and gatherers those of them that gather.
	all, gatherers leafpick.Fleet
	services       map[*shard]*service
	routes         map[*Requests]*dispatch.Route
	// active holds the queries that may not have ended.
	active []*query
	// busyUntil is when the processor is free.
	busyUntil time.Duration
}

// service is a node's view of one shard.
type service struct {
	node  *node
	shard *shard
	calls *dispatch.Service
	conns map[string]*conns
	// left holds the processes that have said that they are leaving.
	left map[catalog.Process]bool
}

func (n *node) start() {
	n.run++
	n.down, n.unready, n.startedAt, n.busyUntil = false, false, n.sim.clock.now, n.sim.clock.now
	n.services = map[*shard]*service{}
	n.routes = map[*Requests]*dispatch.Route{}
}

// stop ends the process of the node and its connections.
func (n *node) stop() {
	n.down = true
	n.run++
	for _, s := range n.services {
		for _, c := range s.conns {
			c.closeAll()
		}
	}
	for _, q := range n.active {
		if !q.done {
			q.done = true
			q.request.failed()
		}
	}
	n.active = nil
}

// track adds a query to the active ones and drops those that have ended from time to time.
func (n *node) track(q *query) {
	if len(n.active) == cap(n.active) {
		n.active = slices.DeleteFunc(n.active, func(q *query) bool { return q.done })
	}
	n.active = append(n.active, q)
}

// setFleet sets the live nodes and those of them that gather.
func (n *node) setFleet(names, gatherers []string) {
	n.all, n.gatherers = leafpick.NewFleet(n.name, names), leafpick.NewFleet(n.name, gatherers)
	for _, s := range n.services {
		s.update()
	}
}

func (n *node) route(r *Requests) *dispatch.Route {
	route := n.routes[r]
	if route == nil {
		route = dispatch.NewRoute(n.sim.clock.now, milliseconds(r.ObjectiveMS))
		n.routes[r] = route
	}
	return route
}

func (n *node) service(sh *shard) *service {
	s := n.services[sh]
	if s == nil {
		limits := n.sim.config.Limits
		s = &service{
			node: n, shard: sh, conns: map[string]*conns{}, left: map[catalog.Process]bool{},
			calls: dispatch.NewService(
				leafpick.Options{DataCentre: n.dataCentre, ColdRatio: limits.ColdRatio, ColdSlack: limits.ColdSlack},
				dispatch.RetryBudget{Ratio: limits.RetryRatio, Slack: limits.RetrySlack, Window: milliseconds(limits.RetryWindowMS)}),
		}
		n.services[sh] = s
		s.update()
	}
	return s
}

// fleet returns the nodes that share the limits of the shard.
func (s *service) fleet() *leafpick.Fleet {
	if s.shard.set.Shards > 1 {
		return &s.node.gatherers
	}
	return &s.node.all
}

// update applies the leaves and the live nodes.
func (s *service) update() {
	n := s.node
	now := n.sim.clock.now
	fleet := s.fleet()
	share := 1 / float64(fleet.Size())
	s.calls.SetShare(share, true, now-n.startedAt)
	maxNodes := dispatch.MaxConnectedNodes(s.shard.set.Connections)
	var usable []*catalog.Leaf
	conns := make(map[string]*conns, len(s.shard.leaves))
	for i, l := range s.shard.leaves {
		if s.left[l.entry.Process()] {
			continue
		}
		usable = append(usable, l.entry)
		c := s.conns[l.entry.ID]
		if c == nil || c.process != l.entry.Process() {
			c = newConns(n, l)
		}
		c.limit = dispatch.ConnShare(s.shard.set.Connections, s.shard.set.Slots, share)
		c.keep = maxNodes >= fleet.Size() || fleet.Assigned(i, maxNodes)
		conns[l.entry.ID] = c
		// A process that has run for a while has opened a connection to each leaf nearby.
		if c.keep && c.open == 0 && l.entry.DataCentre == n.dataCentre && now > n.startedAt+milliseconds(s.shard.set.ConnectMS) && !l.down {
			c.open++
			l.conns++
		}
	}
	s.conns = conns
	s.calls.Group.Set(now, usable, s.shard.service)
	s.calls.Group.SetConnections(func(id string) leafpick.Connections { return s.conns[id] })
}

// leave takes a leaf out of use that has said that it is leaving.
func (s *service) leave(p catalog.Process) {
	if !s.left[p] {
		s.left[p] = true
		s.update()
	}
}

// process calls f once the node's processor has handled one more message.
func (n *node) process(f func()) {
	cost := time.Duration(n.sim.config.Fleet.MessageMicros / n.sim.config.Fleet.Cores * float64(time.Microsecond))
	n.busyUntil = max(n.busyUntil, n.sim.clock.now) + cost
	run := n.run
	n.sim.clock.at(n.busyUntil, func() {
		if run == n.run {
			f()
		}
	})
}

// conns models the connections of a node to one process of a leaf.
type conns struct {
	node    *node
	leaf    *leaf
	process catalog.Process
	limit   int
	keep    bool
	open    int
	busy    int
	waiting []*attempt
}

func newConns(n *node, l *leaf) *conns { return &conns{node: n, leaf: l, process: l.entry.Process()} }

// State implements leafpick.Connections.
func (c *conns) State(int) leafpick.ConnState {
	return leafpick.ConnState{
		Idle: c.open > c.busy, Full: c.busy >= c.limit, Persistent: c.keep, Limit: c.limit, Waiting: len(c.waiting),
	}
}

// take sends an attempt on a connection, or lets it wait for one.
func (c *conns) take(a *attempt) {
	switch {
	case c.open > c.busy:
		c.busy++
		c.send(a, c.leaf.latency(c.node))
	case c.busy < c.limit:
		c.connect(a)
	default:
		c.waiting = append(c.waiting, a)
	}
}

func (c *conns) connect(a *attempt) {
	roundTrip := 2 * c.leaf.latency(c.node)
	if c.leaf.down || c.process != c.leaf.entry.Process() || c.leaf.conns >= c.leaf.shard.set.Connections {
		c.node.sim.clock.after(roundTrip, a.unreachable)
		return
	}
	c.leaf.conns++
	c.open++
	c.busy++
	c.node.sim.result.newConns++
	c.send(a, milliseconds(c.leaf.shard.set.ConnectMS)+roundTrip+c.leaf.latency(c.node))
}

func (c *conns) send(a *attempt, latency time.Duration) {
	a.sent = true
	c.node.sim.clock.after(latency, func() { c.leaf.accept(a) })
}

// release returns the connection of an attempt that has ended, or closes it.
func (c *conns) release(reusable bool) {
	c.busy--
	switch {
	case reusable && len(c.waiting) > 0:
		// The newest request has the most time left.
		last := len(c.waiting) - 1
		next := c.waiting[last]
		c.waiting = c.waiting[:last]
		c.busy++
		c.send(next, c.leaf.latency(c.node))
	case !reusable || !c.keep:
		c.close()
		if len(c.waiting) > 0 {
			last := len(c.waiting) - 1
			next := c.waiting[last]
			c.waiting = c.waiting[:last]
			c.take(next)
		}
	}
}

func (c *conns) close() {
	c.open--
	if c.process == c.leaf.entry.Process() {
		c.leaf.conns--
	}
}

func (c *conns) closeAll() {
	for c.open > 0 {
		c.close()
	}
	c.waiting, c.busy = nil, 0
}

// withdraw removes an attempt that waits for a connection. It reports false if it does not wait.
func (c *conns) withdraw(a *attempt) bool {
	i := slices.Index(c.waiting, a)
	if i < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	return true
}
