package holder

import "sync"

// tasks runs functions in goroutines until it is closed.
type tasks struct {
	wg sync.WaitGroup
	// mu guards closed, and orders Go before Wait.
	mu     sync.Mutex
	closed bool
}

// Go runs f in a goroutine. It returns false and runs nothing after Close.
func (t *tasks) Go(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Go(f)
	return true
}

// Close prevents further functions from starting and waits for the running ones.
func (t *tasks) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}
