package leafpick

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

const (
	// farCost is the added cost of a leaf in another zone, as a share of the mean
	// latency; it keeps bytes between zones low while leaves are equal.
	farCost = 1.0
	// failCost weighs the failure rate of a leaf against its latency.
	failCost = 8
	// overdueCost is the added cost of a leaf with an overdue call, in multiples of
	// the mean latency.
	overdueCost = 40
	// coldInterval is the time in which a node uses its permits of a cold leaf; it
	// exceeds one second so that calls held up on the way do not meet in one.
	coldInterval = 1100 * time.Millisecond
	// coldUse is the part of a cold leaf's bound that is shared out; the rest is
	// room for nodes that the others do not know of yet.
	coldUse = 0.8
)

// Options bound the use of leaves.
type Options struct {
	Zone string
	// ColdShare and ColdSlack bound the requests in a second at a cold leaf, from
	// all nodes: its own rate times ColdShare, plus ColdSlack.
	ColdShare float64
	ColdSlack float64
}

// Group is the leaves of one service.
type Group struct {
	options Options
	leaves  []*Leaf
	// coldPerSecond is the number of requests in a second that all nodes together
	// may send to a cold leaf.
	coldPerSecond float64
}

// NewGroup returns a group without leaves.
func NewGroup(o Options) *Group { return &Group{options: o} }

// Set takes the usable leaves of the service. What is known of leaves that stay is
// kept.
func (g *Group) Set(now time.Duration, entries []*catalog.Leaf, service *catalog.Service) {
	g.coldPerSecond = service.WarmupPerSecond*g.options.ColdShare + g.options.ColdSlack
	old := make(map[string]*Leaf, len(g.leaves))
	for _, l := range g.leaves {
		old[l.Entry.ID] = l
	}
	g.leaves = g.leaves[:0:0]
	for _, e := range entries {
		l := old[e.ID]
		if l == nil || !l.Entry.SameProcess(e) {
			l = &Leaf{ratio: 1, updated: now}
		}
		if l.Entry != e {
			l.coldUntil = 0
			if e.WarmupLeft > 0 {
				l.coldUntil = now + e.WarmupLeft
			}
			l.Entry = e
		}
		g.leaves = append(g.leaves, l)
	}
}

// SetConnections sets where the state of each leaf's connections is found.
func (g *Group) SetConnections(of func(id string) Connections) {
	for _, l := range g.leaves {
		l.conns = of(l.Entry.ID)
	}
}

// Size returns the number of leaves.
func (g *Group) Size() int { return len(g.leaves) }

// Callable reports whether Begin would find a leaf for a call that may be repeated.
func (g *Group) Callable(now time.Duration, fleet *Fleet) bool {
	for _, l := range g.leaves {
		switch {
		case l.cold(now) && !g.mayUseCold(now, l, fleet):
		case !l.ejected || !l.misdirected:
			return true
		case now >= l.ejectedUntil && len(l.calls) == 0:
			return true
		}
	}
	return false
}

// Saturated reports whether at each leaf that may be used all connections are in use, and
// a call that waits for one would be answered later than within. It is false if no leaf
// may be used.
func (g *Group) Saturated(now time.Duration, ask Ask, within time.Duration, fleet *Fleet) bool {
	saturated := false
	for _, l := range g.leaves {
		if l.ejected || l.cold(now) && !g.mayUseCold(now, l, fleet) {
			continue
		}
		l.decay(now)
		if !l.saturated(ask.Mean, within, ask.Priority) {
			return false
		}
		saturated = true
	}
	return saturated
}

// Ask describes the call that a leaf is wanted for.
type Ask struct {
	// Mean is the expected latency of the call.
	Mean time.Duration
	// Tried are the IDs of leaves that the request was sent to before.
	Tried []string
	// Once is set for a call that can't be repeated; it is never a trial while
	// other leaves can be used.
	Once bool
	// Extra is set for a hedge, which is sent only where it can help.
	Extra bool
	// Priority ranks the call among those that wait for a connection; 0 is the most
	// urgent.
	Priority int
}

// Begin chooses a leaf and counts a call to it. It returns nil if no leaf may be
// used now. random is uniform in [0, 1).
func (g *Group) Begin(now time.Duration, ask Ask, fleet *Fleet, random float64) *Call {
	best, trial := g.choose(now, ask, fleet, random)
	if best == nil {
		return nil
	}
	if best.cold(now) {
		best.nextCold = now + g.coldSpacing(best, fleet)
	}
	if trial {
		best.ejectedUntil = now + max(best.ejectFor, minEject)
	}
	c := &Call{ID: best.Entry.ID, Leaf: best, started: now, expected: ask.Mean, trial: trial}
	best.calls = append(best.calls, c)
	return c
}

func (g *Group) choose(now time.Duration, ask Ask, fleet *Fleet, random float64) (best *Leaf, trial bool) {
	var lowest float64
	var lastResort *Leaf
	for _, l := range g.leaves {
		if slices.Contains(ask.Tried, l.Entry.ID) {
			continue
		}
		l.decay(now)
		if l.cold(now) && !g.mayUseCold(now, l, fleet) {
			continue
		}
		if l.ejected {
			// A due trial goes before other leaves, so that a leaf comes back.
			if now >= l.ejectedUntil && !ask.Once && !ask.Extra && len(l.calls) == 0 {
				return l, true
			}
			if !l.misdirected {
				lastResort = soonest(lastResort, l)
			}
			continue
		}
		if ask.Extra && l.full(ask.Priority) {
			continue
		}
		cost := g.cost(now, l, ask, random)
		if best == nil || cost < lowest {
			best, lowest = l, cost
		}
	}
	if best == nil && !ask.Extra {
		return lastResort, lastResort != nil
	}
	return best, false
}

// soonest returns the leaf whose trial is due first; a may be nil.
func soonest(a, b *Leaf) *Leaf {
	if a == nil || b.ejectedUntil < a.ejectedUntil {
		return b
	}
	return a
}

func (g *Group) cost(now time.Duration, l *Leaf, ask Ask, random float64) float64 {
	mean := float64(ask.Mean)
	cost := l.expected(ask.Mean)*(1+failCost*l.failing) + l.connCost(ask.Mean, ask.Priority)
	if l.Entry.Zone != g.options.Zone {
		cost += farCost * mean * (1 + tieBreak(l.Entry.ID, random))
	}
	if l.overdue(now) {
		cost += overdueCost * mean
	}
	if l.cold(now) {
		// A cold leaf is used after all warm ones that answer.
		cost += overdueCost * mean / 2
	}
	return cost
}

// tieBreak spreads equal leaves by a random order, 0 to 1.
func tieBreak(id string, random float64) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	x := float64(h.Sum32())/(1<<32) + random
	if x >= 1 {
		x--
	}
	return x
}

// mayUseCold reports whether this node has a permit of a cold leaf now.
func (g *Group) mayUseCold(now time.Duration, l *Leaf, fleet *Fleet) bool {
	return g.coldPermits(l, fleet) > 0 && now >= l.nextCold
}

// coldPermits returns this node's share of the requests in a second at a cold leaf.
// Permits that can't be shared equally go to the nodes with the highest rank.
func (g *Group) coldPermits(l *Leaf, fleet *Fleet) int {
	if !fleet.Shares() {
		return 0
	}
	total := int(g.coldPerSecond * coldUse)
	permits := total / fleet.Size()
	if rank(l.Entry.ID, fleet) < total%fleet.Size() {
		permits++
	}
	return permits
}

func (g *Group) coldSpacing(l *Leaf, fleet *Fleet) time.Duration {
	return coldInterval / time.Duration(max(g.coldPermits(l, fleet), 1))
}

// rank is the place of this node among all nodes in the order of a leaf.
func rank(leaf string, fleet *Fleet) int {
	mine := rendezvous.Weight(leaf, fleet.Self)
	n := 0
	for _, name := range fleet.Names {
		if name == fleet.Self {
			continue
		}
		if w := rendezvous.Weight(leaf, name); w > mine || w == mine && name > fleet.Self {
			n++
		}
	}
	return n
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Answered is a complete, successful answer.
	Answered Outcome = iota
	// Refused is a refusal by the leaf, which has not run the call.
	Refused
	// Failed is an answer that reports a failure, or a broken one.
	Failed
	// Lost is a connection that ended before the answer.
	Lost
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Misdirected is an answer of another leaf, which has taken the address.
	Misdirected
	// TimedOut is a call without an answer at its deadline.
	TimedOut
	// Abandoned is a call that this node ended early.
	Abandoned
)

// Change is what the end of a call changes for its leaf.
type Change uint8

// The changes of a leaf.
const (
	// Unchanged leaves the leaf in or out of use.
	Unchanged Change = iota
	// Ejected takes the leaf out of use, but for trial calls.
	Ejected
	// Restored takes the leaf into use again.
	Restored
)

// End records the outcome of a call once, and returns what that changes.
func (g *Group) End(now time.Duration, c *Call, outcome Outcome) Change {
	if c.ended {
		return Unchanged
	}
	c.ended = true
	before := c.Leaf.ejected
	c.Leaf.take(now, c, outcome)
	switch {
	case c.Leaf.ejected && !before:
		return Ejected
	case before && !c.Leaf.ejected:
		return Restored
	}
	return Unchanged
}

// take records the outcome of a call of the leaf.
func (l *Leaf) take(now time.Duration, c *Call, outcome Outcome) {
	l.remove(c)
	l.decay(now)
	if outcome != Abandoned {
		l.misdirected = false
	}
	took := float64(now-c.started) / float64(max(c.expected, time.Microsecond))
	switch outcome {
	case Answered:
		l.restore()
		l.ratio += ratioGain * (took - l.ratio)
		l.failing -= failGain * l.failing
	case Refused, Failed:
		l.restore()
		l.failing += failGain * (1 - l.failing)
	case Lost:
		l.failing += failGain * (1 - l.failing)
		if c.trial {
			l.eject(now)
		}
	case Unreachable, TimedOut:
		l.failing += failGain * (1 - l.failing)
		l.eject(now)
	case Misdirected:
		l.failing += failGain * (1 - l.failing)
		l.misdirect(now)
	case Abandoned:
		if took > l.ratio {
			l.ratio += ratioGain * (took - l.ratio)
		}
	}
}

// Census is the number of leaves by their state.
type Census struct {
	Warm    int
	Cold    int
	Ejected int
}

// Census counts the leaves by their state; an ejected leaf counts as that only.
func (g *Group) Census(now time.Duration) Census {
	var n Census
	for _, l := range g.leaves {
		switch {
		case l.ejected:
			n.Ejected++
		case l.cold(now):
			n.Cold++
		default:
			n.Warm++
		}
	}
	return n
}
