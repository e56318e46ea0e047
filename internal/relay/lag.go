package relay

import (
	"sync/atomic"
	"time"
)

// lagRiseGain and lagFallGain are the weights of a sample above and below a lag estimate.
const (
	lagRiseGain = 0.5
	lagFallGain = 0.05
)

// lagEstimate estimates by how much an event follows the time at which it was due. The estimate
// rises fast and falls slowly, so that few events follow later than it says. It is safe for
// concurrent use; concurrent samples may replace each other.
type lagEstimate struct {
	current  atomic.Int64
	min, max time.Duration
}

// init sets the estimate and its bounds.
func (l *lagEstimate) init(estimate, min, max time.Duration) {
	l.min, l.max = min, max
	l.current.Store(int64(estimate))
}

func (l *lagEstimate) value() time.Duration { return time.Duration(l.current.Load()) }

// observe adds a sample. Samples beyond the bounds count as the bounds.
func (l *lagEstimate) observe(sample time.Duration) {
	sample = min(max(sample, l.min), l.max)
	estimate := l.value()
	gain := lagFallGain
	if sample > estimate {
		gain = lagRiseGain
	}
	l.current.Store(int64(estimate) + int64(gain*float64(sample-estimate)))
}
