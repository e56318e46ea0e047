package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// Reasons why the answer of a leaf is not passed on as a success.
var (
	errNotRun      = errors.New("the leaf did not run the request")
	errMisdirected = errors.New("the address belongs to another leaf")
	errUnsigned    = errors.New("the answer has no signature")
	errEncoded     = errors.New("the answer body is compressed")
)

// classify sets the outcome of an attempt. gathered is set for an attempt of a gather, which
// needs an answer with a status of success.
func (a *attempt) classify(d Dialect, answer *leafconn.Answer, err error, gathered bool) {
	if err != nil {
		a.classifyError(err)
		return
	}
	a.answer = answer
	a.sent = true
	a.head = d.ReadAnswer(answer.Status, answer.Header)
	switch {
	case a.head.WrongLeaf:
		a.outcome, a.err = leafpick.Misdirected, errMisdirected
	case a.head.NotRun:
		a.outcome, a.err = leafpick.Refused, errNotRun
	case a.head.Successful && a.head.Signature == "":
		a.outcome, a.err, a.mayHaveRun = leafpick.Failed, errUnsigned, true
	case a.head.Successful && a.head.Encoded:
		a.outcome, a.err, a.mayHaveRun = leafpick.Failed, errEncoded, true
	case a.head.Successful || !gathered && answer.Status < 500 && !promisesNotRun(answer.Status):
		a.outcome, a.mayHaveRun = leafpick.Answered, true
	default:
		a.outcome, a.mayHaveRun = leafpick.Failed, true
		a.err = fmt.Errorf("the leaf answered with status %d", answer.Status)
	}
}

func (a *attempt) classifyError(err error) {
	a.err = err
	var failed *leafconn.Error
	notConnected := errors.As(err, &failed) && failed.NotConnected
	a.connRefused = notConnected && errors.Is(err, syscall.ECONNREFUSED)
	a.sent = failed == nil || failed.Sent
	a.mayHaveRun = a.sent
	switch {
	case errors.Is(err, context.Canceled):
		a.outcome = leafpick.Abandoned
	case failed != nil && failed.Withheld:
		a.outcome = leafpick.Withheld
	case errors.Is(err, context.DeadlineExceeded):
		a.outcome = leafpick.TimedOut
	case notConnected:
		a.outcome = leafpick.Unreachable
	case errors.Is(err, leafconn.ErrTooLarge), errors.Is(err, leafconn.ErrInvalidStatus):
		a.outcome = leafpick.Failed
	default:
		a.outcome = leafpick.Lost
	}
}

// reason returns why the attempt failed.
func (a *attempt) reason() error {
	if a.err == nil {
		return errors.New("unknown reason")
	}
	return a.err
}

// attempt is one request to one leaf.
type attempt struct {
	call               *call
	serviceState       *serviceState
	pick               *leafpick.Call
	cancel             context.CancelFunc
	startedAt          time.Duration
	contentFingerprint quarantine.Fingerprint
	answer             *leafconn.Answer
	head               LeafAnswer
	outcome            leafpick.Outcome
	// sent is set if a byte may have reached the leaf, and mayHaveRun if the leaf may
	// have run the request.
	sent       bool
	mayHaveRun bool
	// connRefused is set if the leaf's host has refused the connection.
	connRefused bool
	err         error
}

// sendAttempt sends the request to one more leaf of a call's service. It returns false if
// there is no usable leaf or no retry budget.
func (q *query) sendAttempt(c *call, isHedge bool) bool {
	s := q.handler.services.get(c.service)
	if s == nil || q.handler.checkAccess(q.request) != nil {
		return false
	}
	opts := leafpick.CallOptions{
		Mean: q.state.meanLatency(), NonIdempotent: !q.request.route.Idempotent, Hedge: isHedge, Priority: q.request.priority(),
	}
	for _, a := range c.attempts {
		opts.Tried = append(opts.Tried, a.pick.ID)
	}
	pick, pool := s.begin(opts, c.arrivals > 0)
	if pick == nil {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), q.request.deadline)
	a := &attempt{
		call: c, serviceState: s, pick: pick, cancel: cancel, startedAt: q.handler.routes.now(), contentFingerprint: q.request.contentFingerprint(),
	}
	c.attempts = append(c.attempts, a)
	c.arrivals++
	c.inFlight++
	c.lastSent = a.startedAt
	q.reserved.hold()
	go q.exchange(ctx, a, pool)
	return true
}

// exchange runs one attempt and sends it to the results. Unless it is cancelled, an attempt that has
// been sent continues after the query has ended, so that the connection can be reused.
func (q *query) exchange(ctx context.Context, a *attempt, p *leafPool) {
	defer q.reserved.release()
	defer a.cancel()
	r := q.request
	var sendRecord *quarantine.SentContent
	request := &leafconn.Request{
		Method: r.method, URI: r.uri, Host: r.host, Body: r.body, Priority: r.priority(), Tenant: r.tenantName(),
		Withdrawn: a.call.withdrawn,
		Check:     func() error { return q.handler.checkAccess(r) },
		Header: func() http.Header {
			sendRecord = a.serviceState.sendRecord(p, r, a.contentFingerprint)
			header := maps.Clone(r.header)
			q.handler.dialect.SetForwardHeaders(header, a.pick.ID, time.Until(r.deadline))
			return header
		},
		Matches: func(h http.Header) bool {
			head := q.handler.dialect.ReadAnswer(0, h)
			return head.Matches(r.id)
		},
	}
	if !r.route.Idempotent {
		request.MaxIdle = q.handler.options.NonIdempotentMaxIdle
	}
	answer, err := p.pool.Do(ctx, request)
	a.classify(q.handler.dialect, answer, err, r.gathered())
	if sendRecord != nil {
		q.recordOutcome(a, p, sendRecord)
	}
	if a.connRefused {
		a.serviceState.reportCrash(p, leafconn.Refuses.String())
	}
	if a.outcome == leafpick.Answered {
		q.state.locked(func(r *dispatch.Route) { r.Observe(a.call.service, answer.Took) })
	}
	if answer != nil {
		q.hold(answer)
		q.heed(a, p)
	}
	if change := a.serviceState.end(a.pick, a.outcome); change != leafpick.Unchanged {
		q.logChange(a, change)
	}
	q.results <- a
}

// hold keeps the body of an answer until release is called. A large part is cut down to the
// records that can be in the answer.
func (q *query) hold(answer *leafconn.Answer) {
	if q.request.gathered() && len(answer.Body) > largePartBytes {
		answer.Shrink(mergeTopK([][]byte{answer.Body}, q.request.route.TopK))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.released {
		answer.Release()
		return
	}
	q.held = append(q.held, answer)
}

// release frees the memory of all bodies, once the answer has been written.
func (q *query) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.released = true
	for _, answer := range q.held {
		answer.Release()
	}
	if q.reserved != nil {
		q.reserved.release()
	}
}

// recordOutcome records what the outcome of an attempt shows about its content. It is also called
// after the query has ended.
func (q *query) recordOutcome(a *attempt, p *leafPool, sent *quarantine.SentContent) {
	unknown := a.mayHaveRun && a.answer == nil
	a.serviceState.recordCallEnd(p, sent, unknown, a.outcome == leafpick.Lost)
	switch {
	case a.mayHaveRun && a.answer != nil:
		q.handler.recordAnswer(q.request, a)
	case unknown && (a.outcome == leafpick.Lost || a.outcome == leafpick.TimedOut):
		go a.serviceState.checkCrash(p, q.handler.services.start.Add(sent.SentAt))
	}
}

// logChange logs that an attempt has caused its leaf to be ejected or restored.
func (q *query) logChange(a *attempt, change leafpick.Change) {
	event := "leaf restored"
	if change == leafpick.Ejected {
		event = "leaf ejected, only probes are sent to it"
	}
	q.handler.log.Note(event, q.request.id, zap.String("service", a.call.service),
		zap.String("leaf", a.pick.ID), zap.Error(a.err))
}

// retry sends the request to another leaf after a failed attempt, if that is
// allowed and there is a usable leaf, retry budget and time left.
func (q *query) retry(a *attempt) bool {
	c := a.call
	failed := dispatch.FailedCall{
		Idempotent: q.request.route.Idempotent, MayHaveRun: a.mayHaveRun, Runs: c.runs(), Attempts: len(c.attempts),
		RouteMax: q.request.route.MaxAttempts, Left: time.Until(q.deadline()) - deadlineMargin,
	}
	if !failed.MayRetry() {
		return false
	}
	// An attempt that was not sent is no repeat.
	mayRepeat := !a.sent || q.mayRepeat()
	sent := mayRepeat && q.sendAttempt(c, false)
	q.handler.log.Note("attempt failed", q.request.id, zap.String("service", c.service),
		zap.String("leaf", a.pick.ID), zap.Error(a.reason()), zap.Bool("may_have_run", a.mayHaveRun),
		zap.Int("attempts", len(c.attempts)), zap.Bool("may_repeat", mayRepeat), zap.Bool("retried", sent))
	return sent
}

// cancelInFlight cancels the attempts that are no longer needed. If the caller is still connected,
// attempts that have been sent and are expected to finish soon continue.
func (q *query) cancelInFlight(ctx context.Context) {
	for _, c := range q.calls {
		c.withdraw()
	}
	callerGone := ctx.Err() != nil
	if !callerGone && q.state.meanLatency() < minCancelLatency {
		return
	}
	for _, c := range q.calls {
		for _, a := range c.attempts {
			a.cancel()
		}
	}
}
