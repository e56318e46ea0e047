package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// lackingTTL is how long a peer's number of lacking shards is taken into account.
const lackingTTL = 50 * time.Millisecond

const (
	// initialPartLag is the initial estimate of the time by which a peer's answer must be due
	// earlier than the answer to the caller; minPartLag and maxPartLag bound the estimate.
	initialPartLag = 4 * time.Millisecond
	minPartLag     = time.Millisecond
	maxPartLag     = 8 * time.Millisecond
	// lateAnswerInterval is the minimum time between the answers of a part after the first one,
	// so that parts that arrive late share an answer.
	lateAnswerInterval = 2 * time.Millisecond
	// unansweredMemory is how long a peer is held to be unresponsive that has not answered a
	// query by its end.
	unansweredMemory = time.Second
)

// peerPart is a part of a gather that a peer gathers.
type peerPart struct {
	helper     *Helper
	shards     []string
	delegation *delegation
	// due is when the peer was asked to answer.
	due time.Time
	// answered and failed are the numbers of shards that have ended.
	answered int
	failed   int
}

// left returns the number of shards that have not ended.
func (p *peerPart) left() int { return len(p.shards) - p.answered - p.failed }

// partUpdate is an answer of a peer about a part or, if answer is nil, the end of its answers.
type partUpdate struct {
	part   *peerPart
	answer *GatherAnswer
	sent   bool
	err    error
}

// divide leaves the shards of a plan's peers to them.
func (q *query) divide(plan []*Helper) {
	parts := make([]*peerPart, len(plan))
	own := q.calls[:0:0]
	for _, c := range q.calls {
		i := owner(q.request.view.Table.ShardPosition(c.service), len(plan))
		if plan[i] == nil {
			own = append(own, c)
			continue
		}
		if parts[i] == nil {
			parts[i] = &peerPart{helper: plan[i]}
			q.parts = append(q.parts, parts[i])
		}
		parts[i].shards = append(parts[i].shards, c.service)
	}
	q.calls, q.divided = own, true
	// A peer sends at most one answer for each shard.
	q.updates = make(chan partUpdate, q.total+len(q.parts))
}

// delegateParts sends the parts to their peers. ctx ends when the query has ended.
func (q *query) delegateParts(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, q.request.deadline)
	q.stopParts = cancel
	now := time.Now()
	due := q.partialDeadline.Add(-q.handler.partLag.value())
	update := func(u partUpdate) {
		select {
		case q.updates <- u:
		case <-ctx.Done():
		}
	}
	for _, p := range q.parts {
		p.due = due
		p.delegation = q.handler.helpers.begin(p.helper, now, q.partialDeadline)
		call := q.gatherCall(p.shards, time.Until(due))
		go func() {
			sent, err := q.handler.helpers.client.GatherPart(ctx, p.helper.Address, call, func(a *GatherAnswer) {
				update(partUpdate{part: p, answer: a})
			})
			update(partUpdate{part: p, sent: sent, err: err})
		}()
	}
}

// endParts ends the delegations. A peer that should have answered but has not is remembered for
// some time.
func (q *query) endParts() {
	if q.stopParts == nil {
		return
	}
	q.stopParts()
	now := time.Now()
	for _, p := range q.parts {
		end := func() { q.handler.helpers.end(p.helper, p.delegation, now, false) }
		if p.answered+p.failed > 0 || len(p.shards) == 0 || now.Before(q.partialDeadline) {
			end()
			continue
		}
		time.AfterFunc(unansweredMemory, end)
	}
}

// receivePart processes an update of a peer. Shards of a peer that has not called any leaf are
// gathered by this node.
func (q *query) receivePart(u partUpdate) {
	h, p := q.handler, u.part
	switch {
	case u.answer == nil:
		q.endPart(u)
		return
	case u.answer.Failed != "":
		h.helpers.end(p.helper, p.delegation, time.Now(), true)
		q.takeOver(p, errors.New(u.answer.Text))
		return
	}
	now := time.Now()
	h.learnDepartures(u.answer.Leaving)
	h.helpers.end(p.helper, p.delegation, now, true)
	h.helpers.setLacking(p.helper, now, u.answer.LackingShards)
	first := p.answered+p.failed == 0
	n := min(len(u.answer.Signatures), p.left())
	p.answered += n
	failed := min(u.answer.FailedShards-p.failed, p.left())
	p.failed += failed
	q.failed += failed
	q.peersRan = true
	q.signatures = append(q.signatures, u.answer.Signatures[:n]...)
	q.bodies = append(q.bodies, u.answer.Body)
	q.addAnswered(n)
	if first && p.left() > 0 {
		h.partLag.observe(now.Sub(p.due))
	}
}

// endPart processes the end of a peer's answers.
func (q *query) endPart(u partUpdate) {
	p := u.part
	if p.left() == 0 {
		return
	}
	err := u.err
	if err == nil {
		err = errors.New("the peer has ended its answers early")
	}
	if !errors.Is(err, context.Canceled) {
		q.handler.helpers.recordFailure(p.helper, time.Now())
	}
	if !u.sent && p.answered+p.failed == 0 {
		q.takeOver(p, err)
		return
	}
	q.handler.log.Note("peer did not gather its part", q.request.id, zap.String("peer", p.helper.Name),
		zap.Int("shards", len(p.shards)), zap.Int("answered", p.answered), zap.Error(err))
	q.peersRan = true
	q.peerError = err
	q.failed += p.left()
	p.failed += p.left()
}

// takeOver gathers from the shards of a part that its peer has not sent to any leaf.
func (q *query) takeOver(p *peerPart, err error) {
	q.handler.log.Note("part taken over from a peer", q.request.id, zap.String("peer", p.helper.Name),
		zap.Int("shards", len(p.shards)), zap.Error(err))
	calls := make([]*call, len(p.shards))
	for i, service := range p.shards {
		calls[i] = newCall(service)
	}
	q.calls = append(q.calls, calls...)
	p.shards = nil
	q.sendFirstAttempts(calls)
}

// ServePart gathers from the shards of a call and passes the answers to send: what has arrived once
// all shards have ended or a partial answer is due, and then whatever arrives later. It returns
// when all shards have ended or ctx ends, after which the caller needs no more of them.
func (h *Handler) ServePart(ctx context.Context, c *GatherCall, send func(*GatherAnswer) error) error {
	h.gathering.Add(1)
	defer h.gathering.Add(-1)
	h.learnDepartures(c.Leaving)
	r, err := h.peerRequest(ctx, c)
	if err != nil {
		return send(declined(err))
	}
	q := newPartQuery(h, r, c.Shards)
	defer q.release()
	q.partialDeadline = r.received.Add(c.Within)
	if err := q.reserve(); err != nil {
		return send(declined(kind.Errorf(kind.Unavailable, "%w", err)))
	}
	err = q.runPart(ctx, send)
	h.metrics.record(q, err, time.Since(r.received))
	return err
}

// runPart runs the query of a part.
func (q *query) runPart(ctx context.Context, send func(*GatherAnswer) error) error {
	lacking := len(q.calls) - q.callable() + q.saturated(time.Until(q.partialDeadline))
	if ctx.Err() != nil {
		return nil
	}
	// Calls that have been sent are left to finish as if the caller had its answer.
	defer q.cancelInFlight(context.Background())
	q.sendFirstAttempts(q.calls)
	timer := time.NewTimer(0)
	defer timer.Stop()
	sent, failed := map[*call]bool{}, 0
	answerAt := q.partialDeadline
	for {
		now := time.Now()
		ended := q.answered+q.failed == len(q.calls)
		pending := len(sent) < q.answered || failed < q.failed
		if pending && (ended || !now.Before(answerAt)) {
			answerAt, pending = now.Add(lateAnswerInterval), false
			a := q.mergeCalls(func(c *call) bool { return !sent[c] })
			for _, c := range q.calls {
				if c.answered != nil {
					sent[c] = true
				}
			}
			failed = q.failed
			a.FailedShards, a.LackingShards, a.Leaving = failed, lacking, q.handler.recentDepartures()
			if err := send(a); err != nil {
				return err
			}
		}
		if ended || !now.Before(q.deadline().Add(-deadlineMargin)) {
			return nil
		}
		q.hedge()
		wakeAt := q.wakeAt()
		if pending && answerAt.Before(wakeAt) {
			wakeAt = answerAt
		}
		timer.Reset(time.Until(wakeAt))
		var received *attempt
		select {
		case received = <-q.results:
		case <-timer.C:
		case <-ctx.Done():
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case received != nil:
			q.receive(received)
		}
	}
}

// newPartQuery returns a query for some of the shards of a route.
func newPartQuery(h *Handler, r *request, shards []string) *query {
	q := &query{handler: h, request: r, state: h.routes.get(r.route), total: len(shards), divided: true}
	q.addCalls(shards)
	return q
}

// lackingShards returns the number of the peers' shards that lack a leaf, as far as this node knows.
func (q *query) lackingShards() int {
	lacking := 0
	now := time.Now()
	for _, p := range q.parts {
		without := 0
		for _, service := range p.shards {
			if s := q.handler.services.get(service); s == nil || !s.hasLeaf() {
				without++
			}
		}
		lacking += max(without, q.handler.helpers.lacking(p.helper, now))
	}
	return lacking
}
