package entry

import (
	"context"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/coverage"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// leafCall tracks the calls of one leaf of the plan.
type leafCall struct {
	choice snapshot.Choice
	// batch is the latest message that requested the call.
	batch *batch
	// tried lists the holders that have been tried in this round.
	tried []string
	// part is shared by the calls that cover the same part of the key space.
	part *partCalls
	// permit is set for a call on trial.
	permit *quarantine.Permit
	// backoffs counts the backoffs between rounds of holders, and retryAt is the
	// end of the latest one.
	backoffs int
	retryAt  time.Duration
	// repeated is set once the call has been repeated after a refusal as
	// quarantined.
	repeated bool
	// ended is set once the call needs no further result.
	ended bool
	// lastFailure is the kind of the call's latest failure.
	lastFailure kind.Kind
}

// partCalls holds the calls that cover one part of the key space: the first one,
// its retries on other leaves and its hedges.
type partCalls struct {
	calls    []*leafCall
	answered bool
	hedges   int
	lastSent time.Duration
}

// searchRun is one query in progress. It is used by one goroutine; the batches
// only send it events.
type searchRun struct {
	searcher  *Searcher
	ctx       context.Context
	request   *Request
	state     *serviceState
	query     *snapshot.Query
	answerBy  time.Duration
	bias      hostBias
	collector *coverage.Collector
	events    chan searchEvent
	// grants is unbuffered, so that a permit is either received or returned.
	grants        chan *trialGrant
	generation    int
	attempts      int
	calls         map[string]*leafCall
	parts         []*partCalls
	answered      int
	batches       []*batch
	hedgeSchedule hedgeSchedule
	// backingOff lists the calls whose holders are tried again after a backoff.
	backingOff []*leafCall
}

func (run *searchRun) now() time.Duration { return run.searcher.states.now() }

// start begins to execute a plan and discards all earlier answers.
func (run *searchRun) start(plan snapshot.Plan) {
	run.abandonCalls()
	run.generation++
	run.answered = 0
	run.parts = nil
	run.backingOff = nil
	run.calls = make(map[string]*leafCall, len(plan.Choices))
	run.collector = coverage.New(plan.Snapshot, run.request.Limit, len(plan.Choices))
	groups := map[Host][]string{}
	for _, choice := range plan.Choices {
		call := run.addCall(choice, &partCalls{})
		run.parts = append(run.parts, call.part)
		host, found := run.nextHolder(call)
		if !found {
			run.collector.Fail(choice.Leaf, kind.Unavailable)
			call.ended = true
			continue
		}
		groups[host] = append(groups[host], choice.Leaf)
	}
	for host, leaves := range groups {
		run.send(host, leaves)
	}
	run.startHedging(len(plan.Choices))
}

// addCall adds a call of the leaf of choice to a part and announces it to the
// collector.
func (run *searchRun) addCall(choice snapshot.Choice, part *partCalls) *leafCall {
	call := &leafCall{choice: choice, part: part}
	part.calls = append(part.calls, call)
	part.lastSent = run.now()
	run.calls[choice.Leaf] = call
	run.collector.Expect(choice.Leaf, choice.Shard, choice.Range)
	return call
}

// nextHolder returns a holder of the leaf that has not been tried, and marks it
// as tried.
func (run *searchRun) nextHolder(call *leafCall) (Host, bool) {
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	host, _, found := run.state.pickHolder(run.now(), run.searcher.router, call.choice.Leaf, call.tried, run.bias)
	if found {
		call.tried = append(call.tried, host.Name)
	}
	return host, found
}

func (run *searchRun) sendEvent(e searchEvent) {
	select {
	case run.events <- e:
	case <-run.ctx.Done():
	}
}

// loop collects results until the policy of the service is satisfied.
func (run *searchRun) loop() (*coverage.Result, error) {
	policy := coverage.PolicyOf(run.request.Target.Policy)
	timer := time.NewTimer(run.untilNextWake())
	defer timer.Stop()
	for {
		verdict, err := run.collector.Decide(run.now(), run.answerBy, policy)
		switch verdict {
		case coverage.Reply:
			result := run.collector.Result(kind.DeadlineExceeded)
			return &result, nil
		case coverage.Refuse:
			return nil, err
		}
		select {
		case e := <-run.events:
			run.handleEvent(e)
		case g := <-run.grants:
			run.handleGrant(g)
		case <-timer.C:
			run.hedgeIfDue()
			run.retryIfDue()
		case <-run.ctx.Done():
			if run.now() < run.answerBy {
				return nil, kind.Errorf(kind.Canceled, "the caller canceled the request")
			}
		}
		timer.Reset(run.untilNextWake())
	}
}

// count increments a counter of the query's customer and service.
func (run *searchRun) count(name string) {
	tags := map[string]string{"customer": run.request.Customer, "service": run.request.Service}
	run.searcher.scope.Tagged(tags).Counter(name).Inc(1)
}

// untilNextWake returns the time until the deadline, the next decision on a hedge
// or the end of the next backoff, whichever comes first.
func (run *searchRun) untilNextWake() time.Duration {
	nextAt := run.answerBy
	if run.hedgeSchedule.nextAt > 0 {
		nextAt = min(nextAt, run.hedgeSchedule.nextAt)
	}
	for _, call := range run.backingOff {
		nextAt = min(nextAt, call.retryAt)
	}
	return max(nextAt-run.now(), 0)
}

func (run *searchRun) handleEvent(e searchEvent) {
	if e.err != nil {
		run.handleBatchError(e)
		return
	}
	r := e.result
	if r.RequestID != run.request.ID || !e.batch.open[r.Leaf] {
		return
	}
	delete(e.batch.open, r.Leaf)
	run.recordResult(e.batch, r)
	if len(r.Known) > 0 {
		run.searcher.screen.Merge(r.Known)
	}
	if e.batch.generation == run.generation {
		run.handleResult(r)
	}
}

// recordResult updates the state of the leaf, and its statistics at the holder,
// from a result.
func (run *searchRun) recordResult(b *batch, r *wire.LeafResult) {
	now := run.now()
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	run.state.observeResult(now, r)
	stats := run.state.stats(r.Leaf, b.host.Name)
	switch {
	case r.Kind == "":
		stats.Answered(now, now-b.sentAt)
		run.state.hedges.Observe(now - b.sentAt)
	case resultKind(r) == kind.Canceled:
		stats.Ended()
	default:
		stats.Failed(now)
	}
}

// handleBatchError fails the open calls of a batch that ended with an error.
func (run *searchRun) handleBatchError(e searchEvent) {
	k := kind.Of(streamError(e.err))
	now := run.now()
	for leaf := range e.batch.open {
		delete(e.batch.open, leaf)
		run.state.mu.Lock()
		run.state.stats(leaf, e.batch.host.Name).Failed(now)
		run.state.mu.Unlock()
		if e.batch.generation == run.generation {
			run.handleFailure(leaf, k)
		}
	}
}

func (run *searchRun) handleResult(r *wire.LeafResult) {
	call := run.calls[r.Leaf]
	if call == nil || call.ended {
		return
	}
	if r.Kind != "" && call.permit != nil {
		run.endPermit(call.permit, r.Run != string(kind.RunNo))
	}
	if r.Kind != "" && r.Died && !call.part.pendingExcept(call) {
		run.requestTrial(call, false)
		return
	}
	if resultKind(r) == kind.Quarantined && r.Run == string(kind.RunNo) && !call.repeated {
		run.requestTrial(call, true)
		return
	}
	if r.Kind != "" {
		run.handleFailure(r.Leaf, resultKind(r))
		return
	}
	if err := run.merge(call, r); err != nil {
		run.handleFailure(r.Leaf, kind.Of(err))
		return
	}
	run.completePart(call)
}

func (run *searchRun) merge(call *leafCall, r *wire.LeafResult) error {
	hits, err := decodeHits(r.Body)
	if err != nil {
		return err
	}
	return run.collector.Add(coverage.Answer{
		Leaf:     r.Leaf,
		Shard:    call.choice.Shard,
		Snapshot: snapshotID(r.Snapshot),
		Range:    snapshot.Range{From: r.From, To: r.To},
		Hits:     hits,
	})
}

// completePart marks the part of an answered call as answered and cancels the
// part's other calls.
func (run *searchRun) completePart(call *leafCall) {
	call.ended = true
	call.part.answered = true
	run.answered++
	for _, other := range call.part.calls {
		if other.ended {
			continue
		}
		other.ended = true
		run.endPermit(other.permit, true)
		run.collector.Fail(other.choice.Leaf, kind.Canceled)
		run.cancelCall(other)
	}
	run.hedgeOnAnswer()
}

// cancelCall cancels a call whose part has been answered by another call. The
// time since it was sent counts as a latency for hedging.
func (run *searchRun) cancelCall(call *leafCall) {
	b := call.batch
	if b == nil || !b.open[call.choice.Leaf] {
		return
	}
	b.cancel(call.choice.Leaf)
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	run.state.hedges.Observe(run.now() - b.sentAt)
}

// abandonCalls cancels the calls still in flight and counts them as ended. It ends the permits of
// unfinished calls.
func (run *searchRun) abandonCalls() {
	for _, call := range run.calls {
		if !call.ended {
			run.endPermit(call.permit, true)
		}
	}
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	for _, b := range run.batches {
		b.stop()
		for leaf := range b.open {
			run.state.stats(leaf, b.host.Name).Ended()
		}
		b.open = nil
	}
	run.batches = nil
}
