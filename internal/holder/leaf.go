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

// leaf is this node's share of one leaf: its queue, its warm-up and its
// connections.
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
	// waiting holds a channel for each queued call.
	waiting map[uint64]chan outcome
	// unsettled holds the calls whose end the leaf has not confirmed.
	unsettled map[uint64]*time.Timer
	// probing is set while the leaf is asked whether its process has ended.
	probing bool
	expiry  *time.Timer
	// judged is the last judgement passed to Permits.
	judged judgement
	// noted is the condition of the leaf that was last logged.
	noted    condition
	report   target.Report
	reported bool
	closed   bool
}

// condition is what the tracker takes the leaf for.
type condition struct {
	state warmup.State
	epoch warmup.Epoch
}

// judgement says whether an incarnation of the leaf is warm, in an epoch of the
// tracker.
type judgement struct {
	incarnation string
	warm        bool
	epoch       warmup.Epoch
}

const (
	// closeBound is the longest time that running calls of a leaf that is given
	// up are waited for.
	closeBound    = 30 * time.Second
	closeInterval = 10 * time.Millisecond
)

// slot is the right to run one call.
type slot struct {
	id uint64
	// incarnation is the process of the leaf whose bound was judged by; empty if none
	// was known.
	incarnation string
}

// outcome tells a waiting call that it holds a slot, or why it was refused.
type outcome struct {
	started bool
	slot    slot
	refused kind.Kind
}

func newLeaf(entry *document.LeafEntry, address string, caller target.Caller, h *Holder) *leaf {
	limits := entry.Service.Limits
	l := &leaf{
		name:      entry.Name,
		address:   address,
		holder:    h,
		caller:    caller,
		entry:     entry,
		scheduler: admission.New(admission.Config{Classes: len(entry.Service.Policy.Classes)}),
		tracker:   warmup.New(h.now(), warmup.Config{ColdSlots: limits.ColdSlots, WarmAfter: limits.WarmAfter}),
		waiting:   map[uint64]chan outcome{},
		unsettled: map[uint64]*time.Timer{},
	}
	l.tracker.SetLeaving(h.now(), warmup.Document, !entry.AcceptsWork())
	return l
}

// close waits until the leaf runs no call, within a bound, and ends its
// connections.
func (l *leaf) close() {
	end := time.Now().Add(closeBound)
	for l.inUse() > 0 && time.Now().Before(end) {
		time.Sleep(closeInterval)
	}
	l.caller.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, timer := range l.unsettled {
		timer.Stop()
	}
	if l.expiry != nil {
		l.expiry.Stop()
	}
}

func (l *leaf) setEntry(entry *document.LeafEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry = entry
	now := l.holder.now()
	l.tracker.SetLeaving(now, warmup.Document, !entry.AcceptsWork())
	l.judge(now)
}

// acquire waits until the call holds a slot. The caller must release it.
func (l *leaf) acquire(ctx context.Context, c *Call, permit Permit) (slot, error) {
	granted, wait, err := l.submit(c, permit)
	if err != nil || wait == nil {
		return granted, err
	}
	select {
	case o := <-wait:
		if !o.started {
			return slot{}, kind.Errorf(o.refused, "call to leaf %q left the queue", l.name)
		}
		return o.slot, nil
	case <-ctx.Done():
		l.abandon(granted.id, wait)
		return slot{}, kind.Errorf(kind.Unavailable, "call to leaf %q was canceled in the queue", l.name)
	}
}

// confirm asks a leaf without an open connection for its report before a call,
// since it may have restarted unseen. It returns the slot of the call, another one
// if the leaf is found cold.
func (l *leaf) confirm(ctx context.Context, c *Call, permit Permit, granted slot) (slot, error) {
	if open, _ := l.caller.Counts(); open > 0 {
		return granted, nil
	}
	before := l.epoch()
	pollCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	l.poll(pollCtx)
	if l.epoch() == before {
		return granted, nil
	}
	l.release(granted.id)
	return l.acquire(ctx, c, permit)
}

// submit asks the scheduler. A non-nil channel means that the call is queued.
func (l *leaf) submit(c *Call, permit Permit) (slot, chan outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.applyPermit(now, permit)
	bound := l.tracker.Bound(now)
	l.dispatch(l.scheduler.SetSlots(now, bound))
	if bound == 0 {
		return slot{}, nil, l.noSlots(now)
	}
	l.nextID++
	id := l.nextID
	decision := l.scheduler.Submit(now, admission.Item{
		ID:       id,
		Query:    hashOf(c.RequestID),
		Customer: c.Customer,
		Class:    slices.Index(l.entry.Service.Policy.Classes, c.Class),
		Deadline: now + time.Until(c.Deadline),
	})
	l.refuse(decision.Refused)
	switch decision.Verdict {
	case admission.Start:
		return l.grant(id), nil, nil
	case admission.Queued:
		wait := make(chan outcome, 1)
		l.waiting[id] = wait
		l.armExpiry(now)
		return slot{id: id}, wait, nil
	default:
		return slot{}, nil, kind.Errorf(decision.Kind, "leaf %q has no room in time", l.name)
	}
}

// grant needs mu. It returns the slot of a call that starts now.
func (l *leaf) grant(id uint64) slot { return slot{id: id, incarnation: l.report.Incarnation} }

func (l *leaf) noSlots(now time.Duration) error {
	if l.tracker.State(now) == warmup.Leaving {
		return kind.Errorf(kind.LeafLeaving, "leaf %q is leaving", l.name)
	}
	return kind.Errorf(kind.LeafCold, "leaf %q is cold and another host warms it", l.name)
}

// applyPermit needs mu.
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

// abandon gives a queued call up, or the slot that it has just received.
func (l *leaf) abandon(id uint64, wait chan outcome) {
	l.mu.Lock()
	queued := l.scheduler.Cancel(id)
	delete(l.waiting, id)
	l.mu.Unlock()
	if queued {
		return
	}
	if o := <-wait; o.started {
		l.release(id)
	}
}

// release ends a call that has not begun.
func (l *leaf) release(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseLocked(id)
}

// settle ends a call that the leaf no longer runs.
func (l *leaf) settle(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settleLocked(id)
}

func (l *leaf) settleLocked(id uint64) {
	delete(l.unsettled, id)
	l.holder.permits.End(l.name)
	l.releaseLocked(id)
}

func (l *leaf) releaseLocked(id uint64) {
	now := l.holder.now()
	l.dispatch(l.scheduler.SetSlots(now, l.tracker.Bound(now)))
	l.dispatch(l.scheduler.Release(now, id))
	l.armExpiry(now)
}

// dispatch needs mu. It wakes the calls that the scheduler has decided on.
func (l *leaf) dispatch(b admission.Batch) {
	for _, item := range b.Start {
		l.wake(item.ID, outcome{started: true, slot: l.grant(item.ID)})
	}
	l.refuse(b.Refused)
}

func (l *leaf) refuse(refused []admission.Refusal) {
	for _, r := range refused {
		l.wake(r.ID, outcome{refused: r.Kind})
	}
}

func (l *leaf) wake(id uint64, o outcome) {
	if wait := l.waiting[id]; wait != nil {
		delete(l.waiting, id)
		wait <- o
	}
}

// armExpiry needs mu. It arranges for the next refusal of a queued call.
func (l *leaf) armExpiry(now time.Duration) {
	next, queued := l.scheduler.NextExpiry()
	if !queued || l.closed {
		return
	}
	delay := max(next-now, 0)
	if l.expiry == nil {
		l.expiry = time.AfterFunc(delay, l.expire)
		return
	}
	l.expiry.Reset(delay)
}

func (l *leaf) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.holder.now()
	l.dispatch(l.scheduler.Expire(now))
	l.armExpiry(now)
}

// poll asks the leaf for its report. An address that refuses connections shows
// that the process has ended. poll reports whether it learned either.
func (l *leaf) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := l.caller.Report(ctx)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.settleAll()
		return true
	}
	now := l.holder.now()
	l.observe(now, report)
	l.tracker.Hint(now, warmup.Hint{Cold: report.State == target.StateCold})
	l.judge(now)
	return true
}

// observe needs mu. It records what a leaf says of itself.
func (l *leaf) observe(now time.Duration, report *target.Report) {
	if report.Incarnation == "" {
		return
	}
	if l.report.Incarnation != report.Incarnation {
		l.settleAll()
	}
	l.tracker.SetIncarnation(now, incarnationKey(hashOf(report.Incarnation)))
	l.tracker.SetLeaving(now, warmup.LeafReport, report.State == target.StateLeaving)
	l.report = *report
	l.reported = true
}

// settleAll needs mu. The calls of a process that has ended no longer run.
func (l *leaf) settleAll() {
	for id, timer := range l.unsettled {
		if timer.Stop() {
			l.settleLocked(id)
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

func (l *leaf) inUse() int {
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

func heldOf(name string, report target.Report) wire.LeafHeld {
	return wire.LeafHeld{Leaf: name, Incarnation: report.Incarnation, Snapshots: heldSnapshots(report)}
}

func heldSnapshots(report target.Report) []wire.HeldSnapshot {
	held := make([]wire.HeldSnapshot, len(report.Held))
	for i, s := range report.Held {
		held[i] = wire.HeldSnapshot{Snapshot: s.Snapshot, From: s.From, To: s.To}
	}
	return held
}

// judge needs mu. It passes a changed judgement of the leaf on. A leaf that has not
// fallen since the last one is not refuted: it may not have been warm here yet.
func (l *leaf) judge(now time.Duration) {
	l.noteCondition(now)
	if !l.reported {
		return
	}
	before := l.judged
	current := judgement{
		incarnation: l.report.Incarnation,
		warm:        l.tracker.State(now) == warmup.Warm,
		epoch:       l.tracker.Epoch(now),
	}
	if current == before {
		return
	}
	l.judged = current
	l.holder.permits.SetVerdict(l.name, hashOf(current.incarnation), current.warm)
	if before != (judgement{}) && current.epoch != before.epoch {
		l.holder.permits.RejectVerdict(l.name)
	}
}

// noteCondition needs mu. It logs what the leaf is taken for when that changes.
func (l *leaf) noteCondition(now time.Duration) {
	current := condition{state: l.tracker.State(now), epoch: l.tracker.Epoch(now)}
	if current == l.noted {
		return
	}
	l.noted = current
	l.holder.log.Note("leaf condition changed", "", zap.String("leaf", l.name),
		zap.Stringer("state", current.state), zap.Stringer("cold_cause", l.tracker.Cause()),
		zap.Uint64("epoch", uint64(current.epoch)), zap.String("incarnation", l.report.Incarnation),
		zap.Int("bound", l.tracker.Bound(now)), zap.Duration("service_time", l.scheduler.ServiceTime()))
}

// incarnationKey is the form in which the tracker knows an incarnation.
func incarnationKey(hash uint64) string { return strconv.FormatUint(hash, 16) }

// hashOf returns the hash by which hosts tell each other of an incarnation.
func hashOf(incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(incarnation))
	return h.Sum64()
}
