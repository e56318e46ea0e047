package admission

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Item is one leaf call that requests a slot.
type Item struct {
	// ID identifies the call at this scheduler. It must be unique among the
	// calls that are queued or running.
	ID uint64
	// Query is the same for all leaf calls of one query, so that overloaded
	// leaves refuse the same queries. If it is zero, ID is used.
	Query uint64
	// Customer is the unit of fairness.
	Customer string
	// Class is the priority class; 0 is the highest priority.
	Class int
	// Deadline is the time after which the answer is no longer useful.
	Deadline time.Duration
	// Estimate is the expected service time. If it is zero, the scheduler's
	// moving average is used.
	Estimate time.Duration
}

// Verdict is the outcome of a submission.
type Verdict uint8

// The outcomes of a submission.
const (
	// Start grants a slot, which the caller must free with Done or Release.
	Start Verdict = iota
	// Queued holds the call until a later Batch starts or refuses it.
	Queued
	// Shed refuses the call, which has not run.
	Shed
)

// String returns the name of v.
func (v Verdict) String() string {
	switch v {
	case Start:
		return "start"
	case Queued:
		return "queued"
	default:
		return "shed"
	}
}

// Decision is the answer to Submit.
type Decision struct {
	Verdict Verdict
	// Kind is the reason for a shed call.
	Kind kind.Kind
	// Refused lists the queued calls that were refused in favour of this one. It
	// is valid until the next call of a method of the scheduler.
	Refused []Refusal
}

// Refusal is a queued call that was removed from the queue without running.
type Refusal struct {
	ID   uint64
	Kind kind.Kind
}

// Batch lists the queued calls that a state change has started or refused. Its
// slices are valid until the next call of a method of the scheduler.
type Batch struct {
	// Start lists the calls that now hold a slot.
	Start []Item
	// Refused lists the calls that were removed from the queue without running.
	Refused []Refusal
}
