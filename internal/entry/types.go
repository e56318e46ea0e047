// Package entry implements the entry role of a node: it passes a caller's
// request through a chain of filters, scatters it to the holders of its leaves,
// merges their results and replies to the caller.
package entry

import (
	"context"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/coverage"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Headers of the callers' HTTP interface.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "X-Request-Timeout-Ms"
	HeaderClass     = "X-Request-Class"
	HeaderTicket    = "Idempotency-Key"
	HeaderRun       = "X-Run"
	HeaderCoverage  = "X-Coverage"
	HeaderSnapshot  = "X-Snapshot"
)

// Request is one caller's request on its way through the chain.
type Request struct {
	ID       string
	Customer string
	Service  string
	Class    string
	// Idempotent is false for a request that must run at most once.
	Idempotent bool
	// Key selects the shard of a request that is not idempotent.
	Key string
	// Ticket permits one run of a request that is not idempotent.
	Ticket string
	Limit  int
	Body   []byte
	// Timeout is the time that the caller allows for the request. Zero selects
	// the service's deadline, and a negative value has already expired.
	Timeout     time.Duration
	Received    time.Time
	Deadline    time.Time
	Fingerprint quarantine.Fingerprint
	// Stage is set for a search whose content must complete on one leaf before it
	// is sent to the others.
	Stage bool
	// Permit is set for suspect content, which first runs on trial.
	Permit *quarantine.Permit
	// Decided is set once the process that holds the ticket has decided on the
	// request. Only after that may a refusal report that it has not run.
	Decided bool
	// MarkSent is called immediately before the first byte of a request that is
	// not idempotent may be sent. The request is not sent if it returns false.
	MarkSent func() bool
	// Target is the service in the document in force, set by the chain.
	Target *document.ServiceEntry
	Index  *document.Index
}

// Answer is what a caller gets for a request that did not fail.
type Answer struct {
	// Result is the merged result of a search.
	Result *coverage.Result
	// Leaf and Body are the answer to a request that is not idempotent.
	Leaf string
	Body []byte
	// Replayed reports that Body was recorded earlier under the same ticket.
	Replayed bool
}

// Handler serves a request.
type Handler func(ctx context.Context, r *Request) (*Answer, error)

// Filter wraps a handler with one step of the chain.
type Filter func(next Handler) Handler

// Chain returns the handler that runs the filters in order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Host is a node that holds a share of a leaf.
type Host struct {
	Name string
	// Address is the peer address; it is empty for this node itself.
	Address string
	// Slots is the size of the share.
	Slots int
	// Deputy is set for a host that uses the share only while its owner cannot.
	Deputy bool
}

// Router resolves the hosts that hold the shares of leaves. Implementations are
// safe for concurrent use.
type Router interface {
	// Index returns the document in force, nil before the first one.
	Index() *document.Index
	// Holders returns the hosts that can call a leaf: first the owners of its
	// shares, beginning with the one that handles a cold leaf, and then their
	// deputies.
	Holders(leaf string) []Host
	// Down reports whether a host is not known to be serving.
	Down(host string) bool
}

// Screen prevents content that crashes targets from crashing more of them.
// Implementations are safe for concurrent use.
type Screen interface {
	// Admit decides whether a request is sent, and to how many targets at first.
	Admit(f quarantine.Fingerprint) quarantine.Verdict
	// Completed records that a request has completed on all its targets.
	Completed(f quarantine.Fingerprint)
	// Known returns the record of a content as a list of at most one.
	Known(f quarantine.Fingerprint) []quarantine.Record
	// Merge merges records received from a holder into the local ones.
	Merge(records []quarantine.Record)
	// RequestPermit requests a permit to run suspect content on trial. It returns
	// nil if the content is no longer suspect.
	RequestPermit(ctx context.Context, f quarantine.Fingerprint) (*quarantine.Permit, error)
	// EndPermit reports that a trial has ended without a clear result. sent is
	// false if nothing was sent under the permit.
	EndPermit(permit quarantine.Permit, sent bool)
}

// Receiver takes the results of a Scatter. Its methods are called by one
// goroutine at a time.
type Receiver interface {
	// Started receives the function that cancels one leaf call. That function
	// may be called at any time from any goroutine.
	Started(cancel func(leaf string))
	// Result receives the result of one leaf call.
	Result(r *wire.LeafResult)
}

// Holders sends messages to the nodes that hold shares, including this node.
type Holders interface {
	// Scatter sends a message to a holder. It returns when all results have
	// arrived, or with the error that ended it early. Canceling ctx cancels the
	// calls.
	Scatter(ctx context.Context, host Host, m *wire.Scatter, to Receiver) error
	// Held asks a holder which snapshots its leaves hold.
	Held(ctx context.Context, host Host, m *wire.Held) (*wire.HeldResult, error)
}
