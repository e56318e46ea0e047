// Package warmup tracks whether a leaf is cold, warming, warm or leaving and
// bounds the number of concurrent calls that one holder sends to it.
//
// A leaf about which nothing is known is cold. It stays at the cold bound until
// it has answered WarmAfter calls of the same epoch, gains one slot for each
// further WarmAfter answers, and falls back to cold on a new incarnation, a
// reset, a long silence, its own word, a lasting latency jump or sheds. Health
// and load endpoints can lower the bound and never raise it.
//
// The package is pure: time is passed in as a monotonic offset, and the caller
// serializes the calls of one Tracker.
package warmup

import "time"

// State is the condition of a leaf.
type State uint8

// The conditions of a leaf.
const (
	Cold State = iota
	Warming
	Warm
	Leaving
)

// String returns the name of s.
func (s State) String() string {
	return [...]string{"cold", "warming", "warm", "leaving"}[s]
}

const (
	// maxBackoff bounds the doublings of the successes that a cold start needs.
	maxBackoff = 4
	// stableFactor is the multiple of WarmAfter in successes of a warm leaf that
	// ends the backoff.
	stableFactor = 20
	// shedLimit is the shed score of a warm leaf that makes it cold.
	shedLimit = 2.0
	// shedDecay is the part of a shed that one success takes back.
	shedDecay = 0.125
	// peerHold is the time after a first fall for which PeerWarm is ignored.
	peerHold = time.Second
)

// Tracker holds the state of one leaf as its holder sees it.
type Tracker struct {
	cfg   Config
	state State
	epoch Epoch
	// cause is why the present epoch began.
	cause       Cause
	incarnation string
	// retired holds earlier incarnations, the last one first.
	retired [4]string
	// successes counts answers since the state or the number of slots changed.
	successes int
	// gained is the number of slots above the cold bound.
	gained      int
	backoff     int
	heard       time.Duration
	shedScore   float64
	timeouts    int
	latency     latencyWatch
	leaving     Source
	leavingWord time.Duration
	// busyUntil and coldUntil are when the hints of load and of a cold start end.
	busyUntil time.Duration
	coldUntil time.Duration
	// peerFrom is the instant from which PeerWarm is believed again.
	peerFrom time.Duration
}

// New returns a Tracker of an unknown and therefore cold leaf.
func New(now time.Duration, cfg Config) *Tracker {
	cfg = cfg.withDefaults()
	return &Tracker{cfg: cfg, epoch: 1, heard: now}
}

// State returns the state of the leaf at now.
func (t *Tracker) State(now time.Duration) State {
	t.expire(now)
	if t.leaving != 0 {
		return Leaving
	}
	return t.state
}

// Epoch returns the epoch that a call sent at now belongs to.
func (t *Tracker) Epoch(now time.Duration) Epoch {
	t.expire(now)
	return t.epoch
}

// Cause returns why the leaf was last taken as cold.
func (t *Tracker) Cause() Cause { return t.cause }

// Incarnation returns the incarnation last seen, and "" if none is known.
func (t *Tracker) Incarnation() string { return t.incarnation }

// Bound returns the number of calls that may run on the leaf at now.
func (t *Tracker) Bound(now time.Duration) int {
	t.expire(now)
	if t.leaving != 0 {
		return 0
	}
	bound := t.stateBound()
	if now < t.busyUntil {
		bound = min(bound, max(t.cfg.ColdSlots, 1))
	}
	if now < t.coldUntil {
		bound = min(bound, t.cfg.ColdSlots)
	}
	return bound
}

func (t *Tracker) stateBound() int {
	switch t.state {
	case Warm:
		return t.cfg.Slots
	case Warming:
		return min(t.cfg.ColdSlots+t.gained, t.cfg.Slots)
	default:
		return t.cfg.ColdSlots
	}
}

// SetShare changes the holder's share of the leaf's slots. The state stays.
func (t *Tracker) SetShare(slots, coldSlots int) {
	t.cfg.Slots = max(slots, 0)
	t.cfg.ColdSlots = min(max(coldSlots, 0), t.cfg.Slots)
}

// Success counts an answer. An answer to a call of an earlier epoch says
// nothing about the process that serves now and is not counted.
func (t *Tracker) Success(now time.Duration, a Answer) {
	if !t.current(now, a.Sent, a.Incarnation) {
		return
	}
	t.heard = now
	t.timeouts = 0
	if a.Cold {
		t.fall(now, OwnWord)
		return
	}
	t.shedScore = max(t.shedScore-shedDecay, 0)
	if t.latency.observe(a.Latency, t.state != Cold, t.cfg) {
		t.fall(now, LatencyJump)
		return
	}
	t.successes++
	t.advance()
}

// Failed counts a call that was not served. A failure of an earlier epoch is
// not counted.
func (t *Tracker) Failed(now time.Duration, f Failure) {
	if !t.current(now, f.Sent, f.Incarnation) {
		return
	}
	switch f.Reason {
	case RefusedLeaving:
		t.SetLeaving(now, LeafReport, true)
	case RefusedCold:
		t.fall(now, OwnWord)
	case Disconnected:
		t.fall(now, ConnectionLoss)
	case Shed:
		t.shed(now)
	case Timeout:
		t.timeout(now)
	}
}

// Reset records that the leaf may have restarted or that the holder was paused.
func (t *Tracker) Reset(now time.Duration) { t.reset(now, PossibleRestart) }

func (t *Tracker) reset(now time.Duration, cause Cause) {
	t.heard = now
	t.fall(now, cause)
}

// SetIncarnation records the incarnation that the leaf names on a connection
// opened at now. A change makes the leaf cold.
func (t *Tracker) SetIncarnation(now time.Duration, id string) {
	if id == "" || id == t.incarnation {
		return
	}
	t.replace(now, id)
}

// SetLeaving records or withdraws the word of one source that the leaf is
// leaving. When the last word is withdrawn the leaf is cold.
func (t *Tracker) SetLeaving(now time.Duration, src Source, leaving bool) {
	before := t.leaving
	if leaving {
		t.leaving |= src
	} else {
		t.leaving &^= src
	}
	if src == LeafReport && leaving {
		t.leavingWord = now
	}
	if before != 0 && t.leaving == 0 {
		t.reset(now, StayedAfterAll)
	}
}

// Hint records the content of a health or load endpoint. It caps the bound at
// the cold bound for Config.HintFor and otherwise changes nothing. A holder
// without cold slots keeps one slot of a leaf that is only overloaded.
func (t *Tracker) Hint(now time.Duration, h Hint) {
	if h.Overloaded {
		t.busyUntil = now + t.cfg.HintFor
	}
	if h.Cold {
		t.coldUntil = now + t.cfg.HintFor
	}
}

// PeerWarm records the word of the leaf's first holder that it has warmed the
// given incarnation. It lets a holder without cold slots begin with one slot,
// but not directly after this holder saw the leaf fall.
func (t *Tracker) PeerWarm(now time.Duration, id string) {
	t.expire(now)
	if id == "" || t.isRetired(id) {
		return
	}
	if t.incarnation == "" {
		t.incarnation = id
	}
	if id != t.incarnation || t.state != Cold || t.cfg.ColdSlots > 0 {
		return
	}
	if now < t.peerFrom {
		return
	}
	t.heard = now
	t.state = Warming
	t.gained = 1
}
