package replica

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the average.
	latencyWeight = 0.1
	// latencyHalfLife is the time without answers in which the average halves,
	// so that a replica that was slow is tried again.
	latencyHalfLife = 10 * time.Second
	// failureHalfLife is the time in which the effect of a failure halves.
	failureHalfLife = time.Second
	// maxFailures bounds the number of failures that are remembered.
	maxFailures = 10
)

// Stats is what one entry host knows of a replica from its own calls.
type Stats struct {
	outstanding int
	latency     float64
	answeredAt  time.Duration
	failures    float64
	failedAt    time.Duration
}

// Sent counts a call that was sent.
func (s *Stats) Sent() { s.outstanding++ }

// Answered counts a call that was answered at now after latency d.
func (s *Stats) Answered(now, d time.Duration) {
	s.Ended()
	if s.latency == 0 {
		s.latency = float64(d)
	}
	s.latency += latencyWeight * (float64(d) - s.latency)
	s.answeredAt = now
}

// Failed counts a call that was shed, refused or broken off at now.
func (s *Stats) Failed(now time.Duration) {
	s.Ended()
	s.failures = min(s.recentFailures(now)+1, maxFailures)
	s.failedAt = now
}

// Ended counts a call that ended for a reason that says nothing of the replica,
// such as a cancellation.
func (s *Stats) Ended() { s.outstanding = max(s.outstanding-1, 0) }

// Outstanding returns the number of calls sent and not ended.
func (s *Stats) Outstanding() int { return s.outstanding }

// Latency returns the average latency as it counts at now, and zero without
// answers.
func (s *Stats) Latency(now time.Duration) time.Duration {
	return time.Duration(s.latency * decay(now-s.answeredAt, latencyHalfLife))
}

func (s *Stats) recentFailures(now time.Duration) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * decay(now-s.failedAt, failureHalfLife)
}

// decay returns the part that is left after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
