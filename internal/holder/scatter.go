package holder

import (
	"context"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Cancels ends single leaf calls of a running Scatter.
type Cancels struct {
	// mu guards running.
	mu      sync.Mutex
	running map[string]context.CancelFunc
}

// Cancel ends the call of one leaf.
func (c *Cancels) Cancel(leaf string) {
	c.mu.Lock()
	cancel := c.running[leaf]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *Cancels) add(ctx context.Context, leaf string) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = map[string]context.CancelFunc{}
	}
	c.running[leaf] = cancel
	return ctx
}

func (c *Cancels) remove(leaf string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.running[leaf]; cancel != nil {
		cancel()
		delete(c.running, leaf)
	}
}

// Scatter makes the leaf calls of one message and passes each result to reply
// as it arrives. reply is called by one goroutine at a time.
func (h *Holder) Scatter(ctx context.Context, m *wire.Scatter, cancels *Cancels, reply func(*wire.LeafResult)) {
	deadline := time.Now().Add(time.Duration(m.BudgetMicros) * time.Microsecond)
	results := make(chan wire.LeafResult, len(m.Leaves))
	for _, name := range m.Leaves {
		call := newCall(m, name, deadline)
		callCtx := cancels.add(ctx, name)
		if !h.tasks.Go(func() { results <- h.Call(callCtx, call) }) {
			results <- refused(call, errStopping)
		}
	}
	for range m.Leaves {
		result := <-results
		cancels.remove(result.Leaf)
		reply(&result)
	}
}

func newCall(m *wire.Scatter, name string, deadline time.Time) *Call {
	return &Call{
		ID:          m.AttemptID + ":" + name,
		RequestID:   m.RequestID,
		Customer:    m.Customer,
		Service:     m.Service,
		Class:       m.Class,
		Leaf:        name,
		Snapshot:    m.Snapshot,
		Idempotent:  m.Idempotent,
		Deadline:    deadline,
		Fingerprint: m.Fingerprint,
		Permit:      m.Permit,
		Known:       m.Known,
		Body:        m.Body,
	}
}

// HandleHeld answers a Held message.
func (h *Holder) HandleHeld(ctx context.Context, m *wire.Held) *wire.HeldResult {
	return &wire.HeldResult{Leaves: h.Held(ctx, m.Leaves)}
}
