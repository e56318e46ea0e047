package hedge

import "time"

// Call is the state of one leaf call that has not been answered.
type Call struct {
	// Shard holds the latencies of the call's shard; nil if none are kept.
	Shard *Shard
	// LastSent is the instant of the last try.
	LastSent time.Duration
	// Hedges is the number of hedges sent so far.
	Hedges int
	// Idempotent says whether the call may run more than once.
	Idempotent bool
	// Deadline is the instant after which the answer is useless.
	Deadline time.Duration
	// Answered and Leaves count the leaf calls of the query.
	Answered int
	Leaves   int
	// Utilization is the share of busy slots of the service.
	Utilization float64
	// HasReplica says whether a replica on another instance can be tried.
	HasReplica bool
}

// Verdict is the outcome of a decision.
type Verdict uint8

// The outcomes of a decision.
const (
	// Send asks for a hedge now; its budget is spent.
	Send Verdict = iota
	// Wait asks for another decision at Decision.At or, if At is zero, at the
	// next answer of the query.
	Wait
	// Never rules out a hedge of the call.
	Never
)

// Reason says why no hedge is sent.
type Reason uint8

// The reasons for not sending a hedge.
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

// String returns the stable name of r for metrics.
func (r Reason) String() string {
	return [...]string{
		"none", "disabled", "not_idempotent", "too_many_hedges", "no_replica", "no_latencies",
		"too_early", "query_slow", "near_slots", "no_time", "no_budget",
	}[r]
}

// Decision is the answer to Service.Decide.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// At is the instant of the next decision for Wait.
	At time.Duration
}
