package share

import (
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// Locked is a State that may be used concurrently.
type Locked struct {
	mu    sync.Mutex
	state *State
}

// NewLocked returns a locked state; see New.
func NewLocked(opts Options, now time.Duration) (*Locked, error) {
	state, err := New(opts, now)
	if err != nil {
		return nil, err
	}
	return &Locked{state: state}, nil
}

// Do calls f with the state under the lock. It serves changes that are rare.
func (l *Locked) Do(f func(*State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state)
}

// SetDocument calls State.SetDocument under the lock.
func (l *Locked) SetDocument(now time.Duration, doc *document.Document) {
	l.Do(func(s *State) { s.SetDocument(now, doc) })
}

// SetView calls State.SetView under the lock.
func (l *Locked) SetView(now time.Duration, v View) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.SetView(now, v)
}

// Tick calls State.Tick under the lock.
func (l *Locked) Tick(now time.Duration) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Tick(now)
}

// Receive calls State.Receive under the lock.
func (l *Locked) Receive(now time.Duration, b Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Receive(now, b)
}

// Allowed calls State.Allowed under the lock.
func (l *Locked) Allowed(now time.Duration, leafID string) Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Allowed(now, leafID)
}

// TryBegin records the start of a call if the leaf has a free slot, and returns
// the allowance it was decided on.
func (l *Locked) TryBegin(now time.Duration, leafID string) (Allowance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.TryBegin(now, leafID)
}

// End calls State.End under the lock.
func (l *Locked) End(leafID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.End(leafID)
}
