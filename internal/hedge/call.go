package hedge

import "time"

// Call is the state of one leaf call that has not been answered.
type Call struct {
	// Shard estimates the latency of the call's shard. It is nil if there is no estimate.
	Shard *Shard
	// LastSent is when the last attempt was sent.
	LastSent time.Duration
	// Hedges is the number of hedges sent so far.
	Hedges int
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Deadline is the time after which the answer is useless.
	Deadline time.Duration
	// StragglerDelay is the delay after which the call has taken much longer than most other
	// calls of its query, which have been answered; it is zero before that is known.
	StragglerDelay time.Duration
	// Answered and Leaves are the numbers of answered and of all leaf calls of the query.
	Answered int
	Leaves   int
	// Utilization is the fraction of the service's slots that are busy.
	Utilization float64
	// HasReplica is set if a replica on another instance can be tried.
	HasReplica bool
}

// Verdict is the outcome of Service.Decide.
type Verdict uint8

// The outcomes of Service.Decide.
const (
	// Send means that a hedge is sent now. Its budget is spent.
	Send Verdict = iota
	// Wait means that the caller decides again at Decision.At or, if At is zero, at the
	// next answer of the query.
	Wait
	// Never means that no hedge of the call is sent at any time.
	Never
)

// Reason is the reason why no hedge is sent.
type Reason uint8

// The reasons for not sending a hedge. None is the absence of a reason.
const (
	None Reason = iota
	Disabled
	NotIdempotent
	TooManyHedges
	NoReplica
	NoLatencies
	TooEarly
	QuerySlow
	NearSlots
	NoTime
	NoBudget
)

// String returns the name of r in metrics, which is stable.
func (r Reason) String() string {
	return [...]string{
		"none", "disabled", "not_idempotent", "too_many_hedges", "no_replica", "no_latencies",
		"too_early", "query_slow", "near_slots", "no_time", "no_budget",
	}[r]
}

// Decision is the result of Service.Decide.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// At is the time of the next decision if Verdict is Wait.
	At time.Duration
}
