package warmup

import "time"

// Epoch is the number of a leaf's cold start as observed by one holder. A call
// belongs to the epoch in which it was sent.
type Epoch uint64

// Answer is a successful answer of a leaf.
type Answer struct {
	// Sent is the epoch in which the call was sent.
	Sent Epoch
	// Incarnation identifies the leaf's process. It is empty if the answer does
	// not contain it.
	Incarnation string
	// Latency is the time from the send to the answer.
	Latency time.Duration
	// Cold is set if the leaf reports that it is in a cold start.
	Cold bool
}

// Failure is a call that a leaf did not serve.
type Failure struct {
	// Sent is the epoch in which the call was sent.
	Sent Epoch
	// Incarnation identifies the leaf's process. It is empty if unknown.
	Incarnation string
	Reason      Reason
}

// Reason is the reason for which a call was not served.
type Reason uint8

// The reasons of a Failure.
const (
	// Shed is a refusal because of load.
	Shed Reason = iota
	// RefusedCold is a refusal because the leaf is in a cold start.
	RefusedCold
	// RefusedLeaving is a refusal because the leaf is leaving.
	RefusedLeaving
	// Timeout is a call that was not answered in time, on a connection that is
	// not known to be silent.
	Timeout
	// Disconnected is a connection that the leaf refused, or closed with a call
	// in flight.
	Disconnected
)

// LeavingSource is a source of reports that a leaf is leaving.
type LeavingSource uint8

// The sources of reports that a leaf is leaving.
const (
	// LeafReport is the leaf itself. Its report expires with the leaf's incarnation
	// or after Config.LeavingTTL.
	LeafReport LeavingSource = 1 << iota
	// HostList is the platform's host list, which contains live and leaving hosts.
	HostList
	// Document is the document of the environment.
	Document
)

// Hint is the content of a leaf's health or load endpoint. A hint can only lower the
// bound, and not below the cold bound.
type Hint struct {
	// Cold requests no more work than in a cold start.
	Cold bool
	// Overloaded requests less work.
	Overloaded bool
}
