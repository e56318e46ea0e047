package relay

import (
	"context"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Stop starts a planned stop. Callers are asked to close their connections, and requests that can't
// be served in time are refused.
func (h *Handler) Stop(s dispatch.StopSchedule) {
	if !h.stopping.CompareAndSwap(nil, &s) {
		return
	}
	close(h.stopBegun)
	time.AfterFunc(time.Until(s.AnswerBy), func() { h.endDelegation(context.DeadlineExceeded) })
}

// Serving returns the number of requests of callers and gathers for peers in progress.
func (h *Handler) Serving() int64 { return h.serving.Load() + h.gathering.Load() }

// checkStop refuses a request that can't be served before the node stops.
func (h *Handler) checkStop(r *request) error {
	s := h.stopping.Load()
	if s == nil {
		return nil
	}
	var expected time.Duration
	h.routes.get(r.route).locked(func(s *dispatch.Route) { expected = s.ExpectedLatency(r.route.Idempotent || r.gathered()) })
	if now := time.Now(); !s.Accepts(now, r.deadline, expected) {
		err := kind.Errorf(kind.Stopping, "the node stops within %v, the request is expected to take %v", s.AnswerBy.Sub(now), expected)
		// Other nodes can serve the request at once.
		return withRetryAfter(err, minRetryAfter)
	}
	return nil
}

// deadline returns when the query must have its answer: at the deadline of its request, or before
// the node stops.
func (q *query) deadline() time.Time {
	if s := q.handler.stopping.Load(); s != nil && s.AnswerBy.Before(q.request.deadline) {
		return s.AnswerBy
	}
	return q.request.deadline
}

// endBeforeStop ends a query that has no answer when the node has to answer all requests. It cancels
// the attempts to learn which of them a leaf may have run.
func (q *query) endBeforeStop() error {
	for _, c := range q.calls {
		for _, a := range c.attempts {
			a.cancel()
		}
	}
	timeout := time.After(time.Until(q.handler.stopping.Load().GiveUpAt))
	for q.attemptsInFlight() {
		select {
		case a := <-q.results:
			q.receive(a)
			continue
		case <-timeout:
		}
		break
	}
	switch {
	case q.answered == q.total:
		return nil
	case q.mayHaveRun():
		return kind.Errorf(kind.DeadlineExceeded, "only %d of %d parts arrived before the node stops", q.answered, q.total)
	}
	return withRetryAfter(kind.Errorf(kind.Stopping, "the request was not sent before the node stops"), minRetryAfter)
}

func (q *query) attemptsInFlight() bool {
	return slices.ContainsFunc(q.calls, func(c *call) bool { return c.inFlight > 0 })
}
