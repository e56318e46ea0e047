package holder

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	leafMapCount   = 16
	reportInterval = time.Second
	reportTimeout  = 500 * time.Millisecond
	cancelTimeout  = time.Second
)

// Holder makes the leaf calls of this node.
type Holder struct {
	permits  Permits
	screen   Screen
	targets  Targets
	scope    tally.Scope
	log      *reqlog.Log
	start    time.Time
	hashSeed maphash.Seed
	index    atomic.Pointer[document.Index]
	leafMaps [leafMapCount]leafMap
	tasks    tasks
}

var errStopping = kind.Errorf(kind.Stopping, "this host is stopping")

// leafMap holds the leaves whose names hash to the same position in
// Holder.leafMaps.
type leafMap struct {
	// mu guards leaves.
	mu     sync.RWMutex
	leaves map[string]*leaf
}

// New returns a holder that refuses all calls until SetIndex is called.
func New(permits Permits, screen Screen, targets Targets, log *reqlog.Log, scope tally.Scope) *Holder {
	h := &Holder{
		permits:  permits,
		screen:   screen,
		targets:  targets,
		scope:    scope.SubScope("holder"),
		log:      log,
		start:    time.Now(),
		hashSeed: maphash.MakeSeed(),
	}
	for i := range h.leafMaps {
		h.leafMaps[i].leaves = map[string]*leaf{}
	}
	return h
}

// now returns the monotonic time since the holder was created.
func (h *Holder) now() time.Duration { return time.Since(h.start) }

func (h *Holder) leafMapFor(name string) *leafMap {
	return &h.leafMaps[maphash.String(h.hashSeed, name)%leafMapCount]
}

// SetIndex puts a document in force. From now on, calls to leaves that the
// document does not list or takes out of service are refused.
func (h *Holder) SetIndex(index *document.Index) {
	h.index.Store(index)
	h.Refresh()
}

// Refresh drops the leaves that are not in the document in force or whose
// address has changed or is unknown. Their running calls continue.
func (h *Holder) Refresh() {
	h.dropLeaves(func(l *leaf) bool {
		entry := h.entry(l.name)
		if entry == nil {
			return false
		}
		address, found := h.targets.Address(entry)
		l.setEntry(entry)
		return found && address == l.address
	})
}

func (h *Holder) dropLeaves(keep func(l *leaf) bool) {
	for i := range h.leafMaps {
		s := &h.leafMaps[i]
		s.mu.Lock()
		for name, l := range s.leaves {
			if !keep(l) {
				delete(s.leaves, name)
				h.tasks.Go(l.close)
			}
		}
		s.mu.Unlock()
	}
}

// Close drops all leaves, closes their connections and waits for background
// tasks.
func (h *Holder) Close() {
	h.dropLeaves(func(*leaf) bool { return false })
	h.tasks.Close()
}

// leaf returns the state of a leaf, creating it on first use.
func (h *Holder) leaf(name string) (*leaf, error) {
	s := h.leafMapFor(name)
	s.mu.RLock()
	l := s.leaves[name]
	s.mu.RUnlock()
	if l != nil {
		return l, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leaves[name]; l != nil {
		return l, nil
	}
	entry := h.entry(name)
	if entry == nil {
		return nil, kind.Errorf(kind.NotHolder, "leaf %q is not in the document in force", name)
	}
	address, found := h.targets.Address(entry)
	if !found {
		return nil, kind.Errorf(kind.ConnectFailed, "leaf %q has no address", name)
	}
	caller, err := h.targets.Dial(address, h.permits.Permit(name).Connections)
	if err != nil {
		return nil, kind.Errorf(kind.ConnectFailed, "leaf %q: %w", name, err)
	}
	l = newLeaf(entry, address, caller, h)
	s.leaves[name] = l
	return l, nil
}

func (h *Holder) entry(name string) *document.LeafEntry {
	index := h.index.Load()
	if index == nil {
		return nil
	}
	return index.Leaf(index.LeafID(name))
}

// check returns an error if a call must not be sent now. It is called on arrival
// and again immediately before the send.
func (h *Holder) check(c *Call) (Permit, error) {
	if !time.Now().Before(c.Deadline) {
		return Permit{}, kind.Errorf(kind.DeadlinePassed, "deadline of the call to leaf %q has passed", c.Leaf)
	}
	entry := h.entry(c.Leaf)
	if entry == nil {
		return Permit{}, kind.Errorf(kind.NotHolder, "leaf %q is not in the document in force", c.Leaf)
	}
	if !entry.AcceptsWork() {
		return Permit{}, kind.Errorf(kind.LeafLeaving, "leaf %q is leaving or its data centre is taken out", c.Leaf)
	}
	permit := h.permits.Permit(c.Leaf)
	if permit.Slots <= 0 {
		return Permit{}, kind.Errorf(kind.NotHolder, "this host holds no slot of leaf %q", c.Leaf)
	}
	return permit, nil
}

// checkSend returns an error if a call must not be sent. It is called immediately
// before the send and consumes the call's trial permit.
func (h *Holder) checkSend(c *Call) error {
	if _, err := h.check(c); err != nil {
		return err
	}
	h.screen.Merge(c.Known)
	return h.screen.MaySend(c.Fingerprint, c.Permit)
}

// Call makes one leaf call. When ctx is done, it returns immediately and asks the
// leaf to cancel the call; the slot stays in use until the leaf no longer runs it.
func (h *Holder) Call(ctx context.Context, c *Call) wire.LeafResult {
	l, granted, permit, err := h.admit(ctx, c)
	if err != nil {
		return h.refusedBeforeSend(c, err)
	}
	done := make(chan wire.LeafResult, 1)
	if !h.tasks.Go(func() { done <- l.exchange(c, granted, permit, ctx.Done()) }) {
		l.endCall(granted.id)
		h.returnPermit(c)
		return refusedResult(c, errStopping)
	}
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		h.tasks.Go(func() { l.cancelCall(c.ID) })
		return refusedResult(c, kind.Errorf(kind.Canceled, "call to leaf %q was canceled", c.Leaf))
	}
}

// refusedBeforeSend returns the result of a call that was not sent. If the content
// is quarantined, the result carries its record, which the entry may not have yet.
func (h *Holder) refusedBeforeSend(c *Call, err error) wire.LeafResult {
	result := refusedResult(c, err)
	if kind.Of(err) == kind.Quarantined {
		result.Known = h.screen.Known(c.Fingerprint)
	}
	return result
}

// returnPermit returns the permit of a trial that the leaf has not run, so that the
// content can be tried again.
func (h *Holder) returnPermit(c *Call) {
	if c.Permit != nil {
		h.screen.ReturnPermit(*c.Permit)
	}
}

// admit waits for a slot and repeats the checks once the call has one. A call is refused if nobody
// waits for its answer any more.
func (h *Holder) admit(ctx context.Context, c *Call) (*leaf, slot, Permit, error) {
	permit, err := h.check(c)
	if err != nil {
		return nil, slot{}, Permit{}, err
	}
	l, err := h.leaf(c.Leaf)
	if err != nil {
		return nil, slot{}, Permit{}, err
	}
	granted, err := l.acquire(ctx, c, permit)
	if err != nil {
		return nil, slot{}, Permit{}, err
	}
	if granted, err = l.confirmIncarnation(ctx, c, permit, granted); err != nil {
		return nil, slot{}, Permit{}, err
	}
	permit, begun := h.permits.Begin(c.Leaf)
	if !begun {
		l.release(granted.id)
		return nil, slot{}, Permit{}, kind.Errorf(kind.NotHolder, "this host may not use a slot of leaf %q now", c.Leaf)
	}
	if ctx.Err() != nil {
		l.endCall(granted.id)
		return nil, slot{}, Permit{}, kind.WithRun(kind.Errorf(kind.Canceled, "call to leaf %q was canceled before it was sent", c.Leaf), kind.RunNo)
	}
	if err := h.checkSend(c); err != nil {
		l.endCall(granted.id)
		return nil, slot{}, Permit{}, err
	}
	return l, granted, permit, nil
}

// Held returns the snapshots that leaves are known to hold. It polls the leaves
// that have not reported yet.
func (h *Holder) Held(ctx context.Context, names []string) []wire.LeafHeld {
	results := make([]wire.LeafHeld, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { results[i] = h.heldBy(ctx, name) })
	}
	wg.Wait()
	return results
}

func (h *Holder) heldBy(ctx context.Context, name string) wire.LeafHeld {
	if h.permits.Permit(name).Slots <= 0 {
		return wire.LeafHeld{Leaf: name}
	}
	l, err := h.leaf(name)
	if err != nil {
		return wire.LeafHeld{Leaf: name}
	}
	if report, known := l.lastReport(); known {
		return newLeafHeld(name, report)
	}
	l.pollReport(ctx)
	report, _ := l.lastReport()
	return newLeafHeld(name, report)
}

// Run polls the leaves' reports until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	periodic.Run(ctx, reportInterval, func() { h.pollAll(ctx) })
	return nil
}

func (h *Holder) pollAll(ctx context.Context) {
	for i := range h.leafMaps {
		s := &h.leafMaps[i]
		s.mu.RLock()
		for name, l := range s.leaves {
			if h.permits.Permit(name).Slots > 0 {
				h.tasks.Go(func() { l.pollReport(ctx) })
			}
		}
		s.mu.RUnlock()
	}
}

// Status returns the state of each leaf that this holder has used.
func (h *Holder) Status() []LeafStatus {
	var all []LeafStatus
	for i := range h.leafMaps {
		s := &h.leafMaps[i]
		s.mu.RLock()
		for _, l := range s.leaves {
			all = append(all, l.status())
		}
		s.mu.RUnlock()
	}
	return all
}

// Busy reports whether any call holds or waits for a slot.
func (h *Holder) Busy() bool {
	for i := range h.leafMaps {
		s := &h.leafMaps[i]
		s.mu.RLock()
		for _, l := range s.leaves {
			if l.activeCalls() > 0 {
				s.mu.RUnlock()
				return true
			}
		}
		s.mu.RUnlock()
	}
	return false
}

// countCall counts a leaf call that was sent, by outcome.
func (h *Holder) countCall(outcome string) {
	h.scope.Tagged(map[string]string{"outcome": outcome}).Counter("leaf_calls").Inc(1)
}

func refusedResult(c *Call, err error) wire.LeafResult {
	k := kind.Of(err)
	return wire.LeafResult{
		RequestID: c.RequestID,
		Leaf:      c.Leaf,
		Kind:      k.String(),
		Run:       string(kind.RunOf(err)),
		Message:   fmt.Sprint(err),
	}
}
