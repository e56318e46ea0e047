package warmup

import "time"

const (
	// baseWeight is the weight of a new latency in the average.
	baseWeight = 0.02
	// minJump is the least latency that counts as slow.
	minJump = 5 * time.Millisecond
)

// latencyWatch detects a lasting rise of the latency of a leaf that is not cold.
type latencyWatch struct {
	base time.Duration
	slow int
}

// observe adds one latency and reports whether the latency has jumped. The
// latencies of a cold leaf form no part of the average.
func (w *latencyWatch) observe(d time.Duration, counts bool, cfg Config) bool {
	if !counts {
		return false
	}
	if w.base == 0 {
		w.base = d
		return false
	}
	if d > minJump && float64(d) > cfg.JumpFactor*float64(w.base) {
		w.slow++
		return w.slow >= cfg.JumpAfter
	}
	w.slow = 0
	w.base += time.Duration(baseWeight * float64(d-w.base))
	return false
}
