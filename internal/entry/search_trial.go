package entry

import (
	"context"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// trialGrant is the answer to a request for a trial beside a query.
type trialGrant struct {
	call *leafCall
	// sameLeaf is set if the call was refused as not run, so that its own leaf is
	// called again.
	sameLeaf bool
	// permit is nil for a content that is no longer suspect.
	permit *quarantine.Permit
	err    error
}

// runFirst makes a suspect or staged content complete on one leaf.
func (s *Searcher) runFirst(ctx context.Context, r *Request, pinned string) error {
	err := s.tryFirst(ctx, r, pinned)
	if r.Permit != nil && err != nil {
		s.screen.EndPermit(*r.Permit, !notRun(err))
	}
	return err
}

// tryFirst calls the first leaf in rank until it takes the content. A leaf that can't
// be reached, or that no host may use for a while, is passed over for the next in rank.
func (s *Searcher) tryFirst(ctx context.Context, r *Request, pinned string) error {
	var dead []string
	leaf := s.firstLeaf(r, dead)
	err := s.callFirst(ctx, r, pinned, leaf)
	for round := 0; err != nil && busyFirst(err); {
		k := kind.Of(err)
		gone := k == kind.ConnectFailed || holderMatters(k) && round >= maxBackoffs
		switch {
		case gone && s.firstLeaf(r, append(dead, leaf)) != "":
			dead = append(dead, leaf)
			if refusal := s.settleDeath(ctx, r, err); refusal != nil {
				return refusal
			}
			leaf, round = s.firstLeaf(r, dead), 0
		case waitRound(ctx, round):
			round++
		default:
			return err
		}
		err = s.callFirst(ctx, r, pinned, leaf)
	}
	return err
}

// settleDeath waits until this host has heard of the contents that a dead leaf ran, and
// decides on the request again. It returns why the request must not go on, which is
// last, the refusal of the dead leaf, if there is no time left to wait. A request under
// a permit does not wait, since its content is known to be suspect.
func (s *Searcher) settleDeath(ctx context.Context, r *Request, last error) error {
	if r.Permit != nil {
		return nil
	}
	if periodic.Sleep(ctx, quarantine.SettleLimit) != nil {
		return last
	}
	if err := admit(ctx, s.screen, r); err != nil {
		return kind.WithRun(err, kind.RunNo)
	}
	return nil
}

// busyFirst reports whether the leaf of a trial or a staged content may take it
// a little later.
func busyFirst(err error) bool {
	k := kind.Of(err)
	return notRun(err) && k.Answer().TierMayRetry && k != kind.SnapshotNotHeld
}

// firstLeaf returns the leaf for a trial, in the shard where a target died, or
// for a staged content, which is the same one at every entry that passes over the
// same dead leaves. It returns "" if there is none.
func (s *Searcher) firstLeaf(r *Request, dead []string) string {
	var names []string
	for _, shard := range r.Target.Shards {
		if r.Permit != nil && shard.Name != r.Permit.Shard {
			continue
		}
		for _, id := range shard.Replicas {
			if leaf := r.Index.Leaf(id); leaf.AcceptsWork() && !slices.Contains(dead, leaf.Name) {
				names = append(names, leaf.Name)
			}
		}
	}
	return quarantine.StageTarget(r.Fingerprint, names)
}

func (s *Searcher) callFirst(ctx context.Context, r *Request, pinned, leaf string) error {
	err := error(kind.Errorf(kind.Unavailable, "no holder can call leaf %q first", leaf))
	for n, host := range s.router.Holders(leaf) {
		m := newScatter(r, attemptID(r.ID, -n-1), pinned, []string{leaf})
		m.Permit = r.Permit
		m.Known = s.screen.Known(r.Fingerprint)
		var only onlyResult
		sendErr := s.holders.Scatter(ctx, host, m, &only)
		switch {
		case only.result != nil && only.result.Kind == "":
			return nil
		case only.result != nil:
			err = resultError(only.result)
		case sendErr != nil:
			err = streamError(sendErr)
		}
		if !holderMatters(kind.Of(err)) {
			return err
		}
	}
	return err
}

// requestTrial asks, beside the query, for the right to call another leaf after
// one has died, or the same one after it was refused for its content.
func (run *searchRun) requestTrial(call *leafCall, sameLeaf bool) {
	go func() {
		permit, err := run.searcher.screen.RequestPermit(run.ctx, run.request.Fingerprint)
		select {
		case run.grants <- &trialGrant{call: call, sameLeaf: sameLeaf, permit: permit, err: err}:
		case <-run.ctx.Done():
			run.endPermit(permit, false)
		}
	}()
}

// handleGrant calls another leaf under the permit.
func (run *searchRun) handleGrant(g *trialGrant) {
	if g.call.ended || g.call != run.calls[g.call.choice.Leaf] {
		run.endPermit(g.permit, false)
		return
	}
	if g.sameLeaf && g.err == nil && run.callAgain(g) {
		return
	}
	leaf := g.call.choice.Leaf
	run.collector.Fail(leaf, kind.ConnectionLost)
	g.call.ended = true
	if g.err != nil || g.call.part.pending() {
		run.endPermit(g.permit, false)
		return
	}
	run.state.mu.Lock()
	action := run.query.Failed(run.now(), g.call.choice, kind.ConnectionLost, answerMargin)
	run.state.mu.Unlock()
	if action.Step != snapshot.StepTry {
		run.endPermit(g.permit, false)
		return
	}
	run.try(action.Leaf, g.call.part, g.permit)
}

// callAgain calls the leaf of a refused call once more. A second refusal is not
// followed by a third call.
func (run *searchRun) callAgain(g *trialGrant) bool {
	g.call.tried = nil
	g.call.permit = g.permit
	g.call.calledAgain = true
	host, found := run.nextHolder(g.call)
	if found {
		run.send(host, []string{g.call.choice.Leaf})
	}
	return found
}

func (run *searchRun) endPermit(permit *quarantine.Permit, sent bool) {
	if permit != nil {
		run.searcher.screen.EndPermit(*permit, sent)
	}
}

// newScatter returns the message that asks a holder for leaf calls of a search.
func newScatter(r *Request, attempt, pinned string, leaves []string) *wire.Scatter {
	return &wire.Scatter{
		RequestID:    r.ID,
		AttemptID:    attempt,
		Customer:     r.Customer,
		Service:      r.Service,
		Class:        r.Class,
		Snapshot:     pinned,
		Idempotent:   true,
		BudgetMicros: budgetMicros(r),
		Fingerprint:  r.Fingerprint,
		Body:         r.Body,
		Leaves:       leaves,
	}
}
