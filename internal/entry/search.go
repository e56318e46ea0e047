package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/coverage"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// answerMargin is kept free before the deadline to merge and send the answer.
const answerMargin = 5 * time.Millisecond

// Searcher serves idempotent requests: it scatters them to one leaf per part of
// the key space and merges the answers on one snapshot.
type Searcher struct {
	router  Router
	holders Holders
	states  serviceStates
}

// NewSearcher returns a searcher.
func NewSearcher(router Router, holders Holders) *Searcher {
	return &Searcher{router: router, holders: holders, states: serviceStates{start: time.Now()}}
}

// Serve is the Handler of idempotent requests.
func (s *Searcher) Serve(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run, err := s.newRun(ctx, r)
	if err != nil {
		return nil, err
	}
	result, err := run.loop()
	if err != nil {
		return nil, err
	}
	return &Answer{Result: result}, nil
}

func (s *Searcher) newRun(ctx context.Context, r *Request) (*searchRun, error) {
	state := s.states.get(r.Target, r.Index)
	now := s.states.now()
	run := &searchRun{
		searcher: s,
		ctx:      ctx,
		request:  r,
		state:    state,
		answerBy: now + time.Until(r.Deadline) - answerMargin,
		events:   make(chan searchEvent, len(r.Target.Shards)),
	}
	state.mu.Lock()
	run.query = state.know.NewQuery(now, run.answerBy, state.shards, s.cost(r.Index))
	plan := run.query.Plan()
	state.mu.Unlock()
	if plan.Snapshot.IsZero() {
		plan = run.askHeld(plan.Ask)
	}
	if plan.Snapshot.IsZero() {
		return nil, kind.Errorf(kind.Unavailable, "no snapshot of service %q is known to be held", r.Service)
	}
	run.begin(plan)
	return run, nil
}

// cost prefers leaves at random among those that can be called.
func (s *Searcher) cost(index *document.Index) snapshot.CostFunc {
	return func(leaf string) (float64, bool) {
		entry := index.Leaf(index.LeafID(leaf))
		if entry == nil || !entry.AcceptsWork() || len(s.router.Holders(leaf)) == 0 {
			return 0, false
		}
		return rand.Float64(), true
	}
}

// askHeld asks the holders of the given leaves which snapshots those hold, and
// plans again.
func (run *searchRun) askHeld(ask []snapshot.Choice) snapshot.Plan {
	groups := map[Host]*wire.Held{}
	for _, choice := range ask {
		for _, host := range run.searcher.router.Holders(choice.Leaf) {
			if groups[host] == nil {
				groups[host] = &wire.Held{}
			}
			groups[host].Leaves = append(groups[host].Leaves, choice.Leaf)
		}
	}
	var wg sync.WaitGroup
	for host, m := range groups {
		wg.Go(func() { run.askHost(host, m) })
	}
	wg.Wait()
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	return run.query.Replan(run.now())
}

func (run *searchRun) askHost(host Host, m *wire.Held) {
	answer, err := run.searcher.holders.Held(run.ctx, host, m)
	if err != nil {
		return
	}
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	for _, l := range answer.Leaves {
		if l.Incarnation != "" {
			run.state.know.Observe(run.now(), newReport(l.Leaf, l.Incarnation, l.Snapshots))
		}
	}
}

// searchEvent is a result of one batch, or its end.
type searchEvent struct {
	batch  *batch
	result *wire.LeafResult
	// err is set if the batch ended without all of its results.
	err error
}

// batch is one message to one holder.
type batch struct {
	generation int
	host       Host
	cancel     context.CancelFunc
	// open holds the leaves whose result has not arrived.
	open map[string]bool
}

// leafCall follows the calls of one leaf of the plan.
type leafCall struct {
	choice snapshot.Choice
	// tried lists the holders that have been asked.
	tried    []string
	answered bool
}

// searchRun is one query in progress. It is used by one goroutine; the batches
// only send it events.
type searchRun struct {
	searcher   *Searcher
	ctx        context.Context
	request    *Request
	state      *serviceState
	query      *snapshot.Query
	answerBy   time.Duration
	collector  *coverage.Collector
	events     chan searchEvent
	generation int
	batches    int
	calls      map[string]*leafCall
	seen       []*wire.LeafResult
}

func (run *searchRun) now() time.Duration { return run.searcher.states.now() }

// begin starts the query on a plan, discarding every earlier answer.
func (run *searchRun) begin(plan snapshot.Plan) {
	run.generation++
	run.calls = make(map[string]*leafCall, len(plan.Choices))
	run.collector = coverage.New(plan.Snapshot, run.request.Limit, len(plan.Choices))
	for _, choice := range plan.Choices {
		run.collector.Expect(choice.Leaf, choice.Shard, choice.Range)
		run.calls[choice.Leaf] = &leafCall{choice: choice}
	}
	groups := map[Host][]string{}
	for _, choice := range plan.Choices {
		host, found := run.nextHolder(run.calls[choice.Leaf])
		if !found {
			run.collector.Fail(choice.Leaf, kind.Unavailable)
			continue
		}
		groups[host] = append(groups[host], choice.Leaf)
	}
	for host, leaves := range groups {
		run.send(host, leaves)
	}
}

// nextHolder returns a holder of the leaf that has not been asked.
func (run *searchRun) nextHolder(call *leafCall) (Host, bool) {
	host, found := pickHolder(run.searcher.router, call.choice.Leaf, call.tried)
	if found {
		call.tried = append(call.tried, host.Name)
	}
	return host, found
}

// send starts one batch.
func (run *searchRun) send(host Host, leaves []string) {
	run.batches++
	ctx, cancel := context.WithCancel(run.ctx)
	b := &batch{generation: run.generation, host: host, cancel: cancel, open: make(map[string]bool, len(leaves))}
	for _, leaf := range leaves {
		b.open[leaf] = true
	}
	m := run.message(leaves)
	go func() {
		defer cancel()
		err := run.searcher.holders.Scatter(ctx, host, m, func(result *wire.LeafResult) {
			run.emit(searchEvent{batch: b, result: result})
		})
		if err != nil {
			run.emit(searchEvent{batch: b, err: err})
		}
	}()
}

func (run *searchRun) message(leaves []string) *wire.Scatter {
	r := run.request
	budget := run.answerBy - run.now()
	return &wire.Scatter{
		RequestID:    r.ID,
		AttemptID:    attemptID(r.ID, run.batches),
		Customer:     r.Customer,
		Service:      r.Service,
		Class:        r.Class,
		Snapshot:     run.collector.Pinned().Name,
		Idempotent:   true,
		BudgetMicros: budget.Microseconds(),
		Fingerprint:  r.Fingerprint,
		Body:         r.Body,
		Leaves:       leaves,
	}
}

func (run *searchRun) emit(e searchEvent) {
	select {
	case run.events <- e:
	case <-run.ctx.Done():
	}
}

// loop collects results until the policy of the service is satisfied.
func (run *searchRun) loop() (*coverage.Result, error) {
	defer run.learn()
	policy := coverage.PolicyOf(run.request.Target.Policy)
	timer := time.NewTimer(run.answerBy - run.now())
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
		case <-timer.C:
		case <-run.ctx.Done():
			if run.now() < run.answerBy {
				return nil, kind.Errorf(kind.Canceled, "the caller went away")
			}
		}
	}
}

func (run *searchRun) handle(e searchEvent) {
	if e.batch.generation != run.generation {
		return
	}
	if e.err != nil {
		run.failBatch(e)
		return
	}
	if e.result.RequestID != run.request.ID || !e.batch.open[e.result.Leaf] {
		return
	}
	delete(e.batch.open, e.result.Leaf)
	run.seen = append(run.seen, e.result)
	run.handleResult(e.result)
}

func (run *searchRun) failBatch(e searchEvent) {
	k := kind.Of(streamError(e.err))
	for leaf := range e.batch.open {
		if e.batch.generation != run.generation {
			return
		}
		run.failLeaf(leaf, k)
	}
}

func (run *searchRun) handleResult(result *wire.LeafResult) {
	call := run.calls[result.Leaf]
	if call == nil || call.answered {
		return
	}
	k := resultKind(result)
	if result.Kind == "" {
		err := run.add(call, result)
		if err == nil {
			call.answered = true
			return
		}
		k = kind.Of(err)
	}
	if result.Incarnation != "" {
		run.state.mu.Lock()
		run.state.observe(run.now(), result)
		run.state.mu.Unlock()
	}
	run.failLeaf(result.Leaf, k)
}

func (run *searchRun) add(call *leafCall, result *wire.LeafResult) error {
	hits, err := decodeHits(result.Body)
	if err != nil {
		return err
	}
	return run.collector.Add(coverage.Answer{
		Leaf:     result.Leaf,
		Shard:    call.choice.Shard,
		Snapshot: snapshotID(result.Snapshot),
		Range:    snapshot.Range{From: result.From, To: result.To},
		Hits:     hits,
	})
}

// failLeaf goes on after a call without an answer: with another holder of the
// leaf, another leaf, another snapshot, or without that part.
func (run *searchRun) failLeaf(leaf string, k kind.Kind) {
	call := run.calls[leaf]
	if call == nil || call.answered {
		return
	}
	run.collector.Fail(leaf, k)
	if !k.Answer().TierMayRetry {
		return
	}
	if holderMatters(k) {
		if host, found := run.nextHolder(call); found {
			run.collector.Expect(leaf, call.choice.Shard, call.choice.Range)
			run.send(host, []string{leaf})
			return
		}
	}
	run.state.mu.Lock()
	action := run.query.Failed(run.now(), call.choice, k, answerMargin)
	run.state.mu.Unlock()
	run.act(action)
}

func (run *searchRun) act(action snapshot.Action) {
	switch action.Step {
	case snapshot.StepTry:
		run.try(action.Leaf)
	case snapshot.StepRestart:
		run.begin(action.Plan)
	}
}

func (run *searchRun) try(choice snapshot.Choice) {
	call := &leafCall{choice: choice}
	run.calls[choice.Leaf] = call
	run.collector.Expect(choice.Leaf, choice.Shard, choice.Range)
	host, found := run.nextHolder(call)
	if !found {
		run.failLeaf(choice.Leaf, kind.Unavailable)
		return
	}
	run.send(host, []string{choice.Leaf})
}

// holderMatters reports whether another holder of the same leaf may succeed
// where one has failed.
func holderMatters(k kind.Kind) bool {
	switch k {
	case kind.NotHolder, kind.LeafCold, kind.Unavailable, kind.Stopping, kind.Overloaded:
		return true
	default:
		return false
	}
}

// learn records what the leaves said of themselves.
func (run *searchRun) learn() {
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	now := run.now()
	for _, result := range run.seen {
		run.state.observe(now, result)
	}
}
