package warmup

import "time"

const (
	// baselineWeight is the weight of a new latency in the average.
	baselineWeight = 0.02
	// minSlowLatency is the latency above which an answer can count as slow.
	minSlowLatency = 5 * time.Millisecond
)

// latencyDetector detects a sustained increase of the latency of a leaf that is not
// cold. baseline is the average of the latencies that were not slow, slowInRow the
// number of consecutive slow answers.
type latencyDetector struct {
	baseline  time.Duration
	slowInRow int
}

// observe records one latency and reports whether the latency has jumped. Latencies
// that are not eligible, those of a cold leaf, are ignored.
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
