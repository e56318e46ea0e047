package warmup

import "time"

// Epoch numbers the cold starts of a leaf as one holder sees them. A call
// belongs to the epoch in force when it was sent.
type Epoch uint64

// Answer is a successful answer of a leaf.
type Answer struct {
	// Sent is the epoch in force when the call was sent.
	Sent Epoch
	// Incarnation identifies the leaf's process; empty if the answer names none.
	Incarnation string
	// Latency is the time from send to answer.
	Latency time.Duration
	// Cold is the leaf's own word that it is in a cold start.
	Cold bool
}

// Failure is a call that a leaf did not serve.
type Failure struct {
	// Sent is the epoch in force when the call was sent.
	Sent Epoch
	// Incarnation identifies the leaf's process; empty if unknown.
	Incarnation string
	Reason      Reason
}

// Reason says why a call was not served.
type Reason uint8

// The reasons of a Failure.
const (
	// Shed is a refusal because of load.
	Shed Reason = iota
	// RefusedCold is a refusal because of a cold start.
	RefusedCold
	// RefusedLeaving is a refusal because the leaf is leaving.
	RefusedLeaving
	// Timeout is a call without an answer in time on a connection that is not
	// known to be silent.
	Timeout
	// Disconnected is a connection that the leaf refused, or closed with a call
	// in flight.
	Disconnected
)

// Source names who says that a leaf is leaving.
type Source uint8

// The sources of the word that a leaf is leaving.
const (
	// LeafReport is the leaf's own word. It ends with the leaf's incarnation or
	// after Config.LeavingFor.
	LeafReport Source = 1 << iota
	// HostList is the platform's list of live and leaving hosts.
	HostList
	// Document is the environment's document.
	Document
)

// Hint is the content of a leaf's health or load endpoint. A hint only ever
// lowers the bound, and not below the cold bound.
type Hint struct {
	// Cold asks for no more work than in a cold start.
	Cold bool
	// Overloaded asks for less work.
	Overloaded bool
}
