package confsync

import (
	"fmt"
	"time"
)

// Action is an action that a Syncer requests from its controller.
type Action interface{ isAction() }

// Read requests a read of the service. The controller reports the result with
// ReadDone under the same ID. The read asks for revisions above After and waits up
// to Wait for one.
type Read struct {
	ID    uint64
	After uint64
	Wait  time.Duration
}

// Send requests that a message be sent to an address. The message may be lost.
type Send struct {
	To  string
	Msg Message
}

// Accepted reports that a revision has become the current one. The bytes must not be
// modified.
type Accepted struct {
	Blob     string
	Identity Identity
	Bytes    []byte
	// Source is the address of the peer that sent the revision, or ServiceSource.
	Source string
}

// BecameReady reports that the node may serve.
type BecameReady struct {
	Blob     string
	Identity Identity
	// Unconfirmed is true if no read of the service, by this node or a peer, is known.
	Unconfirmed bool
}

// Rejected reports a revision that was not accepted.
type Rejected struct {
	Blob     string
	Reason   Reason
	Identity Identity
	// Current is the identity of the current revision.
	Current Identity
	Source  string
	Err     error
}

func (Read) isAction()        {}
func (Send) isAction()        {}
func (Accepted) isAction()    {}
func (BecameReady) isAction() {}
func (Rejected) isAction()    {}

// Reason is the reason why a revision was not accepted.
type Reason uint8

const (
	// CheckFailed means that Options.Check returned an error.
	CheckFailed Reason = iota + 1
	// DigestConflict means that the current identity has the same revision but another
	// digest.
	DigestConflict
	// ServiceBehind means that the service has an older revision than the current one.
	ServiceBehind
	// IdentityMismatch means that the bytes don't have the announced identity, or that
	// a delta to it could not be applied.
	IdentityMismatch
	// TooLarge means that the bytes exceed MaxBlobBytes.
	TooLarge
)

// String returns a description of the reason. It is also a metric tag value.
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

// ServiceSource is the Source of a revision that was read from the service.
const ServiceSource = "service"

// ReadResult is the result of a Read.
type ReadResult struct {
	ID uint64
	// Revision is the value of the X-Revision header, zero if absent.
	Revision uint64
	// Body is empty if the service has no revision above Read.After.
	Body []byte
	Err  error
}
