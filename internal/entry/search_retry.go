package entry

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

const (
	// firstBackoff is the time before the holders of a leaf are tried again. It
	// doubles with each round.
	firstBackoff = 25 * time.Millisecond
	maxBackoffs  = 4
)

// handleFailure handles a call that ended without an answer: it tries another holder
// of the leaf, another leaf or another snapshot, schedules a retry, or continues
// without that part.
func (run *searchRun) handleFailure(leaf string, k kind.Kind) {
	call := run.calls[leaf]
	if call == nil || call.ended {
		return
	}
	run.collector.Fail(leaf, k)
	if otherHolderMaySucceed(k) {
		if host, found := run.nextHolder(call); found {
			run.collector.Expect(leaf, call.choice.Shard, call.choice.Range)
			run.send(host, []string{leaf})
			return
		}
	}
	call.ended = true
	call.lastFailure = k
	if call.part.pending() || !run.allowRetry(k) {
		return
	}
	run.state.mu.Lock()
	action := run.query.Failed(run.now(), call.choice, k, answerMargin)
	run.state.mu.Unlock()
	switch action.Step {
	case snapshot.StepRetry:
		run.count("retries")
		run.callLeaf(action.Leaf, call.part, nil)
	case snapshot.StepRestart:
		run.start(action.Plan)
	default:
		run.scheduleRetry(call)
	}
}

// scheduleRetry schedules another round of holders for a part that no other leaf can
// cover. It retries the leaf of the last call if its holders cannot use it at present,
// since shares move between hosts within seconds. Otherwise it retries an overloaded
// leaf, if another leaf of the part is lost.
func (run *searchRun) scheduleRetry(last *leafCall) {
	call := last
	if !otherHolderMaySucceed(last.lastFailure) {
		call = last.part.busyCallIfOtherLost()
	}
	if call == nil {
		return
	}
	at := run.now() + firstBackoff<<call.backoffs
	if call.backoffs >= maxBackoffs || at >= run.answerBy || call != last && !run.allowRetry(call.lastFailure) {
		return
	}
	call.backoffs++
	call.retryAt = at
	call.ended = false
	call.tried = nil
	run.collector.Expect(call.choice.Leaf, call.choice.Shard, call.choice.Range)
	run.backingOff = append(run.backingOff, call)
}

// busyCallIfOtherLost returns a call that was refused as overloaded, if another call of
// the part could not connect or lost its connection, and nil otherwise. Without a lost
// leaf the load exceeds the capacity of the part, and a retry would add to it.
func (p *partCalls) busyCallIfOtherLost() *leafCall {
	var busy *leafCall
	lost := false
	for _, call := range p.calls {
		switch call.lastFailure {
		case kind.Overloaded:
			busy = call
		case kind.ConnectFailed, kind.ConnectionLost:
			lost = true
		}
	}
	if !lost {
		return nil
	}
	return busy
}

// retryIfDue sends the calls whose backoff has ended.
func (run *searchRun) retryIfDue() {
	now := run.now()
	backingOff := run.backingOff
	run.backingOff = nil
	for _, call := range backingOff {
		if call.ended {
			continue
		}
		if now < call.retryAt {
			run.backingOff = append(run.backingOff, call)
			continue
		}
		if host, found := run.nextHolder(call); found {
			run.send(host, []string{call.choice.Leaf})
		}
	}
}

// pendingExcept reports whether the part is answered, or a call other than the given
// one may still be answered.
func (p *partCalls) pendingExcept(call *leafCall) bool {
	for _, other := range p.calls {
		if other != call && !other.ended {
			return true
		}
	}
	return p.answered
}

// pending reports whether the part is answered, or one of its calls may still be
// answered.
func (p *partCalls) pending() bool {
	for _, call := range p.calls {
		if !call.ended {
			return true
		}
	}
	return p.answered
}

// allowRetry reports whether a retry may follow a failure. A retry after a failure
// that loads targets is taken from the retry budget.
func (run *searchRun) allowRetry(k kind.Kind) bool {
	if !k.Answer().TierMayRetry {
		return false
	}
	if !loadsTarget(k) {
		return true
	}
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	return run.state.retryBudget.Take(run.now())
}

// callLeaf calls another leaf for a part, under a permit if the call is a trial.
func (run *searchRun) callLeaf(choice snapshot.Choice, part *partCalls, permit *quarantine.Permit) {
	call := run.addCall(choice, part)
	call.permit = permit
	host, found := run.nextHolder(call)
	if !found {
		run.handleFailure(choice.Leaf, kind.Unavailable)
		return
	}
	run.send(host, []string{choice.Leaf})
}

// otherHolderMaySucceed reports whether another holder of the same leaf may succeed
// after one has failed with k.
func otherHolderMaySucceed(k kind.Kind) bool {
	switch k {
	case kind.NotHolder, kind.LeafCold, kind.Unavailable, kind.Stopping:
		return true
	default:
		return false
	}
}

// loadsTarget reports whether a failure of kind k may have cost a target work, or
// shows that the target is near its limits.
func loadsTarget(k kind.Kind) bool {
	switch k {
	case kind.NotHolder, kind.LeafCold, kind.Unavailable, kind.Stopping, kind.LeafLeaving, kind.SnapshotNotHeld, kind.ConnectFailed:
		return false
	default:
		return true
	}
}
