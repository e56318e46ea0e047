package leafconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/admission"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

const (
	// connectTimeout bounds the time to open a connection to a leaf.
	connectTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long a connection may be idle if the leaf sends no timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleTimeoutFraction is the fraction of the leaf's idle timeout after which a connection is
	// no longer used, since the leaf could close it while a request is on its way.
	idleTimeoutFraction = 0.8
)

var (
	// errClosed and errPaused are the errors of calls on a closed and on a paused pool.
	errClosed = errors.New("connection pool of the leaf is closed")
	errPaused = errors.New("leaf wants no requests for some time")
	// errNoFreeConn means that the context of a call ended before a connection was free.
	errNoFreeConn = errors.New("no connection to the leaf became free")
	// errWithdrawn means that nobody waits for the answer to a request any more.
	errWithdrawn = fmt.Errorf("request was withdrawn: %w", context.Canceled)
	// errForbidden means that the request may no longer be sent.
	errForbidden = errors.New("request may no longer be sent")
	// errLimitReached means that no further connection may be opened.
	errLimitReached = errors.New("connection limit of the leaf reached")
)

// Pool holds the connections of this node to one leaf.
type Pool struct {
	address string
	dialer  *net.Dialer
	memory  *memlimit.Memory
	// mu guards the fields below.
	mu       sync.Mutex
	limit    int
	keepIdle bool
	// open is the number of open and reserved connections.
	open    int
	idle    []*conn
	waiters []*waiter
	// fair orders the waiters of the same priority by their tenants. It is nil as long as no
	// request has a tenant.
	fair   *admission.Fairness
	closed bool
	// pausedUntil is the end of the time in which no request is sent.
	pausedUntil time.Time
	// conns are the open connections.
	conns map[*conn]struct{}
	// idleClosedAt is when the leaf last closed an idle connection.
	idleClosedAt time.Time
	onIdleClosed func()
}

// NewPool returns a pool without connections. limit is the maximum number of connections.
// Idle ones stay open if keepIdle is set. The bodies of answers are limited by memory.
func NewPool(address string, limit int, keepIdle bool, memory *memlimit.Memory) *Pool {
	return &Pool{address: address, dialer: Dialer(connectTimeout), memory: memory, limit: limit, keepIdle: keepIdle, conns: map[*conn]struct{}{}}
}

// SetLimit changes the maximum number of connections and whether idle ones stay open. Excess
// connections are closed when they are idle.
func (p *Pool) SetLimit(limit int, keepIdle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.keepIdle = limit, keepIdle
	for (p.open > p.limit || !keepIdle) && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		c.closeLocked()
	}
}

// State implements leafpick.Connections.
func (p *Pool) State(priority int) leafpick.ConnState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := leafpick.ConnState{Idle: len(p.idle) > 0, Persistent: p.keepIdle, Limit: p.limit}
	state.Full = !state.Idle && p.open >= p.limit
	for _, w := range p.waiters {
		if w.priority <= priority {
			state.Waiting++
		}
	}
	return state
}

// Close closes all idle connections and, after their exchanges, all others. Requests that
// wait for a connection fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.closeLocked()
	}
	p.idle = nil
	p.failWaiters()
}

// Pause keeps all requests from the leaf until a time, unless it is paused for longer. Requests
// that wait for a connection fail; those that have been sent are not affected.
func (p *Pool) Pause(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.pausedUntil) {
		p.pausedUntil = until
	}
	p.failWaiters()
}

// failWaiters fails all requests that wait for a connection. The pool's mutex is held.
func (p *Pool) failWaiters() {
	for _, w := range p.waiters {
		p.refund(w)
		close(w.granted)
	}
	p.waiters = nil
}

// unusable returns the reason why no request may be sent now, or nil. The pool's mutex is held.
func (p *Pool) unusable(now time.Time) error {
	switch {
	case p.closed:
		return errClosed
	case now.Before(p.pausedUntil):
		return errPaused
	}
	return nil
}

// Preconnect opens a connection if there is none and idle ones are kept.
func (p *Pool) Preconnect(ctx context.Context) error {
	p.mu.Lock()
	needed := p.open == 0 && p.keepIdle
	p.mu.Unlock()
	if !needed {
		return nil
	}
	if err := p.addIdle(ctx); !errors.Is(err, errLimitReached) {
		return err
	}
	return nil
}

// addIdle opens a connection for the next exchange.
func (p *Pool) addIdle(ctx context.Context) error {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return errLimitReached
	}
	p.open++
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.release(c)
	return nil
}

// acquire returns a connection that no other exchange uses. It waits for one if the limit is
// reached.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	p.mu.Lock()
	now := time.Now()
	if err := p.unusable(now); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.usableUntil) && (r.MaxIdle <= 0 || now.Sub(c.idleSince) <= r.MaxIdle) {
			p.countServed(r)
			p.mu.Unlock()
			return c, nil
		}
		c.closeLocked()
	}
	if p.open < p.limit {
		p.open++
		p.countServed(r)
		p.mu.Unlock()
		return p.dial(ctx)
	}
	w := p.addWaiter(r)
	p.mu.Unlock()
	select {
	case c, ok := <-w.granted:
		switch {
		case !ok:
			return nil, p.waiterError()
		case c == nil:
			return p.dial(ctx)
		}
		return c, nil
	case <-r.Withdrawn:
		p.cancelWaiter(w)
		return nil, errWithdrawn
	case <-ctx.Done():
		p.cancelWaiter(w)
		return nil, fmt.Errorf("%w: %w", errNoFreeConn, ctx.Err())
	}
}

// waiterError returns the error of a request that failWaiters has failed.
func (p *Pool) waiterError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	return errPaused
}

// cancelWaiter removes a waiter, and releases what it was granted in the meantime.
func (p *Pool) cancelWaiter(w *waiter) {
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.refund(w)
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	c, ok := <-w.granted
	switch {
	case !ok:
	case c != nil:
		p.release(c)
	default:
		p.releaseReservation()
	}
}

// dial opens a connection that is already counted in open.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	c := newConn(p, raw)
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go c.readLoop()
	return c, nil
}

// releaseReservation passes the permission to open a connection on to the next waiter, or
// frees it if there is none.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseReservationLocked()
}

func (p *Pool) releaseReservationLocked() {
	if len(p.waiters) > 0 && p.open <= p.limit {
		p.popWaiter().granted <- nil
		return
	}
	p.open--
}

// release returns a connection whose exchange is complete to the pool.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isClosed {
		return
	}
	if p.closed || p.open > p.limit {
		c.closeLocked()
		return
	}
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(c.keepIdle)
	if len(p.waiters) > 0 {
		p.popWaiter().granted <- c
		return
	}
	if !p.keepIdle {
		c.closeLocked()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection and removes it from the pool.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.closeLocked()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// closeLocked closes the connection, if it is open, and releases its reservation. The pool's
// mutex is held.
func (c *conn) closeLocked() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	delete(c.pool.conns, c)
	_ = c.raw.Close()
	c.pool.releaseReservationLocked()
}
