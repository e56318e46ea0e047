package confsync

import (
	"fmt"
	"time"
)

// Action is a decision of a Syncer that its controller carries out.
type Action interface{ isAction() }

// Read asks the controller to read the service and to report the result with
// ReadDone under the same ID.
type Read struct {
	ID    uint64
	After uint64
	Wait  time.Duration
}

// Send asks the controller to send a message to an address. It may be lost.
type Send struct {
	To  string
	Msg Message
}

// Accepted reports that a revision is in force. The bytes must not be changed.
type Accepted struct {
	Blob     string
	Identity Identity
	Bytes    []byte
	// Source is the address of the peer that sent it, or ServiceSource.
	Source string
}

// BecameReady reports that the node may serve.
type BecameReady struct {
	Blob     string
	Identity Identity
	// Unconfirmed is true when neither the node nor a peer could read the
	// service.
	Unconfirmed bool
}

// Rejected reports a revision that was not taken.
type Rejected struct {
	Blob     string
	Reason   Reason
	Identity Identity
	InForce  Identity
	Source   string
	Err      error
}

func (Read) isAction()        {}
func (Send) isAction()        {}
func (Accepted) isAction()    {}
func (BecameReady) isAction() {}
func (Rejected) isAction()    {}

// Reason tells why a revision was not taken.
type Reason uint8

const (
	// CheckFailed means that the check refused the bytes.
	CheckFailed Reason = iota + 1
	// DigestConflict means that the revision in force has another digest.
	DigestConflict
	// ServiceBehind means that the service holds an older revision.
	ServiceBehind
	// IdentityMismatch means that the bytes have another identity than announced.
	IdentityMismatch
	// TooLarge means that the bytes exceed MaxBlobBytes.
	TooLarge
)

// String returns the reason in words.
func (r Reason) String() string {
	switch r {
	case CheckFailed:
		return "check failed"
	case DigestConflict:
		return "same revision with another digest"
	case ServiceBehind:
		return "service is behind"
	case IdentityMismatch:
		return "bytes have another identity than announced"
	case TooLarge:
		return "too large"
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// ServiceSource is the source of what was read from the service.
const ServiceSource = "service"

// ReadResult is the outcome of a Read.
type ReadResult struct {
	ID uint64
	// Revision is the value of the X-Revision header, zero if absent.
	Revision uint64
	// Body is empty when the service has nothing newer.
	Body []byte
	Err  error
}
