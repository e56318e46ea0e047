package experiment

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/hedge"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// defaultRetryAfter is the time after which a refused request may be sent again, if no
	// better time is known.
	defaultRetryAfter = 100 * time.Millisecond
	// writeMargin allows for the time to write an answer.
	writeMargin = 2 * time.Millisecond
	// peerMargin allows for the processing of a gather at the node that has delegated it.
	peerMargin = 3 * time.Millisecond
	// deadlineMargin is how long before the deadline a query decides on its answer.
	deadlineMargin = 5 * time.Millisecond
)

// query is the processing of one request at one node.
type query struct {
	node     *node
	run      int
	class    *Requests
	route    *dispatch.Route
	request  *request
	received time.Duration
	// partialDue is when an answer with missing parts is due.
	partialDue time.Duration
	coverage   dispatch.Coverage
	calls      []*call
	answered   int
	failed     int
	straggler  time.Duration
	wakeAt     time.Duration
	done       bool
}

// call is the part of a query that goes to one shard.
type call struct {
	query     *query
	service   *service
	tried     []string
	inFlight  int
	ran       int
	hedges    int
	lastSent  time.Duration
	nextCheck time.Duration
	ended     bool
}

// attempt is one request to one leaf.
type attempt struct {
	call    *call
	pick    *leafpick.Call
	conns   *conns
	process catalog.Process
	started time.Duration
	run     int
	sent    bool
	ended   bool
}

// serve processes a request at a node, or has a gatherer process it.
func (n *node) serve(r *request) {
	if len(n.sim.shards[r.class.Leaves]) == 1 || n.gathers {
		n.query(r)
		return
	}
	helper := n.helper()
	if helper == nil {
		r.refused(defaultRetryAfter)
		return
	}
	r.hop = n.latency(helper)
	n.process(func() {
		n.sim.clock.after(r.hop, func() {
			if helper.down {
				r.failed()
				return
			}
			helper.query(r)
		})
	})
}

// helper returns a live gatherer of the node's data centre, or of another one if it has none.
func (n *node) helper() *node {
	var local, all []*node
	for _, other := range n.sim.nodes {
		if !other.gathers || other.down || other.unready {
			continue
		}
		all = append(all, other)
		if other.dataCentre == n.dataCentre {
			local = append(local, other)
		}
	}
	if len(local) == 0 {
		local = all
	}
	if len(local) == 0 {
		return nil
	}
	return local[n.sim.random.IntN(len(local))]
}

// latency returns the time between two nodes, one way.
func (n *node) latency(other *node) time.Duration {
	if n.dataCentre == other.dataCentre {
		return milliseconds(n.sim.config.Network.WithinMS)
	}
	return milliseconds(n.sim.config.Network.BetweenMS)
}

// query processes a request at the node.
func (n *node) query(r *request) {
	c := r.class
	now := n.sim.clock.now
	q := &query{node: n, run: n.run, class: c, route: n.route(c), request: r, received: now}
	q.partialDue = now + milliseconds(c.ObjectiveMS) - 2*milliseconds(n.sim.config.Network.CallersMS) - writeMargin
	if r.hop > 0 {
		q.partialDue -= 2*r.hop + peerMargin
	}
	shards := n.sim.shards[c.Leaves]
	q.coverage = dispatch.Coverage{Total: len(shards), Min: c.MinCoverage}
	if len(shards) == 1 {
		q.coverage.Min = 1
	}
	for _, sh := range shards {
		q.calls = append(q.calls, &call{query: q, service: n.service(sh)})
	}
	if len(shards) > 1 && !n.sim.policy.NoRefusals && q.refused() {
		return
	}
	n.track(q)
	for _, c := range q.calls {
		c.service.calls.CountFirstAttempt(now)
		if !c.send(false) {
			c.fail()
		}
	}
	q.route.CountFirstAttempts(len(q.calls))
	n.sim.clock.at(q.deadline(), q.step)
	n.sim.clock.at(q.partialDue, q.step)
	q.step()
}

func (q *query) deadline() time.Duration { return q.request.deadline - deadlineMargin }

// refused refuses the query if it is known that it can't be answered.
func (q *query) refused() bool {
	n := q.node
	now := n.sim.clock.now
	opts := leafpick.CallOptions{Mean: q.route.MeanLatency(), Priority: q.class.Priority}
	callable, saturated := 0, 0
	var quiet time.Duration
	for _, c := range q.calls {
		group := c.service.calls.Group
		if group.Callable(now, c.service.fleet()) {
			callable++
		} else {
			quiet = max(quiet, group.QuietLeft(now))
		}
		if group.Saturated(now, opts, q.partialDue-now, c.service.fleet()) {
			saturated++
		}
	}
	if q.coverage.Refuse(callable, saturated) == dispatch.NotRefused {
		return false
	}
	q.done = true
	q.request.refused(max(quiet, defaultRetryAfter))
	return true
}

// step looks at the query after something has happened.
func (q *query) step() {
	now := q.node.sim.clock.now
	if q.done || q.run != q.node.run {
		return
	}
	switch {
	case q.answered == q.coverage.Total:
		q.finish()
		return
	case now >= q.deadline():
		q.done = true
		q.request.failed()
		return
	}
	switch q.coverage.Progress(q.answered, q.failed, now >= q.partialDue) {
	case dispatch.Answer:
		q.finish()
	case dispatch.Fail:
		q.giveUp()
	default:
		if !q.class.NonIdempotent && !q.node.sim.policy.NoHedges {
			q.hedge(now)
		}
	}
}

func (q *query) finish() {
	q.done = true
	q.request.answered(q.answered, q.coverage.Total)
}

// giveUp refuses the query if no leaf can have run it, and fails it otherwise.
func (q *query) giveUp() {
	q.done = true
	for _, c := range q.calls {
		if c.ran > 0 || c.inFlight > 0 {
			q.request.failed()
			return
		}
	}
	q.request.refused(defaultRetryAfter)
}

// hedge sends hedges for slow calls, and looks again when the next one may be due.
func (q *query) hedge(now time.Duration) {
	next := q.deadline()
	for _, c := range q.calls {
		if c.ended || c.inFlight == 0 {
			continue
		}
		if now >= c.nextCheck {
			c.decideHedge(now)
		}
		next = min(next, c.nextCheck)
	}
	if next < q.deadline() && (q.wakeAt <= now || next < q.wakeAt) {
		q.wakeAt = next
		q.node.sim.clock.at(next, q.step)
	}
}

func (c *call) decideHedge(now time.Duration) {
	q := c.query
	d := q.route.DecideHedge(now, c.service.shard.service.Name, hedge.Call{
		LastSent: c.lastSent, Hedges: c.hedges, Idempotent: true, Deadline: q.deadline(), StragglerDelay: q.straggler,
		Answered: q.answered, Leaves: len(q.calls), HasReplica: len(c.tried) < q.class.MaxAttempts,
	})
	c.nextCheck = q.deadline()
	switch d.Verdict {
	case hedge.Wait:
		// Without a time the call is looked at again when the next part has arrived.
		if d.At > 0 {
			c.nextCheck = d.At
		}
	case hedge.Send:
		if c.send(true) {
			c.hedges++
		} else {
			q.route.ReturnHedge()
		}
	}
}

// send sends the call to one more leaf. It returns false if there is no usable leaf or no retry budget.
func (c *call) send(isHedge bool) bool {
	q := c.query
	n := q.node
	now := n.sim.clock.now
	pick := c.service.calls.Begin(now, leafpick.CallOptions{
		Mean: q.route.MeanLatency(), Tried: c.tried, NonIdempotent: q.class.NonIdempotent, Hedge: isHedge, Priority: q.class.Priority,
	}, len(c.tried) > 0, c.service.fleet(), n.sim.random.Float64())
	if pick == nil {
		return false
	}
	c.tried = append(c.tried, pick.ID)
	c.inFlight++
	c.lastSent = now
	a := &attempt{call: c, pick: pick, conns: c.service.conns[pick.ID], started: now, run: n.run}
	a.process = a.conns.process
	a.conns.take(a)
	n.sim.clock.at(q.request.deadline, a.timeOut)
	return true
}

// live reports whether the node's process still waits for the attempt.
func (a *attempt) live() bool { return !a.ended && a.run == a.call.query.node.run }

// arrives calls f once what the leaf has sent has reached the node and was processed.
func (a *attempt) arrives(f func()) {
	n := a.call.query.node
	n.sim.clock.after(a.conns.leaf.latency(n), func() {
		if a.live() {
			n.process(f)
		}
	})
}

// answer delivers the leaf's answer; leaving is set if the leaf says that it is leaving.
func (a *attempt) answer(leaving bool) {
	a.arrives(func() {
		if !a.live() {
			return
		}
		q := a.call.query
		now := q.node.sim.clock.now
		q.route.Observe(a.call.service.shard.service.Name, now-a.started)
		a.end(leafpick.Answered, true)
		if leaving {
			a.call.service.leave(a.process)
		}
		a.call.ran++
		if !a.call.ended && !q.done {
			a.call.ended = true
			q.answered++
			if q.node.sim.policy.Stragglers && q.straggler == 0 {
				q.findStragglers(now)
			}
		}
		q.step()
	})
}

func (q *query) findStragglers(now time.Duration) {
	q.straggler = dispatch.StragglerDelay(now-q.received, q.answered, len(q.calls))
	if q.straggler == 0 {
		return
	}
	for _, c := range q.calls {
		if c.hedges == 0 {
			c.nextCheck = 0
		}
	}
}

// refuse delivers a refusal of the leaf, which wants no requests for some time.
func (a *attempt) refuse(quietFor time.Duration) {
	a.arrives(func() {
		if !a.live() {
			return
		}
		if quietFor > 0 {
			a.call.service.calls.Group.Quiet(a.process, a.call.query.node.sim.clock.now+quietFor)
		}
		a.failWith(leafpick.Refused, false, true)
	})
}

// reset reports that the connection has ended without an answer.
func (a *attempt) reset() {
	a.arrives(func() { a.failWith(leafpick.Lost, true, false) })
}

// unreachable reports that no connection could be opened.
func (a *attempt) unreachable() {
	if a.live() {
		a.endCall(leafpick.Unreachable)
		a.retry(false)
	}
}

// timeOut ends the attempt at the deadline of the request.
func (a *attempt) timeOut() {
	switch {
	case !a.live():
	case a.conns.withdraw(a):
		a.endCall(leafpick.Withheld)
	case a.sent:
		a.end(leafpick.TimedOut, false)
	}
}

func (a *attempt) failWith(outcome leafpick.Outcome, mayHaveRun, reusable bool) {
	if !a.live() {
		return
	}
	a.end(outcome, reusable)
	a.retry(mayHaveRun)
}

// end ends the attempt and returns its connection.
func (a *attempt) end(outcome leafpick.Outcome, reusable bool) {
	a.endCall(outcome)
	a.conns.release(reusable)
}

func (a *attempt) endCall(outcome leafpick.Outcome) {
	a.ended = true
	a.call.inFlight--
	a.call.service.calls.Group.End(a.call.query.node.sim.clock.now, a.pick, outcome)
}

// retry sends the call again after a failed attempt, if that is allowed.
func (a *attempt) retry(mayHaveRun bool) {
	c := a.call
	q := c.query
	if mayHaveRun {
		c.ran++
	}
	if c.ended || q.done {
		return
	}
	failed := dispatch.FailedCall{
		Idempotent: !q.class.NonIdempotent, MayHaveRun: mayHaveRun, Runs: c.inFlight + c.ran, Attempts: len(c.tried),
		RouteMax: q.class.MaxAttempts, Left: q.deadline() - q.node.sim.clock.now,
	}
	if (q.node.sim.policy.NoRetries || !failed.MayRetry() || !c.send(false)) && c.inFlight == 0 {
		c.fail()
	}
	q.step()
}

func (c *call) fail() {
	c.ended = true
	c.query.failed++
}
