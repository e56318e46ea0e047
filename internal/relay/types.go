// Package relay implements the entry role for routes whose requests and answers are
// opaque: it forwards a request to one leaf of a service, or to one leaf of each
// shard, and returns the leaf's answer byte for byte, or the greatest records of
// the shards' answers.
package relay

import (
	"net/http"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// Dialect reads and writes the protocol headers of callers and leaves.
type Dialect interface {
	// ReadRequest returns the ID of a caller's request and how long the caller waits for
	// the answer; the timeout is zero if the headers give none.
	ReadRequest(h http.Header) (id string, timeout time.Duration)
	// ReadKey returns the caller's key, or the empty string if the headers do not give exactly
	// one.
	ReadKey(h http.Header) string
	// SetTenant removes what the caller has set as its key and as its tenant, and sets the
	// tenant if it is not empty.
	SetTenant(h http.Header, tenant string)
	// SetForwardHeaders sets the headers of a request to a leaf: the leaf that may run it and
	// the time left until the deadline.
	SetForwardHeaders(h http.Header, leaf string, left time.Duration)
	// ReadAnswer reads the headers of a leaf's answer.
	ReadAnswer(status int, h http.Header) LeafAnswer
	// SetGatheredHeaders sets the headers of an answer that is merged from parts.
	SetGatheredHeaders(h http.Header, signatures []string, missing int)
	// RemoveSignature removes the leaf's signature from headers.
	RemoveSignature(h http.Header)
}

// LeafAnswer holds the content of the headers of a leaf's answer.
type LeafAnswer struct {
	// ID is the ID of the request that the answer belongs to; it is empty if the
	// headers give none.
	ID string
	// Signature is the leaf's signature of the answer.
	Signature string
	// NotRun is set if the leaf has not run the request and never will.
	NotRun bool
	// WrongLeaf is set if the address belongs to another leaf.
	WrongLeaf bool
	// Encoded is set if the body is compressed.
	Encoded bool
	// Successful is set if the status is one of success.
	Successful bool
	// Leaving is set if the leaf is about to stop and wants no more requests.
	Leaving bool
	// QuietFor is how long the leaf wants no requests from this node.
	QuietFor time.Duration
	// InvalidQuiet is the header that should tell QuietFor, if its value is invalid or was
	// bounded.
	InvalidQuiet string
}

// Matches reports whether the answer belongs to the request with the given ID. Leaves return the ID of the
// request with each answer, so that bytes without it are no answer to a request that has one.
func (a *LeafAnswer) Matches(id string) bool { return a.ID == id }

// request is one caller's request.
type request struct {
	id       string
	method   string
	uri      string
	host     string
	header   http.Header
	body     []byte
	received time.Time
	deadline time.Time
	// margin is how long before the route's objective a partial answer is due: the round
	// trip to the caller plus the lag with which partial answers are written.
	margin time.Duration
	view   *catalog.View
	route  *catalog.Route
	// fingerprint caches the result of contentFingerprint.
	fingerprint *quarantine.Fingerprint
	// trial is set for a quarantined content that may be sent once.
	trial bool
	// caller identifies the tenant of the request; it is nil if the request needs no key.
	caller *caller
}

// priority returns the priority of the request: that of its tenant, or else of its route.
func (r *request) priority() int {
	if r.caller != nil && r.caller.tenant.HasPriority {
		return r.caller.tenant.Priority
	}
	return r.route.Priority
}

// tenantName returns the name of the request's tenant; it is empty if it has none.
func (r *request) tenantName() string {
	if r.caller == nil {
		return ""
	}
	return r.caller.tenant.Name
}

// gathered reports whether the request goes to all shards of its route.
func (r *request) gathered() bool { return len(r.route.Shards) > 0 }
