// Package relay plays the entry role for routes whose requests and answers are
// opaque: it passes a request to one leaf of a service, or to one leaf of each
// shard, and returns the leaf's answer byte for byte, or the greatest records of
// the shards' answers.
package relay

import (
	"net/http"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// Dialect reads and writes the headers that callers and leaves understand.
type Dialect interface {
	// ReadRequest returns the ID of a caller's request and how long the caller waits for
	// the answer; zero if it does not say.
	ReadRequest(h http.Header) (id string, timeout time.Duration)
	// SetForwardHeaders sets the headers of a request to a leaf: the leaf that may run it and
	// the time that is left.
	SetForwardHeaders(h http.Header, leaf string, left time.Duration)
	// ReadAnswer reads the headers of a leaf's answer.
	ReadAnswer(status int, h http.Header) LeafAnswer
	// SetGatheredHeaders sets the headers of an answer made of parts.
	SetGatheredHeaders(h http.Header, signatures []string, missing int)
	// RemoveSignature removes the leaf's signature from headers.
	RemoveSignature(h http.Header)
}

// LeafAnswer is what the headers of a leaf's answer say.
type LeafAnswer struct {
	// ID names the request that the answer belongs to; empty if the leaf does not
	// say.
	ID string
	// Signature is the leaf's signature of the answer.
	Signature string
	// NotRun says that the leaf has not run the request and never will.
	NotRun bool
	// Misdirected says that another leaf has the address.
	Misdirected bool
	// Encoded says that the body is compressed.
	Encoded bool
	// Successful says that the status is one of success.
	Successful bool
}

// Mine reports whether the answer can belong to the request with an ID.
func (a *LeafAnswer) Mine(id string) bool { return a.ID == "" || a.ID == id }

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
	// margin is the time that the way to and from the caller takes.
	margin time.Duration
	view   *catalog.View
	route  *catalog.Route
	// fingerprint is set once content was called.
	fingerprint *quarantine.Fingerprint
	// trial is set for a refused content that may be sent once.
	trial bool
}

// gathered reports whether the request goes to all shards of its route.
func (r *request) gathered() bool { return len(r.route.Shards) > 0 }
