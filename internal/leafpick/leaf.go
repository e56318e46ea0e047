// Package leafpick chooses the leaf of a service for each call by the outcomes of earlier
// calls: latency, unanswered calls, refusals and failures.
//
// The package is pure: the caller passes in the time, as a monotonic offset, and random
// numbers. The caller also serializes the calls to one Group.
package leafpick

import (
	"math"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/pace"
)

const (
	// latencyGain is the weight of a new sample of a leaf's relative latency.
	latencyGain = 0.25
	// failureGain is the weight of a new sample of a leaf's failure rate.
	failureGain = 0.3
	// decayHalfLife is the time in which the statistics of a leaf without calls lose half
	// of their weight.
	decayHalfLife = 2500 * time.Millisecond
	// A call that is unanswered for longer than overdueFactor times its expected latency at
	// the leaf plus overdueMargin is overdue; the leaf is then taken to be paused.
	overdueFactor = 3
	overdueMargin = 4 * time.Millisecond
	// connectTime is the expected time to open a connection to a leaf.
	connectTime = 6 * time.Millisecond
	// transientConnCost is the added cost of a leaf to which no connection is kept open, in
	// multiples of the mean latency. Each call to it makes the leaf accept a new
	// connection, but it is still preferred to a paused or failing leaf.
	transientConnCost = 4
	// deadlineFraction is the fraction of the remaining time that a call of average duration
	// may take. The slowest call of a gathered request takes longer than the average.
	deadlineFraction = 0.75
	// minEjection and maxEjection bound the ejection of a leaf that is unreachable or did
	// not answer before the deadline.
	minEjection = 400 * time.Millisecond
	maxEjection = 4 * time.Second
	// misdirectedEjection is the time between probes of an address that another leaf
	// uses now. Such a probe is a request at a service that it is not meant for, so each
	// node makes only one in a window in which repeated requests are counted.
	misdirectedEjection = 10 * time.Second
)

// Connections reports the state of this node's connections to a leaf.
type Connections interface {
	// State returns the state as it applies to a request of the given priority.
	State(priority int) ConnState
}

// ConnState is the state of the connections of this node to a leaf.
type ConnState struct {
	// Idle is set if an idle connection is open.
	Idle bool
	// Full is set if all connections are in use and no more may be opened.
	Full bool
	// Persistent is set if connections stay open after use. Otherwise each is opened for one
	// call.
	Persistent bool
	// Limit is the maximum number of connections.
	Limit int
	// Waiting is the number of requests that wait for a connection and are at least as
	// urgent.
	Waiting int
}

// Call is one call in flight.
type Call struct {
	// ID is the ID of the leaf. Unlike the leaf's entry, it never changes.
	ID       string
	Leaf     *Leaf
	started  time.Duration
	expected time.Duration
	// probe is set for a call that tests whether an ejected leaf can be restored.
	probe bool
	ended bool
}

// Leaf holds the catalog entry, the call statistics and the ejection state of one leaf.
type Leaf struct {
	Entry *catalog.Leaf
	conns Connections
	// latencyRatio is the moving average of the ratio of the leaf's latency to the one that
	// callers expect.
	latencyRatio float64
	// failureRate is the fraction of recent calls that failed, 0 to 1.
	failureRate float64
	// updatedAt is when latencyRatio and failureRate were last decayed.
	updatedAt time.Duration
	inFlight  []*Call
	// ejectedUntil is when the next probe may be sent to an ejected leaf.
	ejectedUntil  time.Duration
	ejectDuration time.Duration
	ejected       bool
	// misdirected is set if another leaf at the address answered the last call that was
	// not abandoned.
	misdirected bool
	// coldUntil is the end of the leaf's cold start.
	coldUntil      time.Duration
	nextColdPermit time.Duration
	// wasCold is set from the begin of a cold start until the pace after it begins.
	wasCold bool
	// pace is the pace of a leaf that has just started or recovered. It is found if paced is set.
	pace  pace.Pace
	paced bool
	// quietUntil is the end of the time for which the leaf wants no requests.
	quietUntil time.Duration
}

// decay moves the statistics towards their neutral values.
func (l *Leaf) decay(now time.Duration) {
	passed := now - l.updatedAt
	if passed <= 0 {
		return
	}
	keep := math.Exp2(-float64(passed) / float64(decayHalfLife))
	l.latencyRatio = 1 + (l.latencyRatio-1)*keep
	l.failureRate *= keep
	l.updatedAt = now
}

// overdue reports whether a call in flight is overdue.
func (l *Leaf) overdue(now time.Duration) bool {
	for _, c := range l.inFlight {
		if now-c.started > time.Duration(overdueFactor*l.latencyRatio*float64(c.expected))+overdueMargin {
			return true
		}
	}
	return false
}

func (l *Leaf) cold(now time.Duration) bool { return now < l.coldUntil }

// beginPace finds the pace of the leaf anew.
func (l *Leaf) beginPace() {
	if l.paced {
		l.pace.Begin(l.Entry.Slots)
	}
}

// checkWarm begins the pace of a leaf whose cold start has ended.
func (l *Leaf) checkWarm(now time.Duration) {
	switch cold := l.cold(now); {
	case cold:
		l.wasCold = true
	case l.wasCold:
		l.wasCold = false
		l.beginPace()
	}
}

func (l *Leaf) quiet(now time.Duration) bool { return now < l.quietUntil }

// expectedLatency returns the expected latency of one more call, given that the calls in
// flight share the leaf's slots.
func (l *Leaf) expectedLatency(mean time.Duration) float64 {
	waiting := float64(len(l.inFlight)) / float64(l.Entry.Slots)
	return float64(mean) * l.latencyRatio * (1 + waiting)
}

// connCost returns the cost of getting a connection: the expected wait for one, and an
// added cost if none is kept open.
func (l *Leaf) connCost(mean time.Duration, priority int) float64 {
	if l.conns == nil {
		return 0
	}
	state := l.conns.State(priority)
	cost := 0.0
	if !state.Persistent {
		cost = transientConnCost * float64(mean)
	}
	switch {
	case state.Full:
		cost += float64(mean) * l.latencyRatio
	case !state.Idle:
		cost += float64(connectTime)
	}
	return cost
}

// full reports whether a call would have to wait for a connection.
func (l *Leaf) full(priority int) bool { return l.conns != nil && l.conns.State(priority).Full }

// saturated reports whether all connections to the leaf are in use and a call that waits
// for one is not expected to be answered within the given time.
func (l *Leaf) saturated(mean, within time.Duration, priority int) bool {
	if l.conns == nil {
		return false
	}
	state := l.conns.State(priority)
	if !state.Full {
		return false
	}
	answer := float64(mean) * l.latencyRatio
	// If calls started at random times, n connections become free one after the other, at
	// intervals of 1/(n+1) of a call's duration.
	wait := answer * float64(1+state.Waiting) / float64(1+state.Limit)
	return wait+answer > deadlineFraction*float64(within)
}

// eject ejects the leaf. The duration doubles with each ejection in a row, up to
// maxEjection.
func (l *Leaf) eject(now time.Duration) {
	l.setEjected(now, min(max(2*l.ejectDuration, minEjection), maxEjection))
}

// ejectMisdirected ejects the leaf because another one uses its address. Until a probe is
// due it is not called even if no other leaf is left.
func (l *Leaf) ejectMisdirected(now time.Duration) {
	l.misdirected = true
	l.setEjected(now, misdirectedEjection)
}

func (l *Leaf) setEjected(now, d time.Duration) {
	l.ejectDuration = d
	l.ejected = true
	l.ejectedUntil = now + d
}

func (l *Leaf) restore() {
	if l.ejected {
		l.beginPace()
	}
	l.ejected = false
	l.ejectDuration = 0
}

func (l *Leaf) remove(c *Call) {
	for i, other := range l.inFlight {
		if other == c {
			l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
			return
		}
	}
}
