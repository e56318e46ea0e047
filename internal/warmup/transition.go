package warmup

import "time"

// acceptOutcome reports whether an outcome belongs to the current epoch. An outcome
// of the current epoch with another incarnation starts a new epoch and is not
// accepted.
func (t *Tracker) acceptOutcome(now time.Duration, sent Epoch, incarnation string) bool {
	t.expire(now)
	if sent != t.epoch {
		return false
	}
	if incarnation == "" || incarnation == t.incarnation {
		return true
	}
	if t.incarnation == "" {
		t.incarnation = incarnation
		return true
	}
	t.switchIncarnation(now, incarnation)
	return false
}

// switchIncarnation starts the cold start of another incarnation.
func (t *Tracker) switchIncarnation(now time.Duration, id string) {
	if t.incarnation != "" {
		copy(t.pastIncarnations[1:], t.pastIncarnations[:])
		t.pastIncarnations[0] = t.incarnation
	}
	t.incarnation = id
	t.lastHeard = now
	t.enterCold(now, NewIncarnation)
	t.backoff = 0
	t.peerWarmFrom = now
	t.leaving &^= LeafReport
}

func (t *Tracker) isPastIncarnation(id string) bool {
	for _, past := range t.pastIncarnations {
		if past == id {
			return true
		}
	}
	return false
}

// expire applies the changes that depend on time only: a silent leaf becomes cold,
// and a leaf's own report that it is leaving expires.
func (t *Tracker) expire(now time.Duration) {
	if t.state != Cold && now-t.lastHeard >= t.cfg.SilenceTimeout {
		t.reset(now, Silence)
	}
	if t.leaving&LeafReport != 0 && now-t.leafLeavingAt >= t.cfg.LeavingTTL {
		t.SetLeaving(now, LeafReport, false)
	}
}

// enterCold starts a new epoch in the cold state. A leaf that becomes cold again
// before it has been stable needs twice as many successes, up to a limit.
func (t *Tracker) enterCold(now time.Duration, cause Cause) {
	t.cause = cause
	if t.state != Cold {
		t.backoff = min(t.backoff+1, maxBackoff)
	}
	t.epoch++
	t.peerWarmFrom = now + basePeerWarmDelay<<t.backoff
	t.state = Cold
	t.successes = 0
	t.extraSlots = 0
	t.shedScore = 0
	t.timeouts = 0
	t.latency.slowInRow = 0
}

// advance updates the state after a success.
func (t *Tracker) advance() {
	switch t.state {
	case Cold:
		if t.successes >= t.requiredSuccesses() {
			t.state = Warming
			t.addSlot()
		}
	case Warming:
		if t.successes >= t.cfg.WarmAfter {
			t.addSlot()
		}
	case Warm:
		if t.successes >= stableFactor*t.cfg.WarmAfter {
			t.backoff = 0
			t.successes = 0
		}
	}
}

// requiredSuccesses returns the number of successes that end the cold start.
func (t *Tracker) requiredSuccesses() int {
	return t.cfg.WarmAfter << max(t.backoff-1, 0)
}

// addSlot adds one slot, or makes the leaf warm if it already has the holder's full
// share.
func (t *Tracker) addSlot() {
	t.successes = 0
	if t.cfg.ColdSlots+t.extraSlots >= t.cfg.Slots {
		t.state = Warm
		return
	}
	t.extraSlots++
}

// recordShed records a refusal because of load. A leaf that is not warm becomes cold
// immediately, a warm one when its shed score reaches the limit.
func (t *Tracker) recordShed(now time.Duration) {
	t.shedScore++
	if t.state != Warm || t.shedScore >= shedLimit {
		t.enterCold(now, Overload)
	}
}

func (t *Tracker) recordTimeout(now time.Duration) {
	t.timeouts++
	if t.state != Warm || t.timeouts >= t.cfg.TimeoutAfter {
		t.enterCold(now, Timeouts)
	}
}
