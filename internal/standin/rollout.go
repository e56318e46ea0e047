package standin

import (
	"context"
	"time"
)

// Rollout installs a new snapshot on the leaves one by one, a step apart. Each leaf then
// holds the new snapshot and the previous one, as real leaves do during a rollout.
func Rollout(ctx context.Context, leaves []*Leaf, next *Snapshot, step time.Duration) error {
	ticker := time.NewTicker(max(step, time.Nanosecond))
	defer ticker.Stop()
	for _, l := range leaves {
		l.hold(next)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// hold adds a snapshot and keeps only the newest of the earlier ones.
func (l *Leaf) hold(next *Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := []*Snapshot{next}
	if len(l.held) > 0 {
		held = append(held, l.held[0])
	}
	l.held = held
	l.heldText = l.formatHeld()
}
