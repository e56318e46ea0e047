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

// trialGrant is the answer to a permit request made during a query.
type trialGrant struct {
	call *leafCall
	// sameLeaf is set if the call was refused without running, so that the same
	// leaf is called again.
	sameLeaf bool
	// permit is nil if the content is no longer suspect.
	permit *quarantine.Permit
	err    error
}

// runFirst runs suspect or staged content on one leaf until it completes there.
func (s *Searcher) runFirst(ctx context.Context, r *Request, pinned string) error {
	err := s.tryFirst(ctx, r, pinned)
	if r.Permit != nil && err != nil {
		s.screen.EndPermit(*r.Permit, !notRun(err))
	}
	return err
}

// tryFirst calls the first leaf in rank until it accepts the content. A leaf that
// cannot be reached, or that no holder can use for maxBackoffs rounds, is skipped for
// the next one in rank.
func (s *Searcher) tryFirst(ctx context.Context, r *Request, pinned string) error {
	var skipped []string
	leaf := s.firstLeaf(r, skipped)
	err := s.callFirst(ctx, r, pinned, leaf)
	for round := 0; err != nil && mayAcceptLater(err); {
		k := kind.Of(err)
		skip := k == kind.ConnectFailed || otherHolderMaySucceed(k) && round >= maxBackoffs
		switch {
		case skip && s.firstLeaf(r, append(skipped, leaf)) != "":
			skipped = append(skipped, leaf)
			if refusal := s.waitAndReadmit(ctx, r, err); refusal != nil {
				return refusal
			}
			leaf, round = s.firstLeaf(r, skipped), 0
		case waitBackoff(ctx, round):
			round++
		default:
			return err
		}
		err = s.callFirst(ctx, r, pinned, leaf)
	}
	return err
}

// waitAndReadmit waits until this host has received any report of the contents that the
// skipped leaf was running when it died, and then decides on the request again. It
// returns an error if the request must not continue: the new refusal, or lastErr, the
// failure of the skipped leaf, if there is no time left to wait. A request under a
// permit does not wait, since its content is known to be suspect.
func (s *Searcher) waitAndReadmit(ctx context.Context, r *Request, lastErr error) error {
	if r.Permit != nil {
		return nil
	}
	if periodic.Sleep(ctx, quarantine.SettleLimit) != nil {
		return lastErr
	}
	if err := admit(ctx, s.screen, r); err != nil {
		return kind.WithRun(err, kind.RunNo)
	}
	return nil
}

// mayAcceptLater reports whether a leaf whose call failed with err may accept suspect
// or staged content a little later.
func mayAcceptLater(err error) bool {
	k := kind.Of(err)
	return notRun(err) && k.Answer().TierMayRetry && k != kind.SnapshotNotHeld
}

// firstLeaf returns the leaf that runs the content first, or "" if there is none. For
// a trial it is in the shard where a target died. For staged content it is the same
// leaf at every entry that skips the same leaves.
func (s *Searcher) firstLeaf(r *Request, skipped []string) string {
	var names []string
	for _, shard := range r.Target.Shards {
		if r.Permit != nil && shard.Name != r.Permit.Shard {
			continue
		}
		for _, id := range shard.Replicas {
			if leaf := r.Index.Leaf(id); leaf.AcceptsWork() && !slices.Contains(skipped, leaf.Name) {
				names = append(names, leaf.Name)
			}
		}
	}
	return quarantine.StageTarget(r.Fingerprint, names)
}

func (s *Searcher) callFirst(ctx context.Context, r *Request, pinned, leaf string) error {
	err := error(kind.Errorf(kind.Unavailable, "leaf %q has no holder", leaf))
	for n, host := range s.router.Holders(leaf) {
		m := newScatter(r, attemptID(r.ID, -n-1), pinned, []string{leaf})
		m.Permit = r.Permit
		m.Known = s.screen.Known(r.Fingerprint)
		var receiver singleResult
		sendErr := s.holders.Scatter(ctx, host, m, &receiver)
		switch {
		case receiver.result != nil && receiver.result.Kind == "":
			return nil
		case receiver.result != nil:
			err = resultError(receiver.result)
		case sendErr != nil:
			err = streamError(sendErr)
		default:
			err = noResultError(host)
		}
		if !notRun(err) || !otherHolderMaySucceed(kind.Of(err)) {
			return err
		}
	}
	return err
}

// requestTrial requests a permit in the background: to call another leaf after the
// leaf of call died, or the same leaf after call was refused as quarantined.
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

// handleGrant repeats the call or calls another leaf under the permit. If the permit
// request failed, the call fails too.
func (run *searchRun) handleGrant(g *trialGrant) {
	if g.call.ended || g.call != run.calls[g.call.choice.Leaf] {
		run.endPermit(g.permit, false)
		return
	}
	if g.sameLeaf && g.err == nil && run.repeatCall(g) {
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
	if action.Step != snapshot.StepRetry {
		run.endPermit(g.permit, false)
		return
	}
	run.callLeaf(action.Leaf, g.call.part, g.permit)
}

// repeatCall repeats a refused call. A call is repeated at most once.
func (run *searchRun) repeatCall(g *trialGrant) bool {
	g.call.tried = nil
	g.call.permit = g.permit
	g.call.repeated = true
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

// newScatter returns the message that requests leaf calls of a search from a holder.
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
