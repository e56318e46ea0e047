package holder

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/admission"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/target"
	"github.com/redwingshelf/redwingshelf/internal/warmup"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// leaf is this node's state of one leaf: the call queue, the warm-up tracker and
// the connections.
type leaf struct {
	name    string
	address string
	holder  *Holder
	caller  target.Caller
	// mu guards the fields below.
	mu        sync.Mutex
	entry     *document.LeafEntry
	scheduler *admission.Scheduler
	tracker   *warmup.Tracker
	permit    Permit
	nextID    uint64
	// waiters holds a channel for each queued call, by call ID.
	waiters map[uint64]chan queueOutcome
	// possiblyRunning holds, by call ID, a timer for each failed call that the
	// leaf may still run. The timer ends the call.
	possiblyRunning map[uint64]*time.Timer
	// probing is set while the leaf is polled to find out whether its process
	// has exited.
	probing     bool
	expiryTimer *time.Timer
	// lastPublished is the last status passed to Permits.
	lastPublished warmStatus
	// lastLogged is the last condition of the leaf that was logged.
	lastLogged condition
	report     target.Report
	reported   bool
	closed     bool
}

// condition is the state of the leaf according to the tracker.
type condition struct {
	state warmup.State
	epoch warmup.Epoch
}

// warmStatus records whether an incarnation of the leaf is warm in an epoch of
// the tracker.
type warmStatus struct {
	incarnation string
	warm        bool
	epoch       warmup.Epoch
}

const (
	// closeTimeout is the longest time to wait for the calls of a dropped leaf.
	closeTimeout      = 30 * time.Second
	closePollInterval = 10 * time.Millisecond
)

// slot is the right to run one call.
type slot struct {
	id uint64
	// incarnation is the leaf process whose bound admitted the call; empty if
	// unknown.
	incarnation string
}

// queueOutcome informs a queued call that it holds a slot, or why it was refused.
type queueOutcome struct {
	started bool
	slot    slot
	refused kind.Kind
}

func newLeaf(entry *document.LeafEntry, address string, caller target.Caller, h *Holder) *leaf {
	limits := entry.Service.Limits
	l := &leaf{
		name:            entry.Name,
		address:         address,
		holder:          h,
		caller:          caller,
		entry:           entry,
		scheduler:       admission.New(admission.Config{Classes: len(entry.Service.Policy.Classes)}),
		tracker:         warmup.New(h.now(), warmup.Config{ColdSlots: limits.ColdSlots, WarmAfter: limits.WarmAfter}),
		waiters:         map[uint64]chan queueOutcome{},
		possiblyRunning: map[uint64]*time.Timer{},
	}
	l.tracker.SetLeaving(h.now(), warmup.Document, !entry.AcceptsWork())
	return l
}

// close waits until no call is queued or running, for at most closeTimeout, and
// closes the connections.
func (l *leaf) close() {
	end := time.Now().Add(closeTimeout)
	for l.activeCalls() > 0 && time.Now().Before(end) {
		time.Sleep(closePollInterval)
	}
	l.caller.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, timer := range l.possiblyRunning {
		timer.Stop()
	}
	if l.expiryTimer != nil {
		l.expiryTimer.Stop()
	}
}

func (l *leaf) setEntry(entry *document.LeafEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry = entry
	now := l.holder.now()
	l.tracker.SetLeaving(now, warmup.Document, !entry.AcceptsWork())
	l.publishWarmStatus(now)
}

// acquire waits until the call holds a slot. The caller must release the slot.
func (l *leaf) acquire(ctx context.Context, c *Call, permit Permit) (slot, error) {
	granted, wait, err := l.submit(c, permit)
	if err != nil || wait == nil {
		return granted, err
	}
	select {
	case o := <-wait:
		if !o.started {
			return slot{}, kind.Errorf(o.refused, "call to leaf %q was removed from the queue", l.name)
		}
		return o.slot, nil
	case <-ctx.Done():
		l.abandon(granted.id, wait)
		return slot{}, kind.Errorf(kind.Unavailable, "call to leaf %q was canceled in the queue", l.name)
	}
}

// confirmIncarnation polls a leaf without an open connection before a call, since
// the leaf may have restarted unnoticed. It returns the slot of the call, which is
// a new one if the poll has started a new epoch.
func (l *leaf) confirmIncarnation(ctx context.Context, c *Call, permit Permit, granted slot) (slot, error) {
	if open, _ := l.caller.Counts(); open > 0 {
		return granted, nil
	}
	epochBefore := l.epoch()
	pollCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	l.pollReport(pollCtx)
	if l.epoch() == epochBefore {
		return granted, nil
	}
	l.release(granted.id)
	return l.acquire(ctx, c, permit)
}

// submit passes a call to the scheduler. A non-nil channel means that the call is
// queued.
func (l *leaf) submit(c *Call, permit Permit) (slot, chan queueOutcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.applyPermit(now, permit)
	bound := l.tracker.Bound(now)
	l.dispatch(l.scheduler.SetSlots(now, bound))
	if bound == 0 {
		return slot{}, nil, l.noSlotsError(now)
	}
	l.nextID++
	id := l.nextID
	decision := l.scheduler.Submit(now, admission.Item{
		ID:       id,
		Query:    hashString(c.RequestID),
		Customer: c.Customer,
		Class:    slices.Index(l.entry.Service.Policy.Classes, c.Class),
		Deadline: now + time.Until(c.Deadline),
	})
	l.notifyRefused(decision.Refused)
	switch decision.Verdict {
	case admission.Start:
		return l.grant(id), nil, nil
	case admission.Queued:
		wait := make(chan queueOutcome, 1)
		l.waiters[id] = wait
		l.armExpiry(now)
		return slot{id: id}, wait, nil
	default:
		return slot{}, nil, kind.Errorf(decision.Kind, "call to leaf %q was refused at admission", l.name)
	}
}

// grant returns the slot of a call that starts now. The caller must hold mu.
func (l *leaf) grant(id uint64) slot { return slot{id: id, incarnation: l.report.Incarnation} }

func (l *leaf) noSlotsError(now time.Duration) error {
	if l.tracker.State(now) == warmup.Leaving {
		return kind.Errorf(kind.LeafLeaving, "leaf %q is leaving", l.name)
	}
	return kind.Errorf(kind.LeafCold, "leaf %q is cold and another host makes its warm-up calls", l.name)
}

// applyPermit applies a permit to the tracker and the connections. The caller must
// hold mu.
func (l *leaf) applyPermit(now time.Duration, permit Permit) {
	if permit.PeerWarm != 0 && (permit.PeerWarm != l.permit.PeerWarm || permit.PeerEpoch != l.permit.PeerEpoch) {
		l.tracker.PeerWarm(now, incarnationKey(permit.PeerWarm))
	}
	if permit.Connections != l.permit.Connections {
		l.caller.SetConnections(permit.Connections)
	}
	coldSlots := 0
	if permit.HandlesCold {
		coldSlots = min(l.entry.Service.Limits.ColdSlots, permit.Slots)
	}
	l.tracker.SetShare(permit.Slots, coldSlots)
	l.permit = permit
}

// abandon removes a call from the queue, or releases the slot that the call has
// just received.
func (l *leaf) abandon(id uint64, wait chan queueOutcome) {
	l.mu.Lock()
	queued := l.scheduler.Cancel(id)
	delete(l.waiters, id)
	l.mu.Unlock()
	if queued {
		return
	}
	if o := <-wait; o.started {
		l.release(id)
	}
}

// release frees the slot of a call for which Permits.Begin was not called or
// returned false.
func (l *leaf) release(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked(id)
}

// endCall ends a call that Permits.Begin has recorded and that the leaf does not
// run, and frees its slot.
func (l *leaf) endCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCallLocked(id)
}

func (l *leaf) endCallLocked(id uint64) {
	delete(l.possiblyRunning, id)
	l.holder.permits.End(l.name)
	l.releaseLocked(id)
}

func (l *leaf) releaseLocked(id uint64) {
	now := l.holder.now()
	l.dispatch(l.scheduler.SetSlots(now, l.tracker.Bound(now)))
	l.dispatch(l.scheduler.Release(now, id))
	l.armExpiry(now)
}

// dispatch notifies the queued calls that the scheduler has started or refused.
// The caller must hold mu.
func (l *leaf) dispatch(b admission.Batch) {
	for _, item := range b.Start {
		l.notify(item.ID, queueOutcome{started: true, slot: l.grant(item.ID)})
	}
	l.notifyRefused(b.Refused)
}

func (l *leaf) notifyRefused(refused []admission.Refusal) {
	for _, r := range refused {
		l.notify(r.ID, queueOutcome{refused: r.Kind})
	}
}

func (l *leaf) notify(id uint64, o queueOutcome) {
	if wait := l.waiters[id]; wait != nil {
		delete(l.waiters, id)
		wait <- o
	}
}

// armExpiry sets the timer for the next expiry of a queued call. The caller must
// hold mu.
func (l *leaf) armExpiry(now time.Duration) {
	next, queued := l.scheduler.NextExpiry()
	if !queued || l.closed {
		return
	}
	delay := max(next-now, 0)
	if l.expiryTimer == nil {
		l.expiryTimer = time.AfterFunc(delay, l.expireQueued)
		return
	}
	l.expiryTimer.Reset(delay)
}

func (l *leaf) expireQueued() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.dispatch(l.scheduler.Expire(now))
	l.armExpiry(now)
}

// pollReport asks the leaf for its report. It returns true if the leaf reported, or
// if its address refused the connection, which shows that the process has exited.
func (l *leaf) pollReport(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := l.caller.Report(ctx)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.endOrphanedCalls()
		return true
	}
	now := l.holder.now()
	l.observe(now, report)
	l.tracker.Hint(now, warmup.Hint{Cold: report.State == target.StateCold})
	l.publishWarmStatus(now)
	return true
}

// observe records a report of the leaf. The caller must hold mu.
func (l *leaf) observe(now time.Duration, report *target.Report) {
	if report.Incarnation == "" {
		return
	}
	if l.report.Incarnation != report.Incarnation {
		l.endOrphanedCalls()
	}
	l.tracker.SetIncarnation(now, incarnationKey(hashString(report.Incarnation)))
	l.tracker.SetLeaving(now, warmup.LeafReport, report.State == target.StateLeaving)
	l.report = *report
	l.reported = true
}

// endOrphanedCalls ends all calls in possiblyRunning, since the process that ran
// them has exited. The caller must hold mu.
func (l *leaf) endOrphanedCalls() {
	for id, timer := range l.possiblyRunning {
		if timer.Stop() {
			l.endCallLocked(id)
		}
	}
}

func (l *leaf) lastReport() (target.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, l.reported
}

func (l *leaf) cancelCall(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	l.caller.Cancel(ctx, id)
}

func (l *leaf) activeCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Running() + l.scheduler.Queued()
}

func (l *leaf) status() LeafStatus {
	open, retired := l.caller.Counts()
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeafStatus{
		Leaf:        l.name,
		State:       l.tracker.State(l.holder.now()).String(),
		Incarnation: l.report.Incarnation,
		Slots:       l.permit.Slots,
		Running:     l.scheduler.Running(),
		Queued:      l.scheduler.Queued(),
		Connections: open,
		Retired:     retired,
	}
}

func newLeafHeld(name string, report target.Report) wire.LeafHeld {
	return wire.LeafHeld{Leaf: name, Incarnation: report.Incarnation, Snapshots: heldSnapshots(report)}
}

func heldSnapshots(report target.Report) []wire.HeldSnapshot {
	held := make([]wire.HeldSnapshot, len(report.Held))
	for i, s := range report.Held {
		held[i] = wire.HeldSnapshot{Snapshot: s.Snapshot, From: s.From, To: s.To}
	}
	return held
}

// publishWarmStatus passes a changed warm status of the leaf to Permits. It rejects
// the warm verdicts of other holders only if a new epoch has started since the last
// status: without one, the leaf may just not have become warm here yet. The caller
// must hold mu.
func (l *leaf) publishWarmStatus(now time.Duration) {
	l.logCondition(now)
	if !l.reported {
		return
	}
	before := l.lastPublished
	current := warmStatus{
		incarnation: l.report.Incarnation,
		warm:        l.tracker.State(now) == warmup.Warm,
		epoch:       l.tracker.Epoch(now),
	}
	if current == before {
		return
	}
	l.lastPublished = current
	l.holder.permits.ReportVerdict(l.name, hashString(current.incarnation), current.warm)
	if before != (warmStatus{}) && current.epoch != before.epoch {
		l.holder.permits.RejectPeerVerdict(l.name)
	}
}

// logCondition logs the condition of the leaf when it changes. The caller must hold
// mu.
func (l *leaf) logCondition(now time.Duration) {
	current := condition{state: l.tracker.State(now), epoch: l.tracker.Epoch(now)}
	if current == l.lastLogged {
		return
	}
	l.lastLogged = current
	l.holder.log.Note("leaf condition changed", "", zap.String("leaf", l.name),
		zap.Stringer("state", current.state), zap.Stringer("cold_cause", l.tracker.Cause()),
		zap.Uint64("epoch", uint64(current.epoch)), zap.String("incarnation", l.report.Incarnation),
		zap.Int("bound", l.tracker.Bound(now)), zap.Duration("service_time", l.scheduler.ServiceTime()))
}

// incarnationKey formats the hash of an incarnation for the tracker.
func incarnationKey(hash uint64) string { return strconv.FormatUint(hash, 16) }

// hashString returns the FNV-1a hash of an incarnation or a request ID. It is the
// same on all hosts.
func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
