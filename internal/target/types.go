// Package target calls leaves. Caller is the interface that holders use; the
// HTTP contract in http.go is one implementation of it, described in
// docs/API.md.
package target

import (
	"context"
	"time"
)

// State is what a leaf says of itself.
type State string

// The states of a leaf.
const (
	StateWarm    State = "warm"
	StateCold    State = "cold"
	StateLeaving State = "leaving"
)

// Request is one call to a leaf.
type Request struct {
	// ID names this attempt; the leaf echoes it.
	ID         string
	Customer   string
	Service    string
	Class      string
	Leaf       string
	Snapshot   string
	Idempotent bool
	Deadline   time.Time
	Body       []byte
	// Incarnation is the process that the call is meant for. The call is not sent to
	// another one. Empty stands for any.
	Incarnation string
}

// Held is a snapshot that a leaf holds, with the key range [From, To) that the
// leaf covers in it.
type Held struct {
	Snapshot string
	From     uint32
	To       uint32
}

// Report is what a leaf says of itself with each answer and refusal.
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

// CallError is a failed call. Its Err has a kind of the closed list.
type CallError struct {
	// Report is what the leaf said of itself, empty if it did not answer.
	Report
	// Died reports that the connection was reset or closed with the call in flight.
	Died bool
	Err  error
}

// Error implements the error interface.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the error with its kind.
func (e *CallError) Unwrap() error { return e.Err }

// Caller calls one leaf. Implementations are safe for concurrent use.
type Caller interface {
	// Call runs one request. A failure is a *CallError. The kinds with run "no"
	// are only used where the leaf provably has not run the request.
	Call(ctx context.Context, r *Request) (*Answer, error)
	// Cancel asks the leaf to end the call with an id. The canceled call then
	// returns with the kind Canceled.
	Cancel(ctx context.Context, id string)
	// Report asks the leaf for its state and the snapshots that it holds.
	Report(ctx context.Context) (*Report, error)
	// SetConnections changes the greatest number of connections.
	SetConnections(n int)
	// Counts returns the open connections and the retired ones that may still
	// count at the leaf.
	Counts() (open, retired int)
	// Close ends every connection.
	Close()
}
