package leafconn

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// ProcessState is the state of a leaf's process as far as its connections show it.
type ProcessState uint8

// The states of a leaf's process.
const (
	// Unknown means that the connections do not show the state.
	Unknown ProcessState = iota
	// Alive means that a connection opened earlier has survived the loss of another.
	Alive
	// Refuses means that the leaf's address refuses connections.
	Refuses
	// Restarted means that all connections opened earlier are closed, including one that
	// was idle.
	Restarted
)

// String returns the state as it is written in logs.
func (l ProcessState) String() string {
	return [...]string{"unknown", "lives", "refuses connections", "all connections ended"}[l]
}

// checkDelays are the delays before each check of the connections to a leaf. The end of a
// process closes its connections at once; a host that no longer responds is detected by the
// next keep-alive probe.
var checkDelays = []time.Duration{2 * time.Millisecond, keepAliveInterval + keepAliveInterval/2}

// OnIdleClosed sets the function that is called when the leaf closes an idle connection. The
// function must not block.
func (p *Pool) OnIdleClosed(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onIdleClosed = f
}

// Check determines the state of the leaf's process after a connection was lost. since is
// when the call on that connection was sent, or zero if the connection was idle.
func (p *Pool) Check(ctx context.Context, since time.Time) ProcessState {
	start := time.Now()
	state := Unknown
	for _, delay := range checkDelays {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return Unknown
		}
		if state = p.checkOnce(ctx, start, since); state != Alive {
			return state
		}
	}
	return state
}

// checkOnce reports Alive if a connection opened before start is left. Otherwise it opens a
// connection, and a second one if idle connections are kept: while a call uses the first, the
// idle one shows whether the leaf's process ends.
func (p *Pool) checkOnce(ctx context.Context, start, since time.Time) ProcessState {
	p.mu.Lock()
	for c := range p.conns {
		if c.openedAt.Before(start) {
			p.mu.Unlock()
			return Alive
		}
	}
	state := Unknown
	if !since.IsZero() && p.idleClosedAt.After(since) {
		state = Restarted
	}
	wanted := 1
	if p.keepIdle {
		wanted = 2
	}
	p.mu.Unlock()
	for range wanted {
		err := p.addIdle(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Refuses
		}
		if err != nil {
			break
		}
	}
	return state
}

// idleConnClosed handles the end of a connection that no exchange used.
func (p *Pool) idleConnClosed(c *conn) {
	p.mu.Lock()
	byLeaf, notify := !c.isClosed, p.onIdleClosed
	if byLeaf {
		p.idleClosedAt = time.Now()
	}
	p.mu.Unlock()
	p.discard(c)
	if byLeaf && notify != nil {
		notify()
	}
}
