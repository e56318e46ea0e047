package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	modelNodes     = 6
	modelReplicas  = 3
	crashTime      = 2
	answerTime     = 5
	restartTime    = 1000
	hostListLag    = 200
	isolationDelay = 150
	partitionEnd   = 2000
	resendDelay    = 10
)

// model simulates a tier of nodes that are both entries and holders, in ticks of 1 ms.
type model struct {
	random *rand.Rand
	tick   int
	events map[int][]func()
	nodes  []*node
	leaves []*leaf
	shards int
	// partitioned is a node that can reach no other node until partitionEnd; nil if there
	// is none.
	partitioned *node
	// loss is the fraction of messages between nodes that are lost.
	loss float64
	// skipAckWait is set if callers are answered before the peers have acknowledged the
	// records.
	skipAckWait bool
	// firstDeath is the tick at which the first leaf died. firstDeaths counts the leaves
	// that died running queries that had started by then, and laterDeaths those that
	// died running queries that started later.
	firstDeath  int
	firstDeaths int
	laterDeaths int
}

type node struct {
	name        string
	tracker     *Tracker
	broadcaster *Broadcaster
	hosts       []string
	down        bool
}

type leaf struct {
	shard   string
	holder  *node
	running []*call
	down    bool
	diedAt  int
}

// call is one request on one leaf.
type call struct {
	query  *query
	permit *Permit
	sent   bool
	done   func(ok bool)
}

// query is one request of a caller. A poison query crashes each leaf that runs it.
type query struct {
	fingerprint Fingerprint
	poison      bool
	started     int
	// resenders is the number of callers that resend it concurrently.
	resenders int
}

func newModel(seed uint64, shards int, loss float64) *model {
	m := &model{shards: shards, random: rand.New(rand.NewPCG(seed, 0)), events: map[int][]func(){}, loss: loss}
	options := DefaultOptions()
	options.PermitTimeout = time.Second
	var hosts []string
	for i := range modelNodes {
		hosts = append(hosts, fmt.Sprint("host", i))
	}
	for _, host := range hosts {
		m.nodes = append(m.nodes, &node{name: host, tracker: NewTracker(options), broadcaster: &Broadcaster{}, hosts: hosts})
	}
	for i := range shards * modelReplicas {
		m.leaves = append(m.leaves, &leaf{shard: fmt.Sprint(i % shards), holder: m.nodes[m.random.IntN(modelNodes)]})
	}
	return m
}

func (m *model) now() time.Duration { return time.Duration(m.tick) * time.Millisecond }

func (m *model) after(ticks int, run func()) {
	m.events[m.tick+ticks] = append(m.events[m.tick+ticks], run)
}

func (m *model) lost() bool { return m.random.Float64() < m.loss }

// reaches reports whether a node can call another.
func (m *model) reaches(a, b *node) bool {
	connected := a == b || m.tick >= partitionEnd || (a != m.partitioned && b != m.partitioned)
	return connected && !a.down && !b.down
}

// isolated reports whether the partition has lasted for isolationDelay, so that each node
// is isolated from at least one other.
func (m *model) isolated() bool {
	return m.partitioned != nil && m.tick >= isolationDelay && m.tick < partitionEnd
}

func (m *model) run(ticks int) {
	for end := m.tick + ticks; m.tick < end; m.tick++ {
		for i := 0; i < len(m.events[m.tick]); i++ {
			m.events[m.tick][i]()
		}
		delete(m.events, m.tick)
		for _, n := range m.nodes {
			n.broadcaster.Due(m.now(), func(peer string, batch Batch) { m.sendBatch(n, peer, batch) })
		}
	}
}

func (m *model) node(name string) *node {
	return m.nodes[slices.IndexFunc(m.nodes, func(n *node) bool { return n.name == name })]
}

func (m *model) sendBatch(from *node, peer string, batch Batch) {
	to := m.node(peer)
	if !m.reaches(from, to) || m.lost() {
		return
	}
	m.after(1, func() {
		for _, r := range batch.Records {
			to.tracker.Merge(m.now(), r)
		}
		if !m.lost() {
			m.after(1, func() { from.broadcaster.Acknowledged(peer, batch.Number) })
		}
	})
}

// spreadRecords sends records to the peers of a node and calls done when an answer that
// depends on them may be sent.
func (m *model) spreadRecords(n *node, records []Record, done func()) {
	peers := slices.DeleteFunc(slices.Clone(n.hosts), func(host string) bool { return host == n.name })
	numbers := n.broadcaster.Start(m.now(), records, peers)
	var poll func()
	poll = func() {
		for _, number := range numbers {
			if !m.skipAckWait && !n.broadcaster.Settled(m.now(), number) {
				m.after(1, poll)
				return
			}
		}
		done()
	}
	poll()
}

// submit runs a query through an entry and calls done with its result.
func (m *model) submit(entry *node, q *query, done func(ok bool)) {
	q.started = m.tick
	switch entry.tracker.Admit(m.now(), q.fingerprint, m.isolated()) {
	case Pass:
		m.scatter(entry, q, done)
	case Stage:
		m.call(entry, m.stageTarget(entry, q), &call{query: q, done: m.thenScatter(entry, q, done)})
	case Trial:
		m.runTrial(entry, q, done)
	case Refuse:
		done(false)
	}
}

func (m *model) thenScatter(entry *node, q *query, done func(bool)) func(bool) {
	return func(ok bool) {
		if !ok {
			done(false)
			return
		}
		m.scatter(entry, q, done)
	}
}

// runTrial requests a permit from the deciding host and runs a trial before the scatter.
func (m *model) runTrial(entry *node, q *query, done func(bool)) {
	decider := m.node(Decider(q.fingerprint, entry.hosts))
	if !m.reaches(entry, decider) || m.lost() {
		m.after(resendDelay, func() { done(false) })
		return
	}
	known, _ := entry.tracker.Known(m.now(), q.fingerprint)
	m.after(1, func() {
		grant, permit, record := decider.tracker.RequestPermit(m.now(), known)
		entry.tracker.Merge(m.now(), record)
		switch grant {
		case GrantPass:
			m.scatter(entry, q, done)
		case GrantPermit:
			m.spreadRecords(decider, []Record{record}, func() {
				c := &call{query: q, permit: &permit}
				c.done = func(ok bool) {
					decider.tracker.EndPermit(m.now(), permit, c.sent)
					m.thenScatter(entry, q, done)(ok)
				}
				m.call(entry, m.replica(entry, permit.Shard), c)
			})
		case GrantRefused, GrantWait:
			done(false)
		}
	})
}

func (m *model) scatter(entry *node, q *query, done func(bool)) {
	pending := m.shards
	all := true
	for i := range m.shards {
		m.call(entry, m.replica(entry, fmt.Sprint(i)), &call{query: q, done: func(ok bool) {
			pending--
			all = all && ok
			if pending == 0 {
				if all {
					entry.tracker.Completed(q.fingerprint)
				}
				done(all)
			}
		}})
	}
}

// stageTarget returns the leaf that an entry sends a staged query to first.
func (m *model) stageTarget(entry *node, q *query) *leaf {
	byName := map[string]*leaf{}
	var names []string
	for i, l := range m.leaves {
		recent := time.Duration(m.tick-l.diedAt)*time.Millisecond < SettleLimit
		if (!l.down || recent) && m.reaches(entry, l.holder) {
			names = append(names, fmt.Sprint(i))
			byName[fmt.Sprint(i)] = l
		}
	}
	if len(names) == 0 {
		return m.leaves[0]
	}
	return byName[StageTarget(q.fingerprint, names)]
}

// replica returns a random replica of a shard, of those that the entry can use and, if the
// entry cannot use the first one, of that as well.
func (m *model) replica(entry *node, shard string) *leaf {
	var replicas []*leaf
	for _, l := range m.leaves {
		usable := !l.down && m.reaches(entry, l.holder)
		if l.shard == shard && (usable || len(replicas) == 0) {
			replicas = append(replicas, l)
		}
	}
	return replicas[m.random.IntN(len(replicas))]
}

// call sends a call of an entry through the leaf's holder.
func (m *model) call(entry *node, l *leaf, c *call) {
	m.after(1, func() {
		h := l.holder
		if known, ok := entry.tracker.Known(m.now(), c.query.fingerprint); ok && m.reaches(entry, h) {
			h.tracker.Merge(m.now(), known)
		}
		if !m.reaches(entry, h) || l.down || !l.free(c) || !m.allowed(h, c) {
			m.after(1, func() { c.done(false) })
			return
		}
		c.sent = true
		l.running = append(l.running, c)
		if c.query.poison {
			m.after(1+m.random.IntN(crashTime), func() { m.crash(l, c) })
			return
		}
		m.after(answerTime, func() { m.answer(l, c) })
	})
}

// free reports whether the leaf has room for a call; a trial runs alone.
func (l *leaf) free(c *call) bool {
	for _, other := range l.running {
		if c.permit != nil || other.permit != nil {
			return false
		}
	}
	return true
}

func (m *model) allowed(h *node, c *call) bool {
	if c.permit != nil {
		return h.tracker.UsePermit(m.now(), *c.permit)
	}
	return h.tracker.MaySend(m.now(), c.query.fingerprint)
}

// answer completes a call, unless its leaf has died.
func (m *model) answer(l *leaf, c *call) {
	i := slices.Index(l.running, c)
	if i < 0 {
		return
	}
	l.running = slices.Delete(l.running, i, i+1)
	if c.permit == nil {
		c.done(true)
		return
	}
	record, _ := l.holder.tracker.EndTrial(m.now(), *c.permit, TrialCompleted)
	m.spreadRecords(l.holder, []Record{record}, func() { c.done(true) })
}

// crash ends a leaf's process and all its calls.
func (m *model) crash(l *leaf, by *call) {
	if !slices.Contains(l.running, by) {
		return
	}
	if m.firstDeaths == 0 {
		m.firstDeath = m.tick
	}
	if by.query.started <= m.firstDeath {
		m.firstDeaths++
	} else {
		m.laterDeaths++
	}
	calls := l.running
	l.running = nil
	l.down = true
	l.diedAt = m.tick
	m.after(restartTime, func() { l.down = false })
	var running []Fingerprint
	var records []Record
	for _, c := range calls {
		if c.permit == nil {
			running = append(running, c.query.fingerprint)
		} else if record, clear := l.holder.tracker.EndTrial(m.now(), *c.permit, TrialDied); clear {
			records = append(records, record)
		}
	}
	records = append(records, l.holder.tracker.Died(m.now(), l.shard, running)...)
	m.spreadRecords(l.holder, records, func() {
		for _, c := range calls {
			c.done(false)
		}
	})
}

// kill stops a node permanently. The other nodes remove it from their host lists within
// hostListLag, after which its leaves move to other nodes.
func (m *model) kill(n *node) {
	n.down = true
	for _, l := range m.leaves {
		if l.holder == n {
			m.after(hostListLag, func() { l.holder = m.randomUpNode() })
		}
	}
	for _, other := range m.nodes {
		m.after(m.random.IntN(hostListLag), func() {
			other.hosts = slices.DeleteFunc(slices.Clone(other.hosts), func(host string) bool { return host == n.name })
		})
	}
}

// randomUpNode returns a random node that is up.
func (m *model) randomUpNode() *node {
	for {
		if n := m.nodes[m.random.IntN(modelNodes)]; !n.down {
			return n
		}
	}
}

// runCaller sends a query through a random entry, and resends it through random entries
// until it has succeeded or the resends are used up.
func (m *model) runCaller(q *query, resends int, succeeded *bool) {
	entry := m.nodes[m.random.IntN(modelNodes)]
	finish := func(ok bool) {
		if ok {
			*succeeded = true
			return
		}
		for range q.resenders {
			next := *q
			next.resenders = min(resends-1, 1)
			m.after(resendDelay, func() { m.runCaller(&next, resends-1, succeeded) })
		}
	}
	if entry.down {
		finish(false)
		return
	}
	m.submit(entry, q, finish)
}
