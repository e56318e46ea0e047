// Package warmup tracks whether a leaf is cold, warming, warm or leaving and
// bounds the number of concurrent calls that one holder sends to it.
//
// A leaf about which nothing is known is cold. It stays at the cold bound until it
// has answered WarmAfter calls of the same epoch, or more after repeated cold
// starts, and then gains one slot for each further WarmAfter answers. It becomes
// cold again for each reason that Cause lists, such as a new incarnation, a lost
// connection or a long silence. Health and load endpoints can lower the bound but
// never raise it.
//
// The package does no I/O and does not read a clock: time is passed in as a
// monotonic offset, and the caller must serialize the calls of one Tracker.
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
	// maxBackoff bounds the backoff. The successes that a cold start needs double
	// with each backoff step after the first.
	maxBackoff = 4
	// stableFactor times WarmAfter is the number of successes after which the
	// backoff of a warm leaf is reset.
	stableFactor = 20
	// shedLimit is the shed score at which a warm leaf becomes cold.
	shedLimit = 2.0
	// shedDecay is the amount by which one success lowers the shed score. One shed
	// raises it by 1.
	shedDecay = 0.125
	// basePeerWarmDelay is the time after the start of an epoch for which PeerWarm
	// is ignored, unless the epoch began with a new incarnation. It doubles with
	// each backoff step.
	basePeerWarmDelay = time.Second
)

// Tracker holds the state of one leaf as observed by one holder.
type Tracker struct {
	cfg   Config
	state State
	epoch Epoch
	// cause is the reason for which the current epoch began.
	cause       Cause
	incarnation string
	// pastIncarnations holds earlier incarnations, the most recent one first.
	pastIncarnations [4]string
	// successes counts answers since the state, the number of extra slots or the
	// backoff last changed.
	successes int
	// extraSlots is the number of slots above the cold bound.
	extraSlots int
	backoff    int
	lastHeard  time.Duration
	shedScore  float64
	timeouts   int
	latency    latencyDetector
	// leaving is the set of sources that report the leaf as leaving.
	leaving LeavingSource
	// leafLeavingAt is the time of the last such report of the leaf itself.
	leafLeavingAt time.Duration
	// overloadHintUntil and coldHintUntil are the times at which hints of overload
	// and of a cold start expire.
	overloadHintUntil time.Duration
	coldHintUntil     time.Duration
	// peerWarmFrom is the time from which PeerWarm is accepted again.
	peerWarmFrom time.Duration
}

// New returns a Tracker for a leaf about which nothing is known and which is
// therefore cold.
func New(now time.Duration, cfg Config) *Tracker {
	cfg = cfg.withDefaults()
	return &Tracker{cfg: cfg, epoch: 1, lastHeard: now}
}

// State returns the state of the leaf at now.
func (t *Tracker) State(now time.Duration) State {
	t.expire(now)
	if t.leaving != 0 {
		return Leaving
	}
	return t.state
}

// Epoch returns the epoch of a call that is sent at now.
func (t *Tracker) Epoch(now time.Duration) Epoch {
	t.expire(now)
	return t.epoch
}

// Cause returns the reason for which the leaf last became cold.
func (t *Tracker) Cause() Cause { return t.cause }

// Incarnation returns the current incarnation, and "" if it is not known.
func (t *Tracker) Incarnation() string { return t.incarnation }

// Bound returns the number of calls that this holder may have in flight at the leaf
// at now.
func (t *Tracker) Bound(now time.Duration) int {
	t.expire(now)
	if t.leaving != 0 {
		return 0
	}
	bound := t.stateBound()
	if now < t.overloadHintUntil {
		bound = min(bound, max(t.cfg.ColdSlots, 1))
	}
	if now < t.coldHintUntil {
		bound = min(bound, t.cfg.ColdSlots)
	}
	return bound
}

func (t *Tracker) stateBound() int {
	switch t.state {
	case Warm:
		return t.cfg.Slots
	case Warming:
		return min(t.cfg.ColdSlots+t.extraSlots, t.cfg.Slots)
	default:
		return t.cfg.ColdSlots
	}
}

// SetShare changes the holder's share of the leaf's slots. The state of the leaf does
// not change.
func (t *Tracker) SetShare(slots, coldSlots int) {
	t.cfg.Slots = max(slots, 0)
	t.cfg.ColdSlots = min(max(coldSlots, 0), t.cfg.Slots)
}

// Success records an answer. An answer to a call of an earlier epoch is ignored,
// since it may come from an earlier process of the leaf.
func (t *Tracker) Success(now time.Duration, a Answer) {
	if !t.acceptOutcome(now, a.Sent, a.Incarnation) {
		return
	}
	t.lastHeard = now
	t.timeouts = 0
	if a.Cold {
		t.enterCold(now, SelfReported)
		return
	}
	t.shedScore = max(t.shedScore-shedDecay, 0)
	if t.latency.observe(a.Latency, t.state != Cold, t.cfg) {
		t.enterCold(now, LatencyJump)
		return
	}
	t.successes++
	t.advance()
}

// Failed records a call that was not served. A failure of an earlier epoch is
// ignored.
func (t *Tracker) Failed(now time.Duration, f Failure) {
	if !t.acceptOutcome(now, f.Sent, f.Incarnation) {
		return
	}
	switch f.Reason {
	case RefusedLeaving:
		t.SetLeaving(now, LeafReport, true)
	case RefusedCold:
		t.enterCold(now, SelfReported)
	case Disconnected:
		t.enterCold(now, ConnectionLoss)
	case Shed:
		t.recordShed(now)
	case Timeout:
		t.recordTimeout(now)
	}
}

// Reset records that the leaf may have restarted or that the holder was paused.
func (t *Tracker) Reset(now time.Duration) { t.reset(now, PossibleRestart) }

func (t *Tracker) reset(now time.Duration, cause Cause) {
	t.lastHeard = now
	t.enterCold(now, cause)
}

// SetIncarnation records the incarnation that the leaf reports on a connection
// opened at now. A change makes the leaf cold.
func (t *Tracker) SetIncarnation(now time.Duration, id string) {
	if id == "" || id == t.incarnation {
		return
	}
	t.switchIncarnation(now, id)
}

// SetLeaving records or withdraws the report of one source that the leaf is leaving.
// When the last report is withdrawn, the leaf becomes cold.
func (t *Tracker) SetLeaving(now time.Duration, src LeavingSource, leaving bool) {
	before := t.leaving
	if leaving {
		t.leaving |= src
	} else {
		t.leaving &^= src
	}
	if src == LeafReport && leaving {
		t.leafLeavingAt = now
	}
	if before != 0 && t.leaving == 0 {
		t.reset(now, LeavingWithdrawn)
	}
}

// Hint records the content of a health or load endpoint. It limits the bound to the
// cold bound for Config.HintTTL and has no other effect. A holder without cold slots
// keeps one slot of a leaf that is overloaded but not cold.
func (t *Tracker) Hint(now time.Duration, h Hint) {
	if h.Overloaded {
		t.overloadHintUntil = now + t.cfg.HintTTL
	}
	if h.Cold {
		t.coldHintUntil = now + t.cfg.HintTTL
	}
}

// PeerWarm records the report of the leaf's first holder that the given incarnation
// is warm. A holder without cold slots then starts with one slot, unless the leaf
// became cold at this holder shortly before.
func (t *Tracker) PeerWarm(now time.Duration, id string) {
	t.expire(now)
	if id == "" || t.isPastIncarnation(id) {
		return
	}
	if t.incarnation == "" {
		t.incarnation = id
	}
	if id != t.incarnation || t.state != Cold || t.cfg.ColdSlots > 0 {
		return
	}
	if now < t.peerWarmFrom {
		return
	}
	t.lastHeard = now
	t.state = Warming
	t.extraSlots = 1
}
