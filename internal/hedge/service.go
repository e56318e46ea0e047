// Package hedge decides when an unanswered leaf call is sent to a second
// replica.
//
// The delay before a first hedge is the quantile of the service's latencies that
// leaves a part of the budget's share of calls above it. A hedge is sent only for an
// idempotent call, only to another instance, only while the service has slots to
// spare and only within a budget that first tries fill.
//
// The package is pure: time is passed in as a monotonic offset, and the caller
// serializes the calls of one Service and of its Shards.
package hedge

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/budget"
)

const (
	// minSamples is the number of latencies below which no hedge is sent.
	minSamples = 50
	// refreshEvery is the number of latencies between computations of the delay.
	refreshEvery = 32
	// shardMargin is the ratio of a shard's median to the service's above which
	// the shard's hedges are delayed.
	shardMargin = 1.25
	// retryFraction divides the delay after which a hedge without budget is
	// decided on again.
	retryFraction = 4
	// firstUse is the share of the budget that the delay of a first hedge is set
	// to use where second hedges use the rest, and onlyUse where there are none.
	firstUse = 0.6
	onlyUse  = 0.85
)

// Service holds the latencies and the hedge budget of one service.
type Service struct {
	cfg     Config
	latency histogram
	budget  *budget.Budget
	samples int
	delay   time.Duration
	median  time.Duration
}

// New returns a Service without latencies.
func New(now time.Duration, cfg Config) *Service {
	cfg = cfg.withDefaults()
	return &Service{
		cfg:    cfg,
		budget: budget.New(now, budget.Config{Share: cfg.Budget, Burst: cfg.Burst}),
	}
}

// FirstTries counts n leaf calls that were sent for the first time.
func (s *Service) FirstTries(n int) { s.budget.FirstTries(n) }

// Observe adds the time from the sending of a try to its answer, or to its
// cancellation when another try was answered first.
func (s *Service) Observe(d time.Duration) {
	s.latency.observe(d)
	if s.samples%refreshEvery == 0 {
		s.delay = s.latency.quantile(1 - s.cfg.budgetUse()*s.cfg.Budget)
		s.median = s.latency.quantile(0.5)
	}
	s.samples++
}

// Delay returns the time after a try at which a hedge of a call to the shard is
// due, and false while too few latencies are known. The shard may be nil.
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

// Decide reports whether a hedge of c is sent at now.
func (s *Service) Decide(now time.Duration, c Call) Decision {
	if reason := s.never(c); reason != None {
		return Decision{Verdict: Never, Reason: reason}
	}
	delay, ok := s.Delay(c.Shard)
	if !ok {
		return Decision{Verdict: Never, Reason: NoLatencies}
	}
	due := c.LastSent + s.wait(c, delay)
	if due+s.median >= c.Deadline {
		return Decision{Verdict: Never, Reason: NoTime}
	}
	if now < due {
		return Decision{Verdict: Wait, Reason: TooEarly, At: due}
	}
	return s.spend(now, c, delay)
}

// wait returns the time between the last try of c and its next hedge. A call
// whose hedge is unanswered is hedged again the sooner the more of the budget is
// saved up.
func (s *Service) wait(c Call, delay time.Duration) time.Duration {
	if c.Hedges == 0 {
		return delay
	}
	return time.Duration(float64(delay) * (1 - s.budget.Fill()))
}

// never returns the reason that rules out a hedge of c at any time.
func (s *Service) never(c Call) Reason {
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

// spend decides on a hedge that is due. While half of the query's leaf calls are
// unanswered the query as a whole is slow, and a hedge would not help it.
func (s *Service) spend(now time.Duration, c Call, delay time.Duration) Decision {
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
		return Decision{Verdict: Wait, Reason: NoBudget, At: now + delay/retryFraction}
	}
	return Decision{Verdict: Send}
}

// Return gives back the budget of a hedge that was not sent.
func (s *Service) Return() { s.budget.Return() }
