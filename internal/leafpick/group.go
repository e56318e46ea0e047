package leafpick

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

const (
	// remoteCost is the added cost of a leaf in another data centre, in multiples of the
	// mean latency. It keeps traffic between data centres low while leaves are equal.
	remoteCost = 1.0
	// failureCost is the weight of a leaf's failure rate relative to its latency.
	failureCost = 8
	// overdueCost is the added cost of a leaf with an overdue call, in multiples of
	// the mean latency.
	overdueCost = 40
	// pacedCost is the added cost of a leaf that has as many calls in flight as its pace allows. It is
	// used before leaves with overdue calls, so that no request fails for the sake of the pace.
	pacedCost = 10
	// coldInterval is the time over which a node spreads its permits for a cold leaf. It
	// exceeds one second so that calls delayed on the way do not exceed the limit in the
	// second in which they arrive.
	coldInterval = 1100 * time.Millisecond
	// coldFraction is the fraction of a cold leaf's limit that is divided among the nodes. The
	// rest is reserved for nodes that the others have not discovered yet.
	coldFraction = 0.8
)

// Options configures a Group.
type Options struct {
	// DataCentre is the data centre of this node.
	DataCentre string
	// ColdRatio and ColdSlack bound the requests per second of all nodes to a cold leaf:
	// the leaf's own limit times ColdRatio, plus ColdSlack.
	ColdRatio float64
	ColdSlack float64
}

// Group is the set of usable leaves of one service.
type Group struct {
	options Options
	leaves  []*Leaf
	// quietUntil holds the ends of the quiet periods that have not passed, also of leaves that
	// are not usable now.
	quietUntil map[catalog.Process]time.Duration
	// coldRate is the number of requests per second that all nodes together may send to a
	// cold leaf.
	coldRate float64
}

// NewGroup returns a group without leaves.
func NewGroup(o Options) *Group {
	return &Group{options: o, quietUntil: map[catalog.Process]time.Duration{}}
}

// Set replaces the usable leaves of the service. The state of leaves whose process is
// unchanged is kept.
func (g *Group) Set(now time.Duration, entries []*catalog.Leaf, service *catalog.Service) {
	g.coldRate = service.WarmupPerSecond*g.options.ColdRatio + g.options.ColdSlack
	old := make(map[string]*Leaf, len(g.leaves))
	for _, l := range g.leaves {
		old[l.Entry.ID] = l
	}
	maps.DeleteFunc(g.quietUntil, func(_ catalog.Process, until time.Duration) bool { return now >= until })
	g.leaves = g.leaves[:0:0]
	for _, e := range entries {
		l := old[e.ID]
		if l == nil || !l.Entry.SameProcess(e) {
			l = &Leaf{latencyRatio: 1, updatedAt: now, quietUntil: g.quietUntil[e.Process()]}
		}
		if l.Entry != e {
			l.coldUntil = 0
			if e.WarmupLeft > 0 {
				l.coldUntil = now + e.WarmupLeft
			}
			l.Entry = e
		}
		l.paced = service.Warmup > 0
		g.leaves = append(g.leaves, l)
	}
}

// SetConnections sets the connections of each leaf; of returns those of the leaf with an ID.
func (g *Group) SetConnections(of func(id string) Connections) {
	for _, l := range g.leaves {
		l.conns = of(l.Entry.ID)
	}
}

// Size returns the number of usable leaves.
func (g *Group) Size() int { return len(g.leaves) }

// Quiet keeps all calls from a process until a time, unless it wants none for longer.
func (g *Group) Quiet(p catalog.Process, until time.Duration) {
	until = max(until, g.quietUntil[p])
	g.quietUntil[p] = until
	for _, l := range g.leaves {
		if l.Entry.Process() == p {
			l.quietUntil = until
		}
	}
}

// QuietLeft returns the time until the first leaf may be called again, if all leaves have asked
// for quiet, and zero otherwise.
func (g *Group) QuietLeft(now time.Duration) time.Duration {
	var left time.Duration
	for _, l := range g.leaves {
		if !l.quiet(now) {
			return 0
		}
		if d := l.quietUntil - now; left == 0 || d < left {
			left = d
		}
	}
	return left
}

// Callable reports whether Begin would find a leaf for an idempotent call.
func (g *Group) Callable(now time.Duration, fleet *Fleet) bool {
	for _, l := range g.leaves {
		switch {
		case l.quiet(now), l.cold(now) && !g.hasColdPermit(now, l, fleet):
		case !l.ejected || !l.misdirected:
			return true
		case now >= l.ejectedUntil && len(l.inFlight) == 0:
			return true
		}
	}
	return false
}

// Saturated reports whether at every leaf that may be used all connections are in use and
// a call that waits for one would not be answered within the given time. It is false if no
// leaf may be used.
func (g *Group) Saturated(now time.Duration, opts CallOptions, within time.Duration, fleet *Fleet) bool {
	saturated := false
	for _, l := range g.leaves {
		if l.ejected || l.quiet(now) || l.cold(now) && !g.hasColdPermit(now, l, fleet) {
			continue
		}
		l.decay(now)
		if !l.saturated(opts.Mean, within, opts.Priority) {
			return false
		}
		saturated = true
	}
	return saturated
}

// CallOptions describes the call for which a leaf is chosen.
type CallOptions struct {
	// Mean is the expected latency of the call.
	Mean time.Duration
	// Tried are the IDs of the leaves to which the request was sent before.
	Tried []string
	// NonIdempotent is set for a call that is not idempotent. It is not used as a probe of an
	// ejected leaf while other leaves can be used.
	NonIdempotent bool
	// Hedge is set for a hedge. It is sent only to a leaf that is not ejected and has an
	// idle connection or may open one.
	Hedge bool
	// Priority is the priority of the call among those that wait for a connection; 0 is
	// the most urgent.
	Priority int
}

// Begin chooses a leaf and records the start of a call to it. It returns nil if no leaf may
// be used now. random is uniform in [0, 1).
func (g *Group) Begin(now time.Duration, opts CallOptions, fleet *Fleet, random float64) *Call {
	best, probe := g.choose(now, opts, fleet, random)
	if best == nil {
		return nil
	}
	if best.cold(now) {
		best.nextColdPermit = now + g.coldSpacing(best, fleet)
	}
	if probe {
		best.ejectedUntil = now + max(best.ejectDuration, minEjection)
	}
	c := &Call{ID: best.Entry.ID, Leaf: best, started: now, expected: opts.Mean, probe: probe}
	best.inFlight = append(best.inFlight, c)
	return c
}

func (g *Group) choose(now time.Duration, opts CallOptions, fleet *Fleet, random float64) (best *Leaf, probe bool) {
	var lowest float64
	var lastResort *Leaf
	for _, l := range g.leaves {
		if l.quiet(now) || slices.Contains(opts.Tried, l.Entry.ID) {
			continue
		}
		l.decay(now)
		l.checkWarm(now)
		if l.cold(now) && !g.hasColdPermit(now, l, fleet) {
			continue
		}
		if l.ejected {
			// A probe that is due takes precedence, so that the leaf can be restored.
			if now >= l.ejectedUntil && !opts.NonIdempotent && !opts.Hedge && len(l.inFlight) == 0 {
				return l, true
			}
			if !l.misdirected {
				lastResort = earlierProbe(lastResort, l)
			}
			continue
		}
		if opts.Hedge && l.full(opts.Priority) {
			continue
		}
		cost := g.cost(now, l, opts, random)
		if best == nil || cost < lowest {
			best, lowest = l, cost
		}
	}
	if best == nil && !opts.Hedge {
		return lastResort, lastResort != nil
	}
	return best, false
}

// earlierProbe returns whichever leaf's probe is due first; a may be nil.
func earlierProbe(a, b *Leaf) *Leaf {
	if a == nil || b.ejectedUntil < a.ejectedUntil {
		return b
	}
	return a
}

func (g *Group) cost(now time.Duration, l *Leaf, opts CallOptions, random float64) float64 {
	mean := float64(opts.Mean)
	cost := l.expectedLatency(opts.Mean)*(1+failureCost*l.failureRate) + l.connCost(opts.Mean, opts.Priority)
	if l.Entry.DataCentre != g.options.DataCentre {
		cost += remoteCost * mean * (1 + tieBreak(l.Entry.ID, random))
	}
	if l.overdue(now) {
		cost += overdueCost * mean
	}
	if !l.pace.Room(len(l.inFlight)) {
		cost += pacedCost * mean
	}
	if l.cold(now) {
		// A cold leaf is used only after all warm ones that answer.
		cost += overdueCost * mean / 2
	}
	return cost
}

// tieBreak returns a number in [0, 1) that orders equal leaves randomly.
func tieBreak(id string, random float64) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	x := float64(h.Sum32())/(1<<32) + random
	if x >= 1 {
		x--
	}
	return x
}

// hasColdPermit reports whether this node may send a request to a cold leaf now.
func (g *Group) hasColdPermit(now time.Duration, l *Leaf, fleet *Fleet) bool {
	return g.coldPermits(l, fleet) > 0 && now >= l.nextColdPermit
}

// coldPermits returns this node's share of the requests per second to a cold leaf. Permits
// that can't be divided equally go to the nodes that rank first.
func (g *Group) coldPermits(l *Leaf, fleet *Fleet) int {
	if !fleet.IsMember() {
		return 0
	}
	total := int(g.coldRate * coldFraction)
	permits := total / fleet.Size()
	if rank(l.Entry.ID, fleet) < total%fleet.Size() {
		permits++
	}
	return permits
}

// coldSpacing returns the minimum time between this node's requests to a cold leaf.
func (g *Group) coldSpacing(l *Leaf, fleet *Fleet) time.Duration {
	return coldInterval / time.Duration(max(g.coldPermits(l, fleet), 1))
}

// rank returns the position of this node, from 0, among the nodes ordered by rendezvous
// weight for a leaf.
func rank(leaf string, fleet *Fleet) int {
	own := rendezvous.Weight(leaf, fleet.Self)
	n := 0
	for _, name := range fleet.Names {
		if name == fleet.Self {
			continue
		}
		if w := rendezvous.Weight(leaf, name); w > own || w == own && name > fleet.Self {
			n++
		}
	}
	return n
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	// Answered means that the leaf gave a complete, valid answer.
	Answered Outcome = iota
	// Refused means that the leaf refused the call without running it.
	Refused
	// Failed means that the answer reports a failure or is invalid.
	Failed
	// Lost means that the connection ended before the answer.
	Lost
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misdirected means that another leaf, which uses the address now, answered.
	Misdirected
	// TimedOut means that there was no answer before the deadline.
	TimedOut
	// Abandoned means that this node cancelled the call.
	Abandoned
	// Withheld means that this node has not sent the call, because the leaf is leaving or wants
	// no requests, or because the call waited too long for a connection.
	Withheld
)

// Change is the effect of the end of a call on the ejection of its leaf.
type Change uint8

// The effects on a leaf.
const (
	// Unchanged means that the leaf stays ejected or in use.
	Unchanged Change = iota
	// Ejected means that the leaf gets no calls but probes from now on.
	Ejected
	// Restored means that the leaf is in use again.
	Restored
)

// End records the outcome of a call and returns its effect on the leaf. Only the first End
// of a call has an effect.
func (g *Group) End(now time.Duration, c *Call, outcome Outcome) Change {
	if c.ended {
		return Unchanged
	}
	c.ended = true
	before := c.Leaf.ejected
	c.Leaf.record(now, c, outcome)
	switch {
	case c.Leaf.ejected && !before:
		return Ejected
	case before && !c.Leaf.ejected:
		return Restored
	}
	return Unchanged
}

// record updates the statistics and the ejection of the leaf with the outcome of a call.
func (l *Leaf) record(now time.Duration, c *Call, outcome Outcome) {
	l.remove(c)
	l.decay(now)
	if outcome != Abandoned && outcome != Withheld {
		l.misdirected = false
	}
	relativeLatency := float64(now-c.started) / float64(max(c.expected, time.Microsecond))
	switch outcome {
	case Answered:
		l.restore()
		l.pace.Answered(relativeLatency)
		l.latencyRatio += latencyGain * (relativeLatency - l.latencyRatio)
		l.failureRate -= failureGain * l.failureRate
	case Refused, Failed:
		l.restore()
		if outcome == Refused && l.quiet(now) {
			// The leaf itself has told when it can be used again.
			break
		}
		l.pace.Refused()
		l.failureRate += failureGain * (1 - l.failureRate)
	case Lost:
		l.pace.Lost()
		l.failureRate += failureGain * (1 - l.failureRate)
		if c.probe {
			l.eject(now)
		}
	case Unreachable, TimedOut:
		l.pace.Lost()
		l.failureRate += failureGain * (1 - l.failureRate)
		l.eject(now)
	case Misdirected:
		l.failureRate += failureGain * (1 - l.failureRate)
		l.ejectMisdirected(now)
	case Abandoned:
		if relativeLatency > l.latencyRatio {
			l.latencyRatio += latencyGain * (relativeLatency - l.latencyRatio)
		}
	}
}

// Census is the number of leaves in each state.
type Census struct {
	Warm    int
	Cold    int
	Ejected int
	// Quiet counts the leaves that want no requests.
	Quiet int
}

// Census counts the leaves by state. A quiet leaf counts only as quiet, and an ejected one only
// as ejected.
func (g *Group) Census(now time.Duration) Census {
	var n Census
	for _, l := range g.leaves {
		switch {
		case l.quiet(now):
			n.Quiet++
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
