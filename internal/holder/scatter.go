package holder

import (
	"context"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Scatter makes the leaf calls of one message and passes each result to reply
// as it arrives. reply is called by one goroutine at a time.
func (h *Holder) Scatter(ctx context.Context, m *wire.Scatter, reply func(*wire.LeafResult)) {
	deadline := time.Now().Add(time.Duration(m.BudgetMicros) * time.Microsecond)
	results := make(chan wire.LeafResult, len(m.Leaves))
	for _, name := range m.Leaves {
		call := newCall(m, name, deadline)
		if !h.tasks.Go(func() { results <- h.Call(ctx, call) }) {
			results <- refused(call, errStopping)
		}
	}
	for range m.Leaves {
		result := <-results
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
		Body:        m.Body,
	}
}

// HeldAnswer answers a Held message.
func (h *Holder) HeldAnswer(ctx context.Context, m *wire.Held) *wire.HeldResult {
	return &wire.HeldResult{Leaves: h.Held(ctx, m.Leaves)}
}
