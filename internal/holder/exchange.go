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

// unsettledGuard is the time past a call's deadline after which a leaf that has
// not answered no longer runs it.
const unsettledGuard = 100 * time.Millisecond

const (
	percent = 100
	// fairCalls is the number of usual service times that a call must be given
	// for its timeout to count against the leaf.
	fairCalls = 4
)

// exchange makes the call of an admitted request and releases its slot once the
// leaf no longer runs it.
func (l *leaf) exchange(c *Call, granted slot, permit Permit) wire.LeafResult {
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
		Incarnation: granted.incarnation,
	})
	latency := time.Since(begin)
	if err != nil {
		result := l.fail(c, granted.id, epoch, begin, deadline, err)
		l.reportDeath(c, &result)
		if result.Run == string(kind.RunNo) {
			l.holder.returnPermit(c)
		}
		l.holder.countCall(result.Kind)
		return result
	}
	warm, busy := l.succeed(granted.id, epoch, latency, answer)
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

func (l *leaf) succeed(id uint64, epoch warmup.Epoch, latency time.Duration, answer *target.Answer) (warm bool, busy uint8) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.observe(now, &answer.Report)
	l.tracker.Success(now, warmup.Answer{
		Sent:        epoch,
		Incarnation: incarnationKey(hashOf(answer.Incarnation)),
		Latency:     latency,
		Cold:        answer.State == target.StateCold,
	})
	l.judge(now)
	l.holder.permits.End(l.name)
	l.dispatch(l.scheduler.SetSlots(now, l.tracker.Bound(now)))
	l.dispatch(l.scheduler.Done(now, id))
	l.armExpiry(now)
	return l.tracker.State(now) == warmup.Warm, l.busy()
}

// busy needs mu. It returns the share of slots in use, in percent.
func (l *leaf) busy() uint8 {
	slots := max(l.scheduler.Slots(), 1)
	return uint8(min(l.scheduler.Running()*percent/slots, percent))
}

// reasons maps failures to what they tell of the leaf's warm-up.
var reasons = map[kind.Kind]warmup.Reason{
	kind.LeafShed:         warmup.Shed,
	kind.LeafCold:         warmup.RefusedCold,
	kind.LeafLeaving:      warmup.RefusedLeaving,
	kind.DeadlineExceeded: warmup.Timeout,
	kind.ConnectionLost:   warmup.Disconnected,
	kind.ConnectFailed:    warmup.Disconnected,
}

func (l *leaf) fail(c *Call, id uint64, epoch warmup.Epoch, begin, deadline time.Time, err error) wire.LeafResult {
	var callErr *target.CallError
	if !errors.As(err, &callErr) {
		callErr = &target.CallError{Err: err}
	}
	result := refused(c, err)
	result.Incarnation = callErr.Incarnation
	result.Held = heldSnapshots(callErr.Report)
	result.Died = callErr.Died
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.observe(now, &callErr.Report)
	k := kind.Of(err)
	if reason, counts := reasons[k]; counts && !l.hadTooLittleTime(reason, deadline.Sub(begin)) {
		l.tracker.Failed(now, warmup.Failure{Sent: epoch, Incarnation: failedIncarnation(callErr), Reason: reason})
		l.judge(now)
	}
	if settled(k, callErr) {
		l.settleLocked(id)
		return result
	}
	l.settleLater(id, time.Until(deadline)+unsettledGuard)
	if callErr.Died {
		l.probeEnd()
	}
	return result
}

// hadTooLittleTime needs mu. It reports whether a call timed out that was given
// less than fairCalls times the usual service time, which says nothing of a cold
// start.
func (l *leaf) hadTooLittleTime(reason warmup.Reason, given time.Duration) bool {
	return reason == warmup.Timeout && given < fairCalls*l.scheduler.ServiceTime()
}

// failedIncarnation returns the incarnation that a failure names, if any.
func failedIncarnation(e *target.CallError) string {
	if e.Incarnation == "" {
		return ""
	}
	return incarnationKey(hashOf(e.Incarnation))
}

// settled reports whether the leaf certainly does not run the call any more.
func settled(k kind.Kind, e *target.CallError) bool {
	return e.Incarnation != "" || k.Answer().Run == kind.RunNo
}

// settleLater needs mu.
func (l *leaf) settleLater(id uint64, delay time.Duration) {
	if l.closed {
		return
	}
	l.unsettled[id] = time.AfterFunc(max(delay, unsettledGuard), func() { l.settle(id) })
}
