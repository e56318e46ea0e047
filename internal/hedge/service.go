// Package hedge decides when an unanswered leaf call is also sent to another replica.
//
// The delay before a first hedge is a quantile of the service's latencies, chosen so that the
// fraction of calls that are slower uses up part of the hedge budget. A hedge is sent only for
// an idempotent call, only to another instance, only while the service has spare slots and only
// within a budget that first attempts fill.
//
// The package is pure: the caller passes in the time, as a monotonic offset, and serializes
// the calls to one Service and its Shards.
package hedge

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/budget"
)

const (
	// minSamples is the number of samples below which no hedge is sent.
	minSamples = 50
	// refreshEvery is the number of samples between computations of the delay.
	refreshEvery = 32
	// shardMargin is the ratio of a shard's median latency to the service's above which
	// the shard's hedges are delayed.
	shardMargin = 1.25
	// recheckDivisor divides the hedge delay to give the time after which a hedge that
	// found no budget is decided on again.
	recheckDivisor = 4
	// firstHedgeUse is the fraction of the budget that the delay makes first hedges use if
	// second hedges use the rest, and onlyHedgeUse if there are no second hedges.
	firstHedgeUse = 0.6
	onlyHedgeUse  = 0.85
)

// Service keeps the latency distribution and the hedge budget of one service.
type Service struct {
	cfg     Config
	latency histogram
	budget  *budget.Budget
	samples int
	delay   time.Duration
	median  time.Duration
}

// New returns a Service without samples.
func New(now time.Duration, cfg Config) *Service {
	cfg = cfg.withDefaults()
	return &Service{
		cfg:    cfg,
		budget: budget.New(now, budget.Config{Ratio: cfg.Budget, Burst: cfg.Burst}),
	}
}

// FirstAttempts adds the budget for n first attempts of leaf calls.
func (s *Service) FirstAttempts(n int) { s.budget.FirstAttempts(n) }

// Observe adds a sample: the time from sending an attempt to its answer, or to its
// cancellation if another attempt was answered first.
func (s *Service) Observe(d time.Duration) {
	s.latency.observe(d)
	if s.samples%refreshEvery == 0 {
		s.delay = s.latency.quantile(1 - s.cfg.budgetUse()*s.cfg.Budget)
		s.median = s.latency.quantile(0.5)
	}
	s.samples++
}

// Delay returns the time after an attempt at which a hedge of a call to the shard is due. It
// reports false while there are too few samples. The shard may be nil.
func (s *Service) Delay(shard *Shard) (time.Duration, bool) {
	if s.samples < minSamples {
		return 0, false
	}
	delay := float64(s.delay)
	if shard != nil {
		ratio := float64(shard.Median()) / float64(s.median)
		if ratio > shardMargin {
			delay *= ratio
		}
	}
	return min(max(time.Duration(delay), s.cfg.MinDelay), s.cfg.MaxDelay), true
}

// Decide decides whether a hedge of c is sent at now.
func (s *Service) Decide(now time.Duration, c Call) Decision {
	if reason := s.ruledOut(c); reason != None {
		return Decision{Verdict: Never, Reason: reason}
	}
	delay, ok := s.Delay(c.Shard)
	if !ok {
		return Decision{Verdict: Never, Reason: NoLatencies}
	}
	due := c.LastSent + s.hedgeDelay(c, delay)
	if due+s.median >= c.Deadline {
		return Decision{Verdict: Never, Reason: NoTime}
	}
	if now < due {
		return Decision{Verdict: Wait, Reason: TooEarly, At: due}
	}
	return s.decideDue(now, c, delay)
}

// hedgeDelay returns the time between the last attempt of c and its next hedge. A straggler among
// the calls of its query is hedged earlier. After a first hedge, the more of the budget is saved up,
// the shorter the delay.
func (s *Service) hedgeDelay(c Call, delay time.Duration) time.Duration {
	if c.Hedges == 0 {
		if c.StragglerDelay > 0 {
			return min(delay, c.StragglerDelay)
		}
		return delay
	}
	return time.Duration(float64(delay) * (1 - s.budget.FillRatio()))
}

// ruledOut returns the reason for which a hedge of c is never sent, or None.
func (s *Service) ruledOut(c Call) Reason {
	switch {
	case s.cfg.Off:
		return Disabled
	case !c.Idempotent:
		return NotIdempotent
	case c.Hedges >= s.cfg.MaxHedges:
		return TooManyHedges
	case !c.HasReplica:
		return NoReplica
	}
	return None
}

// decideDue decides on a hedge that is due. While fewer than half of the query's leaf calls
// are answered, the query as a whole is slow and a hedge would not help.
func (s *Service) decideDue(now time.Duration, c Call, delay time.Duration) Decision {
	if now+s.median >= c.Deadline {
		return Decision{Verdict: Never, Reason: NoTime}
	}
	if c.Leaves > 1 && 2*c.Answered < c.Leaves {
		return Decision{Verdict: Wait, Reason: QuerySlow}
	}
	if c.Utilization > s.cfg.MaxUtilization {
		return Decision{Verdict: Wait, Reason: NearSlots, At: now + delay}
	}
	if !s.budget.Take(now) {
		return Decision{Verdict: Wait, Reason: NoBudget, At: now + delay/recheckDivisor}
	}
	return Decision{Verdict: Send}
}

// Return restores the budget of a hedge that was not sent.
func (s *Service) Return() { s.budget.Return() }
