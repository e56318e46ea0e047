// Package leafpick chooses the leaf of a service for each call, from what calls
// have shown: latency, unanswered calls, refusals and failures.
//
// The package is pure: time is passed in as a monotonic offset and random numbers
// by the caller, who also serializes the calls of one Group.
package leafpick

import (
	"math"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

const (
	// ratioGain is the weight of a new sample of a leaf's relative latency.
	ratioGain = 0.25
	// failGain is the weight of a new sample of a leaf's failure rate.
	failGain = 0.3
	// halfLife is the time in which what is known of a leaf without calls loses
	// half of its weight.
	halfLife = 2500 * time.Millisecond
	// overdueFactor times the expected latency, plus overdueMargin, is when an
	// unanswered call marks its leaf as paused.
	overdueFactor = 3
	overdueMargin = 4 * time.Millisecond
	// connectTime is the expected time to open a connection to a leaf.
	connectTime = 6 * time.Millisecond
	// guestCost is the added cost of a leaf to which no connection is kept, in
	// multiples of the mean latency. Each call there costs the leaf a new connection,
	// but less than what a paused or failing leaf takes.
	guestCost = 4
	// inTimePart is the part of the time left that the mean of a gather's calls may take;
	// the slowest of them takes longer.
	inTimePart = 0.75
	// minEject and maxEject bound the time that a leaf is left out after it could
	// not be reached or let a call time out.
	minEject = 400 * time.Millisecond
	maxEject = 4 * time.Second
	// misdirectedEject is the time between calls to an address that another leaf has
	// taken. Such calls are arrivals at a service that they are not for, so that each
	// node makes one in a window in which repeats are counted.
	misdirectedEject = 10 * time.Second
)

// Connections tells what connections to a leaf are there.
type Connections interface {
	// State returns the state for a request of a priority.
	State(priority int) ConnState
}

// ConnState is the state of the connections of this node to a leaf.
type ConnState struct {
	// Idle says that an idle connection is open.
	Idle bool
	// Full says that all connections are in use and no other may be opened.
	Full bool
	// Kept says that a connection is kept after use. Others are opened for one call.
	Kept bool
	// Limit is the greatest number of connections.
	Limit int
	// Waiting is the number of requests of at least the same urgency that wait for a
	// connection.
	Waiting int
}

// Call is one call in flight.
type Call struct {
	// ID names the leaf; unlike the leaf's entry it never changes.
	ID       string
	Leaf     *Leaf
	started  time.Duration
	expected time.Duration
	trial    bool
	ended    bool
}

// Leaf is what is known of one leaf.
type Leaf struct {
	Entry *catalog.Leaf
	conns Connections
	// ratio is the leaf's latency relative to what the callers expect.
	ratio float64
	// failing is the share of recent calls that failed, 0 to 1.
	failing float64
	// updated is when ratio and failing were last brought up to date.
	updated time.Duration
	calls   []*Call
	// ejectedUntil is when the next trial call may be sent to an ejected leaf.
	ejectedUntil time.Duration
	ejectFor     time.Duration
	ejected      bool
	// misdirected is set while the last answer came from another leaf at the address.
	misdirected bool
	// coldUntil is the end of the leaf's cold start.
	coldUntil time.Duration
	nextCold  time.Duration
}

// decay moves what is known towards the normal state.
func (l *Leaf) decay(now time.Duration) {
	passed := now - l.updated
	if passed <= 0 {
		return
	}
	keep := math.Exp2(-float64(passed) / float64(halfLife))
	l.ratio = 1 + (l.ratio-1)*keep
	l.failing *= keep
	l.updated = now
}

// overdue reports whether a call has been unanswered for longer than expected.
func (l *Leaf) overdue(now time.Duration) bool {
	for _, c := range l.calls {
		if now-c.started > time.Duration(overdueFactor*l.ratio*float64(c.expected))+overdueMargin {
			return true
		}
	}
	return false
}

func (l *Leaf) cold(now time.Duration) bool { return now < l.coldUntil }

// expected returns the expected latency of one more call, with the calls in flight
// sharing the leaf's slots.
func (l *Leaf) expected(mean time.Duration) float64 {
	waiting := float64(len(l.calls)) / float64(l.Entry.Slots)
	return float64(mean) * l.ratio * (1 + waiting)
}

// connCost returns the expected wait for a connection.
func (l *Leaf) connCost(mean time.Duration, priority int) float64 {
	if l.conns == nil {
		return 0
	}
	state := l.conns.State(priority)
	cost := 0.0
	if !state.Kept {
		cost = guestCost * float64(mean)
	}
	switch {
	case state.Full:
		cost += float64(mean) * l.ratio
	case !state.Idle:
		cost += float64(connectTime)
	}
	return cost
}

// full reports whether a call would have to wait for a connection.
func (l *Leaf) full(priority int) bool { return l.conns != nil && l.conns.State(priority).Full }

// saturated reports whether all connections to the leaf are in use, and a call that waits
// for one is expected to be answered later than within.
func (l *Leaf) saturated(mean, within time.Duration, priority int) bool {
	if l.conns == nil {
		return false
	}
	state := l.conns.State(priority)
	if !state.Full {
		return false
	}
	answer := float64(mean) * l.ratio
	// Calls that have begun at random times leave n connections one after the other, each
	// after a part 1/(n+1) of a call.
	wait := answer * float64(1+state.Waiting) / float64(1+state.Limit)
	return wait+answer > inTimePart*float64(within)
}

// eject leaves the leaf out, each time in a row for longer.
func (l *Leaf) eject(now time.Duration) {
	l.leaveOut(now, min(max(2*l.ejectFor, minEject), maxEject))
}

// misdirect leaves the leaf out, also where no other leaf is left.
func (l *Leaf) misdirect(now time.Duration) {
	l.misdirected = true
	l.leaveOut(now, misdirectedEject)
}

func (l *Leaf) leaveOut(now, d time.Duration) {
	l.ejectFor = d
	l.ejected = true
	l.ejectedUntil = now + d
}

func (l *Leaf) restore() {
	l.ejected = false
	l.ejectFor = 0
}

func (l *Leaf) remove(c *Call) {
	for i, other := range l.calls {
		if other == c {
			l.calls = append(l.calls[:i], l.calls[i+1:]...)
			return
		}
	}
}
