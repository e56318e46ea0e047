package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	modelNodes    = 6
	modelReplicas = 3
	crashTime     = 2
	answerTime    = 5
	restartTime   = 1000
	listLag       = 200
	silenceLimit  = 150
	cutTime       = 2000
	resendDelay   = 10
)

// model is a tier of nodes that are entries and holders, with a tick of 1 ms.
type model struct {
	random *rand.Rand
	tick   int
	events map[int][]func()
	nodes  []*node
	leaves []*leaf
	shards int
	// cut is a node that reaches no other until cutTime, if any.
	cut *node
	// loss is the share of lost messages between nodes.
	loss float64
	// hasty answers callers before the peers have acknowledged.
	hasty bool
	// firstDeath is the tick at which the first leaf died. firstDeaths counts the
	// leaves that died running queries started until then, laterDeaths those that
	// died running queries started after it.
	firstDeath  int
	firstDeaths int
	laterDeaths int
}

type node struct {
	name    string
	tracker *Tracker
	spread  *Spread
	hosts   []string
	down    bool
}

type leaf struct {
	shard   string
	holder  *node
	running []*call
	down    bool
	died    int
}

// call is one request on one leaf.
type call struct {
	query  *query
	permit *Permit
	sent   bool
	done   func(ok bool)
}

// query is one request of a caller; a poison one crashes each leaf.
type query struct {
	fingerprint Fingerprint
	poison      bool
	started     int
	// resenders is the number of callers that resend it side by side.
	resenders int
}

func newModel(seed uint64, shards int, loss float64) *model {
	m := &model{shards: shards, random: rand.New(rand.NewPCG(seed, 0)), events: map[int][]func(){}, loss: loss}
	options := DefaultOptions()
	options.PermitPeriod = time.Second
	var hosts []string
	for i := range modelNodes {
		hosts = append(hosts, fmt.Sprint("host", i))
	}
	for _, host := range hosts {
		m.nodes = append(m.nodes, &node{name: host, tracker: NewTracker(options), spread: &Spread{}, hosts: hosts})
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
	together := a == b || m.tick >= cutTime || (a != m.cut && b != m.cut)
	return together && !a.down && !b.down
}

// blind reports whether each node has missed another for long enough.
func (m *model) blind() bool {
	return m.cut != nil && m.tick >= silenceLimit && m.tick < cutTime
}

func (m *model) run(ticks int) {
	for end := m.tick + ticks; m.tick < end; m.tick++ {
		for i := 0; i < len(m.events[m.tick]); i++ {
			m.events[m.tick][i]()
		}
		delete(m.events, m.tick)
		for _, n := range m.nodes {
			n.spread.Due(m.now(), func(peer string, batch Batch) { m.sendBatch(n, peer, batch) })
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
			m.after(1, func() { from.spread.Acknowledged(peer, batch.Number) })
		}
	})
}

// tell spreads records and calls done when an answer may be given.
func (m *model) tell(n *node, records []Record, done func()) {
	peers := slices.DeleteFunc(slices.Clone(n.hosts), func(host string) bool { return host == n.name })
	numbers := n.spread.Start(m.now(), records, peers)
	var poll func()
	poll = func() {
		for _, number := range numbers {
			if !m.hasty && !n.spread.Settled(m.now(), number) {
				m.after(1, poll)
				return
			}
		}
		done()
	}
	poll()
}

// submit runs a query through an entry and calls done with its success.
func (m *model) submit(entry *node, q *query, done func(ok bool)) {
	q.started = m.tick
	switch entry.tracker.Admit(m.now(), q.fingerprint, m.blind()) {
	case Pass:
		m.scatter(entry, q, done)
	case Stage:
		m.call(entry, m.stageTarget(entry, q), &call{query: q, done: m.thenScatter(entry, q, done)})
	case Trial:
		m.try(entry, q, done)
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

// try asks the deciding host and runs a trial before the scatter.
func (m *model) try(entry *node, q *query, done func(bool)) {
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
			m.tell(decider, []Record{record}, func() {
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
		recent := time.Duration(m.tick-l.died)*time.Millisecond < SettleLimit
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

// replica returns a random replica of a shard, of those that an entry can use
// if there are any.
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

// call runs a call of an entry at the leaf's holder.
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

// free reports whether a call may share the leaf; a trial runs alone.
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

// answer ends a call, unless its leaf has died before.
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
	m.tell(l.holder, []Record{record}, func() { c.done(true) })
}

// crash ends a leaf and all its calls.
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
	l.died = m.tick
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
	m.tell(l.holder, records, func() {
		for _, c := range calls {
			c.done(false)
		}
	})
}

// kill ends a node for good. The others' host lists lag, and its leaves move to
// other nodes after that.
func (m *model) kill(n *node) {
	n.down = true
	for _, l := range m.leaves {
		if l.holder == n {
			m.after(listLag, func() { l.holder = m.up() })
		}
	}
	for _, other := range m.nodes {
		m.after(m.random.IntN(listLag), func() {
			other.hosts = slices.DeleteFunc(slices.Clone(other.hosts), func(host string) bool { return host == n.name })
		})
	}
}

// up returns a random node that is up.
func (m *model) up() *node {
	for {
		if n := m.nodes[m.random.IntN(modelNodes)]; !n.down {
			return n
		}
	}
}

// caller sends a query and resends it through random entries until it has
// succeeded or the number of resends is used up.
func (m *model) caller(q *query, resends int, succeeded *bool) {
	entry := m.nodes[m.random.IntN(modelNodes)]
	again := func(ok bool) {
		if ok {
			*succeeded = true
			return
		}
		for range q.resenders {
			next := *q
			next.resenders = min(resends-1, 1)
			m.after(resendDelay, func() { m.caller(&next, resends-1, succeeded) })
		}
	}
	if entry.down {
		again(false)
		return
	}
	m.submit(entry, q, again)
}
