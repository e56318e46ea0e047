package warmup

import "time"

// current reports whether an outcome belongs to the present epoch. An outcome
// of the present epoch that names another incarnation begins a new epoch.
func (t *Tracker) current(now time.Duration, sent Epoch, incarnation string) bool {
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
	t.replace(now, incarnation)
	return false
}

// replace begins the cold start of another incarnation.
func (t *Tracker) replace(now time.Duration, id string) {
	if t.incarnation != "" {
		copy(t.retired[1:], t.retired[:])
		t.retired[0] = t.incarnation
	}
	t.incarnation = id
	t.heard = now
	t.fall(now, OtherProcess)
	t.backoff = 0
	t.peerFrom = now
	t.leaving &^= LeafReport
}

func (t *Tracker) isRetired(id string) bool {
	for _, old := range t.retired {
		if old == id {
			return true
		}
	}
	return false
}

// expire applies the changes that time alone brings: a silent leaf becomes cold
// and a leaf's old word that it is leaving ends.
func (t *Tracker) expire(now time.Duration) {
	if t.state != Cold && now-t.heard >= t.cfg.SilentAfter {
		t.reset(now, Silence)
	}
	if t.leaving&LeafReport != 0 && now-t.leavingWord >= t.cfg.LeavingFor {
		t.SetLeaving(now, LeafReport, false)
	}
}

// fall begins a new epoch in the cold state. A leaf that falls again before it
// has been stable needs twice as many successes, up to a limit.
func (t *Tracker) fall(now time.Duration, cause Cause) {
	t.cause = cause
	if t.state != Cold {
		t.backoff = min(t.backoff+1, maxBackoff)
	}
	t.epoch++
	t.peerFrom = now + peerHold<<t.backoff
	t.state = Cold
	t.successes = 0
	t.gained = 0
	t.shedScore = 0
	t.timeouts = 0
	t.latency.slow = 0
}

// advance moves the leaf towards warm after a success.
func (t *Tracker) advance() {
	switch t.state {
	case Cold:
		if t.successes >= t.needed() {
			t.state = Warming
			t.gain()
		}
	case Warming:
		if t.successes >= t.cfg.WarmAfter {
			t.gain()
		}
	case Warm:
		if t.successes >= stableFactor*t.cfg.WarmAfter {
			t.backoff = 0
			t.successes = 0
		}
	}
}

// needed returns the number of successes that the cold start needs.
func (t *Tracker) needed() int {
	return t.cfg.WarmAfter << max(t.backoff-1, 0)
}

// gain adds one slot, and makes the leaf warm after one more round of successes
// at its full share.
func (t *Tracker) gain() {
	t.successes = 0
	if t.cfg.ColdSlots+t.gained >= t.cfg.Slots {
		t.state = Warm
		return
	}
	t.gained++
}

// shed counts a refusal because of load: a leaf that is not yet warm falls at
// once, a warm one when sheds outweigh successes.
func (t *Tracker) shed(now time.Duration) {
	t.shedScore++
	if t.state != Warm || t.shedScore >= shedLimit {
		t.fall(now, Overload)
	}
}

func (t *Tracker) timeout(now time.Duration) {
	t.timeouts++
	if t.state != Warm || t.timeouts >= t.cfg.TimeoutAfter {
		t.fall(now, Timeouts)
	}
}
