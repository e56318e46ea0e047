package entry

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// answerMargin is reserved before the deadline to merge and send the answer.
	answerMargin = 5 * time.Millisecond
	// refreshHeldTimeout bounds a background request for the snapshots that a
	// leaf holds.
	refreshHeldTimeout = 500 * time.Millisecond
)

// Searcher serves idempotent requests: it scatters them to one leaf per part of
// the key space, all on the same snapshot, and merges the results.
type Searcher struct {
	router  Router
	holders Holders
	screen  Screen
	scope   tally.Scope
	states  serviceStates
}

// NewSearcher returns a searcher.
func NewSearcher(router Router, holders Holders, screen Screen, scope tally.Scope) *Searcher {
	return &Searcher{router: router, holders: holders, screen: screen, scope: scope, states: serviceStates{start: time.Now()}}
}

// Serve is the Handler of idempotent requests.
func (s *Searcher) Serve(ctx context.Context, r *Request) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run, err := s.newRun(ctx, r)
	if err != nil {
		return nil, err
	}
	defer run.abandonCalls()
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
		bias:     newHostBias(),
		events:   make(chan searchEvent, len(r.Target.Shards)),
		grants:   make(chan *trialGrant),
	}
	state.mu.Lock()
	cost := state.cost(now, s.router, r.Index, run.bias)
	run.query = state.snapshots.NewQuery(now, run.answerBy, state.shards, cost)
	plan := run.query.Plan()
	refresh, due := state.snapshots.NextRefresh(now, state.shards)
	state.mu.Unlock()
	if plan.Snapshot.IsZero() {
		plan = run.fetchHeld(plan.Refresh)
	} else if due {
		s.refresh(state, refresh.Leaf)
	}
	if plan.Snapshot.IsZero() {
		run.endPermit(r.Permit, false)
		return nil, kind.Errorf(kind.Unavailable, "no snapshot of service %q is known to be held", r.Service)
	}
	if r.Stage || r.Permit != nil {
		if err := s.runFirst(ctx, r, plan.Snapshot.Name); err != nil {
			return nil, err
		}
	}
	run.start(plan)
	return run, nil
}

// refresh asks a holder in the background which snapshots a leaf holds.
func (s *Searcher) refresh(state *serviceState, leaf string) {
	state.mu.Lock()
	host, _, found := state.pickHolder(s.states.now(), s.router, leaf, nil, newHostBias())
	state.mu.Unlock()
	if !found {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), refreshHeldTimeout)
		defer cancel()
		s.fetchHeldFrom(ctx, state, host, &wire.Held{Leaves: []string{leaf}})
	}()
}

// fetchHeld asks the holders of the given leaves which snapshots the leaves hold,
// and plans the query again.
func (run *searchRun) fetchHeld(choices []snapshot.Choice) snapshot.Plan {
	groups := map[Host]*wire.Held{}
	for _, choice := range choices {
		for _, host := range run.searcher.router.Holders(choice.Leaf) {
			if groups[host] == nil {
				groups[host] = &wire.Held{}
			}
			groups[host].Leaves = append(groups[host].Leaves, choice.Leaf)
		}
	}
	var wg sync.WaitGroup
	for host, m := range groups {
		wg.Go(func() { run.searcher.fetchHeldFrom(run.ctx, run.state, host, m) })
	}
	wg.Wait()
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	return run.query.Replan(run.now())
}

func (s *Searcher) fetchHeldFrom(ctx context.Context, state *serviceState, host Host, m *wire.Held) {
	answer, err := s.holders.Held(ctx, host, m)
	if err != nil {
		return
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, l := range answer.Leaves {
		if l.Incarnation != "" {
			state.snapshots.Observe(s.states.now(), newReport(l.Leaf, l.Incarnation, l.Snapshots))
		}
	}
}
