package relay

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/hedge"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

const (
	// endMargin is the time before the deadline at which the answer is decided on.
	endMargin = 5 * time.Millisecond
	// endWithin is the expected rest of a call below which it is left to end after
	// the query was answered; a closed connection costs the leaf a new one.
	endWithin = 20 * time.Millisecond
	// extraRefused is the number of attempts beyond a route's bound that may follow
	// on attempts which no leaf has run.
	extraRefused = 1
	// largePart is the length in bytes of a part from which it is cut to what is needed.
	largePart = 64 << 10
)

// query is the work on one request. Only the goroutine of Run uses it.
type query struct {
	handler *Handler
	request *request
	state   *routeState
	calls   []*call
	results chan *attempt
	// answered and failed count the calls that have ended.
	answered int
	failed   int
	// delegated is the answer of a peer that gathered for this node.
	delegated *GatherAnswer
	// cut is when a gathered answer is sent without the missing parts.
	cut time.Time
	// coveredAt is when the parts that were in became enough for an answer.
	coveredAt time.Time
	// mu guards the fields below, which attempts use.
	mu sync.Mutex
	// held are the answers whose bodies take room, and over is set once none is needed.
	held []*leafconn.Answer
	over bool
}

// call is the part of a query that goes to one service.
type call struct {
	service  string
	attempts []*attempt
	// arrivals is the number of attempts that may have reached a leaf.
	arrivals int
	running  int
	hedges   int
	lastSent time.Duration
	next     time.Duration
	answer   *leafconn.Answer
	signed   string
	ended    bool
	// last is the newest failed attempt.
	last *attempt
	// ran is the number of ended attempts that a leaf may have run.
	ran int
}

// attempt is one request to one leaf.
type attempt struct {
	call    *call
	backend *backend
	pick    *leafpick.Call
	cancel  context.CancelFunc
	begun   time.Duration
	content quarantine.Fingerprint
	answer  *leafconn.Answer
	head    LeafAnswer
	outcome leafpick.Outcome
	// sent says that a byte may have reached the leaf, and ran that the leaf may
	// have run the request.
	sent bool
	ran  bool
	// refused says that the leaf's host has refused the connection.
	refused bool
	err     error
}

func newQuery(h *Handler, r *request) *query {
	q := &query{handler: h, request: r, state: h.routes.get(r.route)}
	services := r.route.Shards
	if !r.gathered() {
		services = []string{q.state.backend(r.route)}
	}
	for _, s := range services {
		q.calls = append(q.calls, &call{service: s})
	}
	q.results = make(chan *attempt, len(q.calls)*(r.route.MaxAttempts+extraRefused+1))
	q.cut = r.received.Add(q.state.objective - r.margin)
	return q
}

// run sends the request, and returns once the answer can be written or the query
// has failed. ctx ends when the caller leaves.
func (q *query) run(ctx context.Context) error {
	if left := time.Until(q.request.deadline); left < endMargin {
		return kind.Errorf(kind.DeadlinePassed, "only %v are left of the caller's time", left)
	}
	if q.request.gathered() {
		callable := q.callable()
		if !q.covered(callable) {
			return kind.Errorf(kind.Unavailable, "only %d of %d shards have a leaf that can be used now", callable, len(q.calls))
		}
		within := time.Until(q.cut)
		if inTime := callable - q.saturated(within); !q.covered(inTime) {
			return kind.Errorf(kind.Overloaded, "only %d of %d shards have a leaf that can answer within %v, where a call takes %v",
				inTime, len(q.calls), within, q.state.expected())
		}
	}
	defer q.cancelRest(ctx)
	for _, c := range q.calls {
		if b := q.handler.backends.get(c.service); b != nil {
			b.first()
		}
		if !q.send(c, false) {
			q.fail(c)
		}
	}
	q.state.firstTries(len(q.calls))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if done, err := q.finished(); done {
			return err
		}
		q.hedge()
		timer.Reset(time.Until(q.wakeAt()))
		select {
		case a := <-q.results:
			q.receive(a)
		case <-timer.C:
		case <-ctx.Done():
			return kind.Errorf(kind.Canceled, "the caller left")
		}
	}
}

// finished reports whether the query has ended, and how.
func (q *query) finished() (bool, error) {
	now := time.Now()
	if q.answered == len(q.calls) {
		return true, nil
	}
	if q.request.gathered() {
		if covered := q.covered(q.answered); covered && (q.answered+q.failed == len(q.calls) || !now.Before(q.cut)) {
			return true, nil
		}
		if !q.covered(len(q.calls) - q.failed) {
			return true, q.failure()
		}
	} else if q.failed > 0 {
		return true, q.failure()
	}
	if !now.Before(q.request.deadline.Add(-endMargin)) {
		return true, kind.Errorf(kind.DeadlineExceeded, "%d of %d parts arrived in time", q.answered, len(q.calls))
	}
	return false, nil
}

// due returns when a gathered answer with missing parts had to be sent.
func (q *query) due() time.Time {
	if q.coveredAt.After(q.cut) {
		return q.coveredAt
	}
	return q.cut
}

// callable returns the number of services that have a leaf which may be called now.
func (q *query) callable() int {
	n := 0
	for _, c := range q.calls {
		if b := q.handler.backends.get(c.service); b != nil && b.callable() {
			n++
		}
	}
	return n
}

// saturated returns the number of services at whose leaves a call would wait for others so
// long that its part comes later than within.
func (q *query) saturated(within time.Duration) int {
	n := 0
	ask := leafpick.Ask{Mean: q.state.expected(), Priority: q.request.route.Priority}
	for _, c := range q.calls {
		if b := q.handler.backends.get(c.service); b != nil && b.saturated(ask, within) {
			n++
		}
	}
	return n
}

// covered reports whether n parts are enough for an answer.
func (q *query) covered(n int) bool {
	return n > 0 && float64(n) >= q.request.route.MinCoverage*float64(len(q.calls))
}

// failure returns the error of a query that can't be answered any more.
func (q *query) failure() error {
	ran := false
	var last *attempt
	for _, c := range q.calls {
		ran = ran || c.ran > 0 || c.running > 0
		if c.ended && c.answer == nil && c.last != nil {
			last = c.last
		}
	}
	switch {
	case !ran && last == nil:
		return kind.Errorf(kind.Unavailable, "no leaf can be used")
	case !ran:
		return kind.Errorf(kind.Overloaded, "no leaf took the request: %w", last.reason())
	case last == nil:
		return kind.Errorf(kind.CoverageTooLow, "%d of %d parts have no leaf that can be used", q.failed, len(q.calls))
	case q.request.gathered():
		return kind.Errorf(kind.CoverageTooLow, "%d of %d parts failed, the last: %w", q.failed, len(q.calls), last.reason())
	case last.outcome == leafpick.Failed:
		return kind.Errorf(kind.BadAnswer, "leaf %s: %w", last.pick.ID, last.reason())
	default:
		return kind.Errorf(kind.ConnectionLost, "leaf %s: %w", last.pick.ID, last.reason())
	}
}

// wakeAt returns when the query must be looked at again without a result.
func (q *query) wakeAt() time.Time {
	at := q.request.deadline.Add(-endMargin)
	now := time.Now()
	if q.request.gathered() && now.Before(q.cut) && q.cut.Before(at) {
		at = q.cut
	}
	for _, c := range q.calls {
		if c.ended || c.next == 0 {
			continue
		}
		if due := q.handler.routes.start.Add(c.next); due.Before(at) {
			at = due
		}
	}
	return at
}

// hedge sends second attempts of calls that are slow.
func (q *query) hedge() {
	if !q.request.route.Idempotent {
		return
	}
	now := q.handler.routes.now()
	deadline := q.request.deadline.Sub(q.handler.routes.start)
	for _, c := range q.calls {
		if c.ended || c.running == 0 || now < c.next {
			continue
		}
		if !q.mayRepeat() {
			c.next = deadline
			continue
		}
		d := q.state.decide(now, c.service, hedge.Call{
			LastSent: c.lastSent, Hedges: c.hedges, Idempotent: true, Deadline: deadline,
			Answered: q.answered, Leaves: len(q.calls),
			HasReplica: len(c.attempts) < q.request.route.MaxAttempts,
		})
		switch d.Verdict {
		case hedge.Wait:
			c.next = d.At
		case hedge.Never:
			c.next = deadline
		case hedge.Send:
			c.next = deadline
			waited := now - c.lastSent
			if q.send(c, true) {
				c.hedges++
				q.handler.log.Note("hedge sent", q.request.id, zap.String("service", c.service),
					zap.Duration("after", waited), zap.Int("parts_in", q.answered))
			} else {
				q.state.unspent()
			}
		}
	}
}

// send sends the request to one more leaf of a call's service. It reports false if
// there is no leaf or no budget.
func (q *query) send(c *call, extra bool) bool {
	b := q.handler.backends.get(c.service)
	if b == nil {
		return false
	}
	ask := leafpick.Ask{
		Mean: q.state.expected(), Once: !q.request.route.Idempotent, Extra: extra, Priority: q.request.route.Priority,
	}
	for _, a := range c.attempts {
		ask.Tried = append(ask.Tried, a.pick.ID)
	}
	pick, pool := b.begin(ask, c.arrivals > 0, extra)
	if pick == nil {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), q.request.deadline)
	a := &attempt{
		call: c, backend: b, pick: pick, cancel: cancel, begun: q.handler.routes.now(), content: q.request.content(),
	}
	c.attempts = append(c.attempts, a)
	c.arrivals++
	c.running++
	c.lastSent = a.begun
	go q.exchange(ctx, a, pool)
	return true
}

// exchange runs one attempt and passes it back. It goes on when the query has
// ended, so that the connection can be used again.
func (q *query) exchange(ctx context.Context, a *attempt, p *leafPool) {
	defer a.cancel()
	r := q.request
	var sent *quarantine.Sent
	request := &leafconn.Request{
		Method: r.method, URI: r.uri, Host: r.host, Body: r.body, Priority: r.route.Priority,
		Header: func() http.Header {
			sent = a.backend.sent(p, r, a.content)
			header := maps.Clone(r.header)
			q.handler.dialect.SetForwardHeaders(header, a.pick.ID, time.Until(r.deadline))
			return header
		},
		Mine: func(h http.Header) bool {
			head := q.handler.dialect.ReadAnswer(0, h)
			return head.Mine(r.id)
		},
	}
	if !r.route.Idempotent {
		request.MaxIdle = q.handler.options.NonIdempotentMaxIdle
	}
	answer, err := p.pool.Do(ctx, request)
	a.classify(q.handler.dialect, answer, err, r.gathered())
	if sent != nil {
		q.learn(a, p, sent)
	}
	if a.refused {
		a.backend.ended(p, leafconn.Refuses.String())
	}
	if a.outcome == leafpick.Answered {
		q.state.observe(a.call.service, answer.Took)
	}
	if answer != nil {
		q.hold(answer)
	}
	if change := a.backend.end(a.pick, a.outcome); change != leafpick.Unchanged {
		q.noteChange(a, change)
	}
	q.results <- a
}

// hold keeps the body of an answer until release. Of a large part only the records are kept
// that can be in the answer.
func (q *query) hold(answer *leafconn.Answer) {
	if q.request.gathered() && len(answer.Body) > largePart {
		answer.Shrink(greatest([][]byte{answer.Body}, q.request.route.TopK))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.over {
		answer.Release()
		return
	}
	q.held = append(q.held, answer)
}

// release gives back the room of all bodies, once the answer was written.
func (q *query) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.over = true
	for _, answer := range q.held {
		answer.Release()
	}
}

// learn takes what the end of an attempt shows of its content, also after the query has
// ended.
func (q *query) learn(a *attempt, p *leafPool, sent *quarantine.Sent) {
	unknown := a.ran && a.answer == nil
	a.backend.over(p, sent, unknown)
	switch {
	case a.ran && a.answer != nil:
		q.handler.answered(q.request, a)
	case unknown && (a.outcome == leafpick.Lost || a.outcome == leafpick.TimedOut):
		go a.backend.check(p, q.handler.backends.start.Add(sent.At))
	}
}

// noteChange logs that an attempt has taken its leaf out of use or back.
func (q *query) noteChange(a *attempt, change leafpick.Change) {
	event := "leaf taken back into use"
	if change == leafpick.Ejected {
		event = "leaf left out but for trials"
	}
	q.handler.log.Note(event, q.request.id, zap.String("service", a.call.service),
		zap.String("leaf", a.pick.ID), zap.Error(a.err))
}

// receive takes the end of an attempt.
func (q *query) receive(a *attempt) {
	c := a.call
	c.running--
	if a.ran {
		c.ran++
	}
	if !a.sent {
		c.arrivals--
	}
	if c.ended {
		return
	}
	if a.outcome == leafpick.Answered {
		c.ended, c.answer, c.signed = true, a.answer, a.head.Signature
		q.answered++
		if q.coveredAt.IsZero() && q.covered(q.answered) {
			q.coveredAt = time.Now()
		}
		return
	}
	c.last = a
	if q.retry(a) || c.running > 0 {
		return
	}
	q.fail(c)
}

// retry sends the request to another leaf after a failed attempt, if that is
// allowed and there is a leaf, budget and time.
func (q *query) retry(a *attempt) bool {
	c := a.call
	if a.ran && !q.request.route.Idempotent {
		return false
	}
	if !time.Now().Before(q.request.deadline.Add(-endMargin)) || c.runs() >= q.request.route.MaxAttempts ||
		len(c.attempts) > q.request.route.MaxAttempts+extraRefused {
		return false
	}
	mayRepeat := q.mayRepeat()
	sent := mayRepeat && q.send(c, false)
	q.handler.log.Note("attempt failed", q.request.id, zap.String("service", c.service),
		zap.String("leaf", a.pick.ID), zap.Error(a.reason()), zap.Bool("may_have_run", a.ran),
		zap.Int("attempts", len(c.attempts)), zap.Bool("may_repeat", mayRepeat), zap.Bool("retried", sent))
	return sent
}

// runs returns the number of attempts that a leaf may have run.
func (c *call) runs() int { return c.running + c.ran }

func (q *query) fail(c *call) {
	c.ended = true
	q.failed++
}

// cancelRest ends the attempts that nobody waits for.
func (q *query) cancelRest(ctx context.Context) {
	left := ctx.Err() != nil
	if !left && q.state.expected() < endWithin {
		return
	}
	for _, c := range q.calls {
		for _, a := range c.attempts {
			a.cancel()
		}
	}
}
