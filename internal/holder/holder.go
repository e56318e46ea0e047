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
	leafMapShards  = 16
	reportInterval = time.Second
	reportTimeout  = 500 * time.Millisecond
	cancelTimeout  = time.Second
)

// Holder makes the leaf calls of this node.
type Holder struct {
	permits Permits
	screen  Screen
	targets Targets
	scope   tally.Scope
	log     *reqlog.Log
	start   time.Time
	seed    maphash.Seed
	index   atomic.Pointer[document.Index]
	shards  [leafMapShards]leafMap
	tasks   tasks
}

var errStopping = kind.Errorf(kind.Stopping, "this host is stopping")

// leafMap is one shard of the leaves.
type leafMap struct {
	// mu guards leaves.
	mu     sync.RWMutex
	leaves map[string]*leaf
}

// New returns a holder without leaves; SetIndex gives it some.
func New(permits Permits, screen Screen, targets Targets, log *reqlog.Log, scope tally.Scope) *Holder {
	h := &Holder{
		permits: permits,
		screen:  screen,
		targets: targets,
		scope:   scope.SubScope("holder"),
		log:     log,
		start:   time.Now(),
		seed:    maphash.MakeSeed(),
	}
	for i := range h.shards {
		h.shards[i].leaves = map[string]*leaf{}
	}
	return h
}

// now returns the monotonic time since the holder was made.
func (h *Holder) now() time.Duration { return time.Since(h.start) }

func (h *Holder) shard(name string) *leafMap {
	return &h.shards[maphash.String(h.seed, name)%leafMapShards]
}

// SetIndex puts a document in force: calls to leaves that it takes out are
// refused from now on.
func (h *Holder) SetIndex(index *document.Index) {
	h.index.Store(index)
	h.Refresh()
}

// Refresh gives up the leaves that the document no longer has or whose address
// has changed. Their running calls go on.
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
	for i := range h.shards {
		s := &h.shards[i]
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

// Close ends every connection and waits for the background work.
func (h *Holder) Close() {
	h.dropLeaves(func(*leaf) bool { return false })
	h.tasks.Close()
}

// leaf returns the state of a leaf, making it on first use.
func (h *Holder) leaf(name string) (*leaf, error) {
	s := h.shard(name)
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

// check returns the reason for which a call must not be sent now. It is called
// on arrival and again directly before the send.
func (h *Holder) check(c *Call) (Permit, error) {
	if !time.Now().Before(c.Deadline) {
		return Permit{}, kind.Errorf(kind.DeadlinePassed, "deadline of the call to leaf %q has passed", c.Leaf)
	}
	entry := h.entry(c.Leaf)
	if entry == nil {
		return Permit{}, kind.Errorf(kind.NotHolder, "leaf %q is not in the document in force", c.Leaf)
	}
	if !entry.AcceptsWork() {
		return Permit{}, kind.Errorf(kind.LeafLeaving, "the document gives leaf %q no new work", c.Leaf)
	}
	permit := h.permits.Permit(c.Leaf)
	if permit.Slots <= 0 {
		return Permit{}, kind.Errorf(kind.NotHolder, "this host holds no slot of leaf %q", c.Leaf)
	}
	return permit, nil
}

// checkSend returns the reason for which a call must not be sent, directly before
// the send. It uses up the call's permit for a trial.
func (h *Holder) checkSend(c *Call) error {
	if _, err := h.check(c); err != nil {
		return err
	}
	h.screen.Merge(c.Known)
	return h.screen.MaySend(c.Fingerprint, c.Permit)
}

// Call makes one leaf call. When ctx ends it returns at once and the leaf is
// asked to cancel; the slot stays in use until the leaf has ended the work.
func (h *Holder) Call(ctx context.Context, c *Call) wire.LeafResult {
	l, granted, permit, err := h.admit(ctx, c)
	if err != nil {
		return h.refusedBeforeSend(c, err)
	}
	done := make(chan wire.LeafResult, 1)
	if !h.tasks.Go(func() { done <- l.exchange(c, granted, permit) }) {
		l.settle(granted.id)
		h.returnPermit(c)
		return refused(c, errStopping)
	}
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		h.tasks.Go(func() { l.cancelCall(c.ID) })
		return refused(c, kind.Errorf(kind.Canceled, "call to leaf %q was canceled", c.Leaf))
	}
}

// refusedBeforeSend returns the result of a call that was not sent. A refusal for the
// content carries what is known of it, in case its entry has not heard.
func (h *Holder) refusedBeforeSend(c *Call, err error) wire.LeafResult {
	result := refused(c, err)
	if kind.Of(err) == kind.Quarantined {
		result.Known = h.screen.Known(c.Fingerprint)
	}
	return result
}

// returnPermit gives back the permit of a trial that its leaf has not run, so that the
// content can be tried again.
func (h *Holder) returnPermit(c *Call) {
	if c.Permit != nil {
		h.screen.ReturnPermit(*c.Permit)
	}
}

// admit waits for a slot and checks again once it has one.
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
	if granted, err = l.confirm(ctx, c, permit, granted); err != nil {
		return nil, slot{}, Permit{}, err
	}
	permit, begun := h.permits.Begin(c.Leaf)
	if !begun {
		l.release(granted.id)
		return nil, slot{}, Permit{}, kind.Errorf(kind.NotHolder, "this host may use no slot of leaf %q now", c.Leaf)
	}
	if err := h.checkSend(c); err != nil {
		l.settle(granted.id)
		return nil, slot{}, Permit{}, err
	}
	return l, granted, permit, nil
}

// Held returns what is known of the snapshots that leaves hold, asking a leaf
// that has not reported yet.
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
		return heldOf(name, report)
	}
	l.poll(ctx)
	report, _ := l.lastReport()
	return heldOf(name, report)
}

// Run polls the leaves' reports until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	periodic.Run(ctx, reportInterval, func() { h.pollAll(ctx) })
	return nil
}

func (h *Holder) pollAll(ctx context.Context) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.RLock()
		for name, l := range s.leaves {
			if h.permits.Permit(name).Slots > 0 {
				h.tasks.Go(func() { l.poll(ctx) })
			}
		}
		s.mu.RUnlock()
	}
}

// Status returns what the holder knows of each leaf that it has used.
func (h *Holder) Status() []LeafStatus {
	var all []LeafStatus
	for i := range h.shards {
		s := &h.shards[i]
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
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.RLock()
		for _, l := range s.leaves {
			if l.inUse() > 0 {
				s.mu.RUnlock()
				return true
			}
		}
		s.mu.RUnlock()
	}
	return false
}

// countCall counts a leaf call that was made, by its outcome.
func (h *Holder) countCall(outcome string) {
	h.scope.Tagged(map[string]string{"outcome": outcome}).Counter("leaf_calls").Inc(1)
}

func refused(c *Call, err error) wire.LeafResult {
	k := kind.Of(err)
	return wire.LeafResult{
		RequestID: c.RequestID,
		Leaf:      c.Leaf,
		Kind:      k.String(),
		Run:       string(kind.RunOf(err)),
		Message:   fmt.Sprint(err),
	}
}
