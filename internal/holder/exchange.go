package holder

import (
	"context"
	"errors"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/target"
	"github.com/redwingshelf/redwingshelf/internal/warmup"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// deadlineGrace is the time after a call's deadline at which a leaf that has not
// answered is taken to no longer run the call.
const deadlineGrace = 100 * time.Millisecond

const (
	percent = 100
	// minTimeoutServiceTimes is the number of average service times that a call
	// must have had until its deadline for its timeout to count against the leaf.
	minTimeoutServiceTimes = 4
)

// exchange sends an admitted call and frees its slot once the leaf no longer runs
// it. The call is not sent if withdrawn is closed before.
func (l *leaf) exchange(c *Call, granted slot, permit Permit, withdrawn <-chan struct{}) wire.LeafResult {
	deadline := c.Deadline
	if !permit.CallUntil.IsZero() && permit.CallUntil.Before(deadline) {
		deadline = permit.CallUntil
	}
	epoch := l.epoch()
	begin := time.Now()
	answer, err := l.caller.Call(context.Background(), &target.Request{
		ID:          c.ID,
		Customer:    c.Customer,
		Service:     c.Service,
		Class:       c.Class,
		Leaf:        c.Leaf,
		Snapshot:    c.Snapshot,
		Idempotent:  c.Idempotent,
		Deadline:    deadline,
		Body:        c.Body,
		Withdrawn:   withdrawn,
		Incarnation: granted.incarnation,
	})
	latency := time.Since(begin)
	if err != nil {
		result := l.handleFailure(c, granted.id, epoch, begin, deadline, err)
		l.reportCrash(c, &result)
		if result.Run == string(kind.RunNo) {
			l.holder.returnPermit(c)
		}
		l.holder.countCall(result.Kind)
		return result
	}
	warm, busy := l.handleSuccess(granted.id, epoch, latency, answer)
	l.holder.countCall("ok")
	if c.Permit != nil {
		l.holder.screen.EndTrial(*c.Permit, quarantine.TrialCompleted)
	}
	return wire.LeafResult{
		Warm:        warm,
		Busy:        busy,
		RequestID:   c.RequestID,
		Leaf:        c.Leaf,
		Run:         string(kind.RunYes),
		Snapshot:    answer.Snapshot,
		Held:        heldSnapshots(answer.Report),
		Incarnation: answer.Incarnation,
		From:        answer.From,
		To:          answer.To,
		Body:        answer.Body,
	}
}

func (l *leaf) epoch() warmup.Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Epoch(l.holder.now())
}

func (l *leaf) handleSuccess(id uint64, epoch warmup.Epoch, latency time.Duration, answer *target.Answer) (warm bool, slotUsage uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.observe(now, &answer.Report)
	l.tracker.Success(now, warmup.Answer{
		Sent:        epoch,
		Incarnation: incarnationKey(hashString(answer.Incarnation)),
		Latency:     latency,
		Cold:        answer.State == target.StateCold,
	})
	l.publishWarmStatus(now)
	l.holder.permits.End(l.name)
	l.dispatch(l.scheduler.SetSlots(now, l.tracker.Bound(now)))
	l.dispatch(l.scheduler.Done(now, id))
	l.armExpiry(now)
	return l.tracker.State(now) == warmup.Warm, l.slotUsage()
}

// slotUsage returns the percentage of slots in use. The caller must hold mu.
func (l *leaf) slotUsage() uint8 {
	slots := max(l.scheduler.Slots(), 1)
	return uint8(min(l.scheduler.Running()*percent/slots, percent))
}

// failureReasons maps the kinds of failures that the warm-up tracker counts to its
// reasons.
var failureReasons = map[kind.Kind]warmup.Reason{
	kind.LeafShed:         warmup.Shed,
	kind.LeafCold:         warmup.RefusedCold,
	kind.LeafLeaving:      warmup.RefusedLeaving,
	kind.DeadlineExceeded: warmup.Timeout,
	kind.ConnectionLost:   warmup.Disconnected,
	kind.ConnectFailed:    warmup.Disconnected,
}

func (l *leaf) handleFailure(c *Call, id uint64, epoch warmup.Epoch, begin, deadline time.Time, err error) wire.LeafResult {
	var callErr *target.CallError
	if !errors.As(err, &callErr) {
		callErr = &target.CallError{Err: err}
	}
	result := refusedResult(c, err)
	result.Incarnation = callErr.Incarnation
	result.Held = heldSnapshots(callErr.Report)
	result.Died = callErr.Died
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.observe(now, &callErr.Report)
	k := kind.Of(err)
	if reason, counts := failureReasons[k]; counts && !l.budgetTooShort(reason, deadline.Sub(begin)) {
		l.tracker.Failed(now, warmup.Failure{Sent: epoch, Incarnation: failedIncarnation(callErr), Reason: reason})
		l.publishWarmStatus(now)
	}
	if certainlyEnded(callErr) {
		l.endCallLocked(id)
		return result
	}
	l.endCallLater(id, time.Until(deadline)+deadlineGrace)
	if callErr.Died {
		l.probeAfterCrash()
	}
	return result
}

// budgetTooShort reports whether a call timed out that had less than
// minTimeoutServiceTimes average service times until its deadline. Such a timeout
// is no sign of a cold start. The caller must hold mu.
func (l *leaf) budgetTooShort(reason warmup.Reason, budget time.Duration) bool {
	return reason == warmup.Timeout && budget < minTimeoutServiceTimes*l.scheduler.ServiceTime()
}

// failedIncarnation returns the key of the incarnation that a failure names, or ""
// if it names none.
func failedIncarnation(e *target.CallError) string {
	if e.Incarnation == "" {
		return ""
	}
	return incarnationKey(hashString(e.Incarnation))
}

// certainlyEnded reports whether the leaf certainly no longer runs the call.
func certainlyEnded(e *target.CallError) bool {
	return e.Incarnation != "" || kind.RunOf(e) == kind.RunNo
}

// endCallLater ends a call after a delay of at least deadlineGrace, or not at all
// if the leaf is closed. The caller must hold mu.
func (l *leaf) endCallLater(id uint64, delay time.Duration) {
	if l.closed {
		return
	}
	l.possiblyRunning[id] = time.AfterFunc(max(delay, deadlineGrace), func() { l.endCall(id) })
}
