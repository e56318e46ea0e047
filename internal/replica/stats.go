package replica

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the average.
	latencyWeight = 0.1
	// latencyHalfLife is the time without answers in which the average halves, so
	// that a replica that was slow is used again.
	latencyHalfLife = 10 * time.Second
	// failureHalfLife is the time in which the effect of a failure halves.
	failureHalfLife = time.Second
	// maxFailures is the upper bound of the decayed number of failures.
	maxFailures = 10
)

// Stats holds the statistics that one entry host derives from its own calls to a
// replica.
type Stats struct {
	outstanding int
	latency     float64
	answeredAt  time.Duration
	failures    float64
	failedAt    time.Duration
}

// Sent records that a call was sent.
func (s *Stats) Sent() { s.outstanding++ }

// Answered records that a call was answered at now after latency d.
func (s *Stats) Answered(now, d time.Duration) {
	s.Ended()
	if s.latency == 0 {
		s.latency = float64(d)
	}
	s.latency += latencyWeight * (float64(d) - s.latency)
	s.answeredAt = now
}

// Failed records that a call was shed, refused or interrupted at now.
func (s *Stats) Failed(now time.Duration) {
	s.Ended()
	s.failures = min(s.recentFailures(now)+1, maxFailures)
	s.failedAt = now
}

// Ended records the end of a call for a reason that is unrelated to the replica, such
// as a cancellation.
func (s *Stats) Ended() { s.outstanding = max(s.outstanding-1, 0) }

// Outstanding returns the number of calls in flight.
func (s *Stats) Outstanding() int { return s.outstanding }

// Latency returns the average latency, decayed to now, and zero if there were no
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

// decay returns the factor by which a value has decayed after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
