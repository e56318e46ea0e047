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

// leafCall follows the calls of one leaf of the plan.
type leafCall struct {
	choice snapshot.Choice
	// batch is the last message that asked for the call.
	batch *batch
	// tried lists the holders that have been asked.
	tried []string
	// part is shared by the calls that cover the same part of the key space.
	part *partCalls
	// permit is set for a call on trial.
	permit *quarantine.Permit
	// backoffs counts the rounds of holders that have been waited for, and retryAt
	// is when the next one begins.
	backoffs int
	retryAt  time.Duration
	// calledAgain is set once the call has been repeated after a refusal for its
	// content.
	calledAgain bool
	// ended is set once the call needs no further result.
	ended bool
	// failed is how the call has failed last.
	failed kind.Kind
}

// partCalls are the calls that cover one part: the first one and its hedges.
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
	// grants has no buffer, so that a permit is either taken or given back.
	grants     chan *trialGrant
	generation int
	sent       int
	calls      map[string]*leafCall
	parts      []*partCalls
	answered   int
	batches    []*batch
	hedging    hedging
	// waiting holds the calls whose holders are asked again later.
	waiting []*leafCall
}

func (run *searchRun) now() time.Duration { return run.searcher.states.now() }

// begin starts the query on a plan, discarding every earlier answer.
func (run *searchRun) begin(plan snapshot.Plan) {
	run.finish()
	run.generation++
	run.answered = 0
	run.parts = nil
	run.waiting = nil
	run.calls = make(map[string]*leafCall, len(plan.Choices))
	run.collector = coverage.New(plan.Snapshot, run.request.Limit, len(plan.Choices))
	groups := map[Host][]string{}
	for _, choice := range plan.Choices {
		call := run.add(choice, &partCalls{})
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

// add announces a call of the leaf of choice.
func (run *searchRun) add(choice snapshot.Choice, part *partCalls) *leafCall {
	call := &leafCall{choice: choice, part: part}
	part.calls = append(part.calls, call)
	part.lastSent = run.now()
	run.calls[choice.Leaf] = call
	run.collector.Expect(choice.Leaf, choice.Shard, choice.Range)
	return call
}

// nextHolder returns a holder of the leaf that has not been asked.
func (run *searchRun) nextHolder(call *leafCall) (Host, bool) {
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	host, _, found := run.state.pickHolder(run.now(), run.searcher.router, call.choice.Leaf, call.tried, run.bias)
	if found {
		call.tried = append(call.tried, host.Name)
	}
	return host, found
}

func (run *searchRun) emit(e searchEvent) {
	select {
	case run.events <- e:
	case <-run.ctx.Done():
	}
}

// loop collects results until the policy of the service is satisfied.
func (run *searchRun) loop() (*coverage.Result, error) {
	policy := coverage.PolicyOf(run.request.Target.Policy)
	timer := time.NewTimer(run.wakeIn())
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
			run.handle(e)
		case g := <-run.grants:
			run.handleGrant(g)
		case <-timer.C:
			run.hedgeDue()
			run.retryDue()
		case <-run.ctx.Done():
			if run.now() < run.answerBy {
				return nil, kind.Errorf(kind.Canceled, "the caller went away")
			}
		}
		timer.Reset(run.wakeIn())
	}
}

// count counts one event of the query's customer and service.
func (run *searchRun) count(name string) {
	tags := map[string]string{"customer": run.request.Customer, "service": run.request.Service}
	run.searcher.scope.Tagged(tags).Counter(name).Inc(1)
}

// wakeIn returns the time until the deadline or the next decision on a hedge.
func (run *searchRun) wakeIn() time.Duration {
	at := run.answerBy
	if run.hedging.at > 0 {
		at = min(at, run.hedging.at)
	}
	for _, call := range run.waiting {
		at = min(at, call.retryAt)
	}
	return max(at-run.now(), 0)
}

func (run *searchRun) handle(e searchEvent) {
	if e.err != nil {
		run.handleEnd(e)
		return
	}
	r := e.result
	if r.RequestID != run.request.ID || !e.batch.open[r.Leaf] {
		return
	}
	delete(e.batch.open, r.Leaf)
	run.learn(e.batch, r)
	if len(r.Known) > 0 {
		run.searcher.screen.Merge(r.Known)
	}
	if e.batch.generation == run.generation {
		run.handleResult(r)
	}
}

// learn records what a result tells of the leaf and its holder.
func (run *searchRun) learn(b *batch, r *wire.LeafResult) {
	now := run.now()
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	run.state.observe(now, r)
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

// handleEnd fails the calls of a batch that ended without their results.
func (run *searchRun) handleEnd(e searchEvent) {
	k := kind.Of(streamError(e.err))
	now := run.now()
	for leaf := range e.batch.open {
		delete(e.batch.open, leaf)
		run.state.mu.Lock()
		run.state.stats(leaf, e.batch.host.Name).Failed(now)
		run.state.mu.Unlock()
		if e.batch.generation == run.generation {
			run.failLeaf(leaf, k)
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
	if r.Kind != "" && r.Died && !call.part.pendingBeside(call) {
		run.requestTrial(call, false)
		return
	}
	if resultKind(r) == kind.Quarantined && r.Run == string(kind.RunNo) && !call.calledAgain {
		run.requestTrial(call, true)
		return
	}
	if r.Kind != "" {
		run.failLeaf(r.Leaf, resultKind(r))
		return
	}
	if err := run.merge(call, r); err != nil {
		run.failLeaf(r.Leaf, kind.Of(err))
		return
	}
	run.answer(call)
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

// answer ends the part of an answered call and cancels its other calls.
func (run *searchRun) answer(call *leafCall) {
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

// cancelCall cancels a call that another one has made needless.
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

// finish counts the calls that are given up as ended.
func (run *searchRun) finish() {
	for _, call := range run.calls {
		if !call.ended {
			run.endPermit(call.permit, true)
		}
	}
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	for _, b := range run.batches {
		for leaf := range b.open {
			run.state.stats(leaf, b.host.Name).Ended()
		}
		b.open = nil
	}
	run.batches = nil
}
