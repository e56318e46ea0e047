// Package target calls leaves. Holders use the interface Caller; HTTP implements
// it with the HTTP contract that docs/API.md describes.
package target

import (
	"context"
	"time"
)

// State is the state that a leaf reports.
type State string

// The states of a leaf.
const (
	StateWarm    State = "warm"
	StateCold    State = "cold"
	StateLeaving State = "leaving"
)

// Request is one call to a leaf.
type Request struct {
	// ID identifies this attempt. The leaf returns it with the answer.
	ID         string
	Customer   string
	Service    string
	Class      string
	Leaf       string
	Snapshot   string
	Idempotent bool
	Deadline   time.Time
	Body       []byte
	// Withdrawn is closed when nobody waits for the answer any more. A call that has not been sent by
	// then is not sent. It may be nil.
	Withdrawn <-chan struct{}
	// Incarnation is the incarnation of the process that the call is meant for, or empty
	// for any. The call is not sent to another process.
	Incarnation string
}

// Held is a snapshot that a leaf holds, with the key range [From, To) that the
// leaf covers in it.
type Held struct {
	Snapshot string
	From     uint32
	To       uint32
}

// Report is the state of a leaf, which it sends with each answer and refusal.
type Report struct {
	Incarnation string
	State       State
	Held        []Held
}

// Answer is a complete answer of a leaf.
type Answer struct {
	Report
	Snapshot string
	From     uint32
	To       uint32
	Body     []byte
}

// CallError is the error of a failed call. Err has a kind.Kind.
type CallError struct {
	// Report is the leaf's report, empty if it did not answer.
	Report
	// Died is set if the connection was reset or closed with the call in flight.
	Died bool
	Err  error
}

// Error implements the error interface.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the error with its kind.
func (e *CallError) Unwrap() error { return e.Err }

// Caller calls one leaf. Implementations are safe for concurrent use.
type Caller interface {
	// Call runs one request. A failure is a *CallError. Kinds with run "no" are
	// returned only if the leaf provably has not run the request.
	Call(ctx context.Context, r *Request) (*Answer, error)
	// Cancel asks the leaf to cancel the call with an ID. The canceled call then
	// returns with the kind Canceled.
	Cancel(ctx context.Context, id string)
	// Report asks the leaf for its state and the snapshots that it holds.
	Report(ctx context.Context) (*Report, error)
	// SetConnections sets the maximum number of connections.
	SetConnections(n int)
	// Counts returns the numbers of open connections and of retired ones that may
	// still be open at the leaf.
	Counts() (open, retired int)
	// Close closes every connection.
	Close()
}
