package hedge

import "time"

// medianStep is the factor by which one sample changes the estimated median at most.
const medianStep = 1.03

// Shard estimates the median latency of a shard over its replicas. Calls to a shard that is
// slow on all replicas are hedged later than others of the service.
type Shard struct {
	median float64
}

// Observe adds the latency of a call to the estimate.
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

// Median returns the estimated median, or zero without samples.
func (s *Shard) Median() time.Duration { return time.Duration(s.median) }
