package warmup

import "time"

const (
	// baselineWeight is the weight of a new latency in the average.
	baselineWeight = 0.02
	// minSlowLatency is the least latency that counts as slow.
	minSlowLatency = 5 * time.Millisecond
)

// latencyDetector detects a lasting rise of the latency of a leaf that is not cold.
type latencyDetector struct {
	baseline  time.Duration
	slowInRow int
}

// observe adds one latency and reports whether the latency has jumped. The
// latencies of a cold leaf form no part of the average.
func (w *latencyDetector) observe(d time.Duration, eligible bool, cfg Config) bool {
	if !eligible {
		return false
	}
	if w.baseline == 0 {
		w.baseline = d
		return false
	}
	if d > minSlowLatency && float64(d) > cfg.JumpFactor*float64(w.baseline) {
		w.slowInRow++
		return w.slowInRow >= cfg.JumpAfter
	}
	w.slowInRow = 0
	w.baseline += time.Duration(baselineWeight * float64(d-w.baseline))
	return false
}
