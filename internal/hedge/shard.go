package hedge

import "time"

// medianStep is the ratio by which one sample moves the estimated median.
const medianStep = 1.03

// Shard estimates the median latency of the replicas of one shard. A shard that
// is slow on every replica is hedged later than the others of its service.
type Shard struct {
	median float64
}

// Observe adds the latency of a call.
func (s *Shard) Observe(d time.Duration) {
	x := float64(d)
	switch {
	case s.median == 0:
		s.median = x
	case x > s.median:
		s.median = min(s.median*medianStep, x)
	default:
		s.median = max(s.median/medianStep, x)
	}
}

// Median returns the estimate, and zero without samples.
func (s *Shard) Median() time.Duration { return time.Duration(s.median) }
