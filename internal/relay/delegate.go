package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// MinDelegatedShards is the smallest number of shards for which delegating a gather to a much
	// larger node is worth another hop.
	MinDelegatedShards = 12
	// peerRoundTrip is the time that is reserved for the round trip to a peer.
	peerRoundTrip = 3 * time.Millisecond
)

// GatherCall is a request to a peer to gather an answer.
type GatherCall struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Version is the version of the routing table with which the request is served; a
	// peer with an older table refuses it.
	Version int64
	// Left is the time until the deadline, and Within the time until a partial
	// answer is due.
	Left   time.Duration
	Within time.Duration
	// Trial is set for a quarantined content that may be sent once.
	Trial bool
	// Shards are the services from which a part is gathered. If it is empty, the peer gathers
	// the whole answer.
	Shards []string
	// Leaving are leaves that the sender has recently learnt to be leaving.
	Leaving []leafpick.Departure
	// Tenant is the name of the request's tenant, and Credential identifies its key. They are
	// empty if the request needs no key.
	Tenant     string
	Credential *catalog.Credential
}

// GatherAnswer is a gathered answer, or the failure to gather one. If a part is gathered, several
// answers may follow each other; each holds what has arrived since the previous one.
type GatherAnswer struct {
	Signatures []string
	Missing    int
	Body       []byte
	// FailedShards is the number of shards of a part that have failed so far, and LackingShards
	// the number of those that had no leaf which could answer in time when the gather began.
	FailedShards  int
	LackingShards int
	// Failed is the name of the error's kind; it is empty if the gather succeeded.
	Failed string
	Text   string
	// MayHaveRun is set if a leaf may have run the request although it failed.
	MayHaveRun bool
	// RetryAfter is the time after which a refused request may succeed; zero if unknown.
	RetryAfter time.Duration
	// Leaving are leaves that the peer has recently learnt to be leaving.
	Leaving []leafpick.Departure
}

// SetDelegation sets the peers that gather for this node, or that gather parts for it.
func (h *Handler) SetDelegation(d Delegation) { h.helpers.set(d) }

// GatherClient delegates gathers to peers.
type GatherClient interface {
	// Gather asks the peer at an address to gather. sent is false if no byte was sent.
	Gather(ctx context.Context, address string, call *GatherCall) (answer *GatherAnswer, sent bool, err error)
	// GatherPart asks the peer at an address to gather from the shards of call. It passes each
	// answer of the peer to receive, and returns when the last one has arrived or ctx has ended.
	GatherPart(ctx context.Context, address string, call *GatherCall, receive func(*GatherAnswer)) (sent bool, err error)
}

// delegate has a peer gather the answer to a request. It returns nil if the peer has refused
// without calling a leaf, or if there is no memory for the message, so that this node must gather it. Once the peer may have sent the request
// to leaves, only its answer counts, since both nodes together could exceed the route's maximum of
// attempts.
func (h *Handler) delegate(ctx context.Context, q *query, helper *Helper) *GatherAnswer {
	r := q.request
	size := r.size()
	if !h.callMemory.Reserve(size) {
		return nil
	}
	defer h.callMemory.Release(size)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	defer context.AfterFunc(h.delegation, cancel)()
	gather := h.helpers.begin(helper, time.Now(), q.partialDeadline)
	answer, sent, err := h.helpers.client.Gather(ctx, helper.Address, q.gatherCall(nil, time.Until(q.partialDeadline)-peerRoundTrip))
	h.helpers.end(helper, gather, time.Now(), err == nil)
	if err == nil {
		h.learnDepartures(answer.Leaving)
	}
	if err == nil && (answer.Failed == "" || answer.MayHaveRun || answer.final()) {
		return answer
	}
	if err == nil {
		// The peer has refused without calling a leaf.
		err, sent = errors.New(answer.Text), false
	} else if !errors.Is(err, context.Canceled) {
		h.helpers.recordFailure(helper, time.Now())
	}
	h.log.Note("peer did not gather", r.id, zap.String("peer", helper.Name), zap.Bool("sent", sent), zap.Error(err))
	if !sent {
		return nil
	}
	if h.delegation.Err() != nil && errors.Is(err, context.Canceled) {
		err = fmt.Errorf("the node stops: %w", context.Cause(h.delegation))
	}
	return &GatherAnswer{Failed: unansweredKind(err).String(), Text: "peer " + helper.Name + ": " + err.Error(), MayHaveRun: true}
}

// gatherCall returns the message that asks a peer to gather from some of the shards, or the whole
// answer if shards is empty. within is the time until a partial answer of the peer is due.
func (q *query) gatherCall(shards []string, within time.Duration) *GatherCall {
	r := q.request
	c := &GatherCall{
		ID: r.id, Method: r.method, URI: r.uri, Host: r.host, Header: r.header, Body: r.body,
		Version: r.view.Table.Version, Left: time.Until(r.deadline) - peerRoundTrip,
		Within: within, Trial: r.trial, Shards: shards,
		Leaving: q.handler.recentDepartures(),
	}
	if r.caller != nil {
		c.Tenant, c.Credential = r.caller.tenant.Name, &r.caller.credential
	}
	return c
}

// unansweredKind returns the error kind of a gather that the peer has not answered.
func unansweredKind(err error) kind.Kind {
	switch {
	case errors.Is(err, context.Canceled):
		return kind.Canceled
	case errors.Is(err, context.DeadlineExceeded):
		return kind.DeadlineExceeded
	}
	return kind.ConnectionLost
}

// final reports whether the peer's refusal applies to this node too.
func (a *GatherAnswer) final() bool {
	return a.Failed == kind.Overloaded.String() || a.Failed == kind.Quarantined.String()
}

// err returns the failure that an answer reports, or nil.
func (a *GatherAnswer) err() error {
	if a.Failed == "" {
		return nil
	}
	k, _ := kind.Parse(a.Failed)
	err := kind.WithRun(kind.Errorf(k, "%s", a.Text), kind.RunNo)
	if a.MayHaveRun {
		err = kind.WithRun(err, kind.RunUnknown)
	}
	return withRetryAfter(err, a.RetryAfter)
}

// ServeGather gathers an answer for a peer.
func (h *Handler) ServeGather(ctx context.Context, c *GatherCall) *GatherAnswer {
	h.gathering.Add(1)
	defer h.gathering.Add(-1)
	h.learnDepartures(c.Leaving)
	a := h.serveGather(ctx, c)
	a.Leaving = h.recentDepartures()
	return a
}

func (h *Handler) serveGather(ctx context.Context, c *GatherCall) *GatherAnswer {
	r, err := h.peerRequest(ctx, c)
	if err != nil {
		return declined(err)
	}
	q := newQuery(h, r)
	defer q.release()
	q.partialDeadline = r.received.Add(c.Within)
	if err := q.reserve(); err != nil {
		return declined(kind.Errorf(kind.Unavailable, "%w", err))
	}
	err = q.run(ctx)
	h.returnUnusedTrial(q, err)
	h.metrics.record(q, err, time.Since(r.received))
	if err != nil {
		return &GatherAnswer{Failed: kind.Of(err).String(), Text: err.Error(), MayHaveRun: kind.RunOf(err) != kind.RunNo, RetryAfter: retryAfterOf(err)}
	}
	return q.mergeParts()
}

// declined returns the answer of a peer that has not called any leaf.
func declined(err error) *GatherAnswer {
	return &GatherAnswer{Failed: kind.Of(err).String(), Text: err.Error()}
}

// peerRequest returns the request of a peer, or the reason why this node does not serve it.
func (h *Handler) peerRequest(ctx context.Context, c *GatherCall) (*request, error) {
	now := time.Now()
	view := h.catalog.View()
	if view.Table == nil || view.Table.Version < c.Version {
		return nil, kind.Errorf(kind.NoConfiguration, "the peer's routing table is older than that of the request")
	}
	r := &request{
		id: c.ID, method: c.Method, uri: c.URI, host: c.Host, header: c.Header, body: c.Body,
		received: now, deadline: now.Add(c.Left), view: view, trial: c.Trial,
	}
	r.route = view.Table.Match(hostOnly(c.Host), pathOnly(c.URI))
	if r.route == nil || !r.gathered() {
		return nil, kind.Errorf(kind.NotFound, "the peer has no gathered route for the request")
	}
	if c.Credential != nil {
		var err error
		if r.caller, err = h.identifyCredential(view, *c.Credential); err != nil {
			return nil, err
		}
	}
	if err := h.checkStop(r); err != nil {
		return nil, err
	}
	if !c.Trial {
		if err := h.admit(ctx, r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Gathering returns the number of gathers in progress for peers.
func (h *Handler) Gathering() int64 { return h.gathering.Load() }
