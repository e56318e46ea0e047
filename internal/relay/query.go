package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/hedge"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// deadlineMargin is how long before the deadline a query decides on its answer.
	deadlineMargin = 5 * time.Millisecond
	// minCancelLatency is the mean latency of calls below which those in flight are left
	// to finish after the query has ended, since cancelling closes their connections and
	// the leaf would have to accept new ones.
	minCancelLatency = 20 * time.Millisecond
	// largePartBytes is the size above which a part is cut down to the records that can be
	// in the answer.
	largePartBytes = 64 << 10
)

// query is the processing of one request. Only the goroutine of run uses it, except for the
// fields that mu guards.
type query struct {
	handler *Handler
	request *request
	state   *routeState
	// total is the number of services of which answers are wanted: those of calls and of parts.
	total   int
	calls   []*call
	results chan *attempt
	// divided is set if this node gathers only some of the shards.
	divided bool
	// parts are gathered by peers, which send updates. stopParts ends the delegations.
	parts     []*peerPart
	updates   chan partUpdate
	stopParts context.CancelFunc
	// signatures and bodies are the answers of peers. peersRan is set if leaves may have run
	// the request for a peer, and peerError is the last error of a peer.
	signatures []string
	bodies     [][]byte
	peersRan   bool
	peerError  error
	// answered and failed count the services whose answers have arrived or failed, and
	// ownAnswered those answered to this node.
	answered    int
	failed      int
	ownAnswered int
	// startedAt is when the first attempts were sent, and stragglerDelay the delay after which
	// an unanswered call is a straggler; it is zero until most calls have been answered.
	startedAt      time.Duration
	stragglerDelay time.Duration
	// delegated is the answer of a peer that gathered for this node.
	delegated *GatherAnswer
	// partialDeadline is when a gathered answer is sent even if parts are missing.
	partialDeadline time.Time
	// coveredAt is when enough parts for an answer had arrived.
	coveredAt time.Time
	// reserved is the memory for the calls; nil until run.
	reserved *reservation
	// mu guards the fields below, which the goroutines of attempts use.
	mu sync.Mutex
	// held are the answers whose bodies take up memory, and released is set once none of
	// them is needed any more.
	held     []*leafconn.Answer
	released bool
}

// call is the part of a query that goes to one service.
type call struct {
	service  string
	attempts []*attempt
	// arrivals is the number of attempts that may have reached a leaf.
	arrivals       int
	inFlight       int
	hedges         int
	lastSent       time.Duration
	nextHedgeCheck time.Duration
	ended          bool
	// withdraw withdraws the attempts that have not been sent, by closing withdrawn. It may be called
	// more than once.
	withdraw  func()
	withdrawn <-chan struct{}
	// answered is the attempt with the answer, or nil.
	answered *attempt
	// lastFailed is the most recent failed attempt.
	lastFailed *attempt
	// mayHaveRun is the number of ended attempts that a leaf may have run.
	mayHaveRun int
}

func newCall(service string) *call {
	withdrawn := make(chan struct{})
	return &call{service: service, withdrawn: withdrawn, withdraw: sync.OnceFunc(func() { close(withdrawn) })}
}

func newQuery(h *Handler, r *request) *query {
	q := &query{handler: h, request: r, state: h.routes.get(r.route), total: 1}
	services := r.route.Shards
	if !r.gathered() {
		q.state.locked(func(s *dispatch.Route) { services = []string{s.ChooseService(r.route)} })
	}
	q.total = len(services)
	q.addCalls(services)
	q.partialDeadline = r.received.Add(q.state.objective - r.margin)
	return q
}

// addCalls adds a call to each service.
func (q *query) addCalls(services []string) {
	for _, s := range services {
		q.calls = append(q.calls, newCall(s))
	}
	q.results = make(chan *attempt, q.total*dispatch.MaxAttempts(q.request.route.MaxAttempts))
}

// delegateWhole has a peer gather the whole answer, or divides the gather among this node and
// peers. It returns nil if this node has to run the query.
func (q *query) delegateWhole(ctx context.Context) *GatherAnswer {
	r := q.request
	if !r.gathered() || time.Until(q.partialDeadline) <= 2*peerRoundTrip {
		return nil
	}
	plan := q.handler.helpers.plan(time.Now(), len(r.route.Shards))
	switch {
	case len(plan) == 1:
		return q.handler.delegate(ctx, q, plan[0])
	case len(plan) > 1 && !r.trial:
		q.divide(plan)
	}
	return nil
}

// run sends the request, and returns once the answer can be written or the query
// has failed. ctx ends when the caller disconnects.
func (q *query) run(ctx context.Context) error {
	if left := time.Until(q.request.deadline); left < deadlineMargin {
		return kind.Errorf(kind.DeadlinePassed, "only %v left until the caller's deadline", left)
	}
	if q.request.gathered() {
		if err := q.checkCapacity(); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return kind.WithRun(errCallerGone, kind.RunNo)
	}
	defer q.cancelInFlight(ctx)
	defer q.endParts()
	q.delegateParts(ctx)
	first, rest := q.trialStages()
	q.sendFirstAttempts(first)
	timer := time.NewTimer(0)
	defer timer.Stop()
	stopBegun := q.handler.stopBegun
	for {
		if len(rest) > 0 && q.failed > 0 {
			return q.failure()
		}
		if len(rest) > 0 && q.answered == len(first) {
			q.sendFirstAttempts(rest)
			rest = nil
		}
		if done, err := q.finished(); done {
			return err
		}
		q.hedge()
		timer.Reset(time.Until(q.wakeAt()))
		var ended *attempt
		var update *partUpdate
		select {
		case ended = <-q.results:
		case u := <-q.updates:
			update = &u
		case <-timer.C:
		case <-stopBegun:
			stopBegun = nil
		case <-ctx.Done():
		}
		switch {
		case ctx.Err() != nil:
			// No retry is sent for a caller that has left, even if a result arrived as well.
			return errCallerGone
		case ended != nil:
			q.receive(ended)
		case update != nil:
			q.receivePart(*update)
		}
	}
}

// errCallerGone is the error of a query whose caller does not wait for the answer.
var errCallerGone = kind.Errorf(kind.Canceled, "the caller disconnected")

// checkCapacity refuses a gather if it is already known that too many shards lack a leaf, or one
// that can answer in time.
func (q *query) checkCapacity() error {
	callable := q.callable() + q.total - len(q.calls) - q.lackingShards()
	within := time.Until(q.partialDeadline)
	saturated := q.saturated(within)
	switch q.coverage().Refuse(callable, saturated) {
	case dispatch.NoLeaves:
		err := kind.Errorf(kind.Unavailable, "only %d of %d shards have a usable leaf", callable, q.total)
		return withRetryAfter(err, q.quietLeft())
	case dispatch.TooSlow:
		return kind.Errorf(kind.Overloaded, "only %d of %d shards have a leaf that can answer within %v at a mean call latency of %v",
			callable-saturated, q.total, within, q.state.meanLatency())
	}
	return nil
}

// sendFirstAttempts sends the request to one leaf of the service of each call.
func (q *query) sendFirstAttempts(calls []*call) {
	if q.startedAt == 0 {
		q.startedAt = q.handler.routes.now()
	}
	for _, c := range calls {
		if s := q.handler.services.get(c.service); s != nil {
			s.countFirstAttempt()
		}
		if !q.sendAttempt(c, false) {
			q.fail(c)
		}
	}
	q.state.locked(func(r *dispatch.Route) { r.CountFirstAttempts(len(calls)) })
}

// finished reports whether the query has ended, and with which error.
func (q *query) finished() (bool, error) {
	now := time.Now()
	if q.answered == q.total {
		return true, nil
	}
	if q.request.gathered() {
		switch q.coverage().Progress(q.answered, q.failed, !now.Before(q.partialDeadline)) {
		case dispatch.Answer:
			return true, nil
		case dispatch.Fail:
			return true, q.failure()
		}
	} else if q.failed > 0 {
		return true, q.failure()
	}
	if !now.Before(q.deadline().Add(-deadlineMargin)) {
		q.observeUnanswered()
		if q.deadline().Before(q.request.deadline) {
			return true, q.endBeforeStop()
		}
		return true, kind.Errorf(kind.DeadlineExceeded, "only %d of %d parts arrived before the deadline", q.answered, q.total)
	}
	return false, nil
}

// observeUnanswered records how long the calls in flight have taken.
func (q *query) observeUnanswered() {
	now := q.handler.routes.now()
	for _, c := range q.calls {
		if !c.ended && c.inFlight > 0 {
			q.state.locked(func(r *dispatch.Route) { r.ObserveUnanswered(now - c.lastSent) })
		}
	}
}

// partialDue returns when a partial answer was due: at partialDeadline, or when enough parts had
// arrived if that was later.
func (q *query) partialDue() time.Time {
	if q.coveredAt.After(q.partialDeadline) {
		return q.coveredAt
	}
	return q.partialDeadline
}

// callable returns the number of services that have a leaf which may be called now.
func (q *query) callable() int {
	n := 0
	for _, c := range q.calls {
		if s := q.handler.services.get(c.service); s != nil && s.callable() {
			n++
		}
	}
	return n
}

// saturated returns the number of services at whose leaves a call would queue behind others so
// long that it would take longer than within.
func (q *query) saturated(within time.Duration) int {
	n := 0
	opts := leafpick.CallOptions{Mean: q.state.meanLatency(), Priority: q.request.priority()}
	for _, c := range q.calls {
		if s := q.handler.services.get(c.service); s != nil && s.saturated(opts, within) {
			n++
		}
	}
	return n
}

// coverage returns the coverage that the answer to a gather needs.
func (q *query) coverage() dispatch.Coverage {
	return dispatch.Coverage{Total: q.total, Min: q.request.route.MinCoverage}
}

// covered reports whether n parts are enough for an answer.
func (q *query) covered(n int) bool { return q.coverage().Enough(n) }

// mayHaveRun reports whether a leaf may have run the request, or may still run it.
func (q *query) mayHaveRun() bool {
	// A peer with missing parts may be calling leaves.
	return q.peersRan || slices.ContainsFunc(q.parts, func(p *peerPart) bool { return p.left() > 0 }) ||
		slices.ContainsFunc(q.calls, func(c *call) bool { return c.mayHaveRun > 0 || c.inFlight > 0 })
}

// failure returns the error of a query that can no longer be answered.
func (q *query) failure() error {
	mayHaveRun := q.mayHaveRun()
	var lastFailed *attempt
	for _, c := range q.calls {
		if c.ended && c.answered == nil && c.lastFailed != nil {
			lastFailed = c.lastFailed
		}
	}
	switch {
	case !mayHaveRun && lastFailed == nil:
		return withRetryAfter(kind.Errorf(kind.Unavailable, "no usable leaf"), q.quietLeft())
	case !mayHaveRun:
		return withRetryAfter(kind.Errorf(kind.Overloaded, "no leaf accepted the request: %w", lastFailed.reason()), q.quietLeft())
	case lastFailed == nil && q.peerError != nil:
		return kind.Errorf(kind.CoverageTooLow, "%d of %d parts failed, last error of a peer: %w", q.failed, q.total, q.peerError)
	case lastFailed == nil:
		return kind.Errorf(kind.CoverageTooLow, "%d of %d parts have no usable leaf", q.failed, q.total)
	case q.request.gathered():
		return kind.Errorf(kind.CoverageTooLow, "%d of %d parts failed, last error: %w", q.failed, q.total, lastFailed.reason())
	case lastFailed.outcome == leafpick.Failed:
		return kind.Errorf(kind.BadAnswer, "leaf %s: %w", lastFailed.pick.ID, lastFailed.reason())
	default:
		return kind.Errorf(kind.ConnectionLost, "leaf %s: %w", lastFailed.pick.ID, lastFailed.reason())
	}
}

// wakeAt returns when the query must be examined again if no result arrives before.
func (q *query) wakeAt() time.Time {
	at := q.deadline().Add(-deadlineMargin)
	now := time.Now()
	if q.request.gathered() && now.Before(q.partialDeadline) && q.partialDeadline.Before(at) {
		at = q.partialDeadline
	}
	for _, c := range q.calls {
		if c.ended || c.nextHedgeCheck == 0 {
			continue
		}
		if due := q.handler.routes.start.Add(c.nextHedgeCheck); due.Before(at) {
			at = due
		}
	}
	return at
}

// hedge sends hedges for slow calls.
func (q *query) hedge() {
	if !q.request.route.Idempotent {
		return
	}
	now := q.handler.routes.now()
	deadline := q.deadline().Sub(q.handler.routes.start)
	for _, c := range q.calls {
		if c.ended || c.inFlight == 0 || now < c.nextHedgeCheck {
			continue
		}
		if !q.mayRepeat() {
			c.nextHedgeCheck = deadline
			continue
		}
		var d hedge.Decision
		q.state.locked(func(r *dispatch.Route) {
			d = r.DecideHedge(now, c.service, hedge.Call{
				LastSent: c.lastSent, Hedges: c.hedges, Idempotent: true, Deadline: deadline, StragglerDelay: q.stragglerDelay,
				Answered: q.ownAnswered, Leaves: len(q.calls),
				HasReplica: len(c.attempts) < q.request.route.MaxAttempts,
			})
		})
		switch d.Verdict {
		case hedge.Wait:
			c.nextHedgeCheck = d.At
		case hedge.Never:
			c.nextHedgeCheck = deadline
		case hedge.Send:
			c.nextHedgeCheck = deadline
			waited := now - c.lastSent
			if q.sendAttempt(c, true) {
				c.hedges++
				q.handler.log.Note("hedge sent", q.request.id, zap.String("service", c.service),
					zap.Duration("after", waited), zap.Int("parts_in", q.answered))
			} else {
				q.state.locked((*dispatch.Route).ReturnHedge)
			}
		}
	}
}

// receive processes an attempt that has ended.
func (q *query) receive(a *attempt) {
	c := a.call
	c.inFlight--
	if a.mayHaveRun {
		c.mayHaveRun++
	}
	if !a.sent {
		c.arrivals--
	}
	if c.ended {
		return
	}
	if a.outcome == leafpick.Answered {
		c.ended, c.answered = true, a
		c.withdraw()
		q.ownAnswered++
		q.addAnswered(1)
		q.findStragglers()
		return
	}
	c.lastFailed = a
	if q.retry(a) || c.inFlight > 0 {
		return
	}
	q.fail(c)
}

// findStragglers sets the delay after which calls are stragglers once most of them have been
// answered. The calls that are left are examined again. Only the nodes of a divided gather do so: they
// are slow, and the latencies that they measure hold their own queues. Elsewhere the hedges would be
// missing for calls that are late.
func (q *query) findStragglers() {
	if !q.divided || q.stragglerDelay > 0 {
		return
	}
	q.stragglerDelay = dispatch.StragglerDelay(q.handler.routes.now()-q.startedAt, q.ownAnswered, len(q.calls))
	if q.stragglerDelay == 0 {
		return
	}
	for _, c := range q.calls {
		if c.hedges == 0 {
			c.nextHedgeCheck = 0
		}
	}
}

// addAnswered counts n more parts that have arrived.
func (q *query) addAnswered(n int) {
	q.answered += n
	if q.coveredAt.IsZero() && q.covered(q.answered) {
		q.coveredAt = time.Now()
	}
}

// runs returns the number of attempts, ended or in flight, that a leaf may have run.
func (c *call) runs() int { return c.inFlight + c.mayHaveRun }

func (q *query) fail(c *call) {
	c.ended = true
	q.failed++
}
