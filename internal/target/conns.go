package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

const (
	// stallTimeout is how long a connection with calls in flight may receive no byte
	// while another connection to the leaf does, before it counts as stalled.
	stallTimeout = 200 * time.Millisecond
	// stallConfirmTime is the minimum time between the check that first finds a
	// connection stalled and the check that retires it.
	stallConfirmTime = 50 * time.Millisecond
	// retiredPeriod is how long a retired connection counts against the limit of
	// connections, since the leaf may not have noticed that it is closed.
	retiredPeriod = 60 * time.Second
	// pingAfter is the time without a byte after which a connection is pinged.
	pingAfter = 1 * time.Second
	// pingTimeout is the time without an answer to a ping after which the connection
	// fails.
	pingTimeout = 1 * time.Second
	// connectTimeout bounds the time to open a connection.
	connectTimeout = 300 * time.Millisecond
	// identifyTimeout bounds the time for a leaf to identify itself on a new connection.
	// It is the same as that of a ping.
	identifyTimeout = pingTimeout
	// callsPerConnection is the number of calls in flight on the least used connection
	// at which the next call opens another one.
	callsPerConnection = 1
)

// conns manages the connections to one leaf, up to a limit.
type conns struct {
	address   string
	transport *http.Transport
	// identify requests the report of the leaf at the other end.
	identify func(context.Context, *http.ClientConn) (Report, error)
	// mu guards the fields below.
	mu      sync.Mutex
	limit   int
	dialing int
	open    []*conn
	// retired holds the times until which retired connections count against limit.
	retired []time.Time
	closed  bool
	// wg counts the dials in the background.
	wg sync.WaitGroup
}

// conn is one connection, with the times that show whether it is stalled.
type conn struct {
	client *http.ClientConn
	raw    *trackedConn
	// firstReport is the leaf's report when the connection was opened. Its incarnation is
	// that of the process at the other end for the life of the connection.
	firstReport Report
	// stalledSince is when the connection was first found stalled, or zero. conns.mu
	// guards it.
	stalledSince time.Time
	// retired is set before this end closes the connection.
	retired atomic.Bool
	// mu guards inFlight and busySince.
	mu        sync.Mutex
	inFlight  int
	busySince time.Time
}

// trackedConn is a connection that records when bytes last arrived.
type trackedConn struct {
	net.Conn
	lastRead atomic.Int64
	// ended is set when the other end or the network has ended the connection.
	ended atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.ended.Store(true)
	}
	return n, err
}

func (c *trackedConn) lastReadTime() time.Time {
	return time.Unix(0, c.lastRead.Load())
}

func newConns(address string, limit int, identify func(context.Context, *http.ClientConn) (Report, error)) *conns {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &conns{
		address:  address,
		limit:    limit,
		identify: identify,
		transport: &http.Transport{
			Protocols:              protocols,
			DisableCompression:     true,
			DialContext:            dialTracked,
			MaxResponseHeaderBytes: maxHeadBytes,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout:               pingAfter,
				PingTimeout:                   pingTimeout,
				MaxReceiveBufferPerStream:     streamBuffer,
				MaxReceiveBufferPerConnection: connBuffer,
			},
		},
	}
}

// trackedConnKey is the context key of the pointer that dialTracked sets to the new
// connection.
type trackedConnKey struct{}

func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c}
	tracked.lastRead.Store(time.Now().UnixNano())
	if out, ok := ctx.Value(trackedConnKey{}).(**trackedConn); ok {
		*out = tracked
	}
	return tracked, nil
}

// get returns a connection on which it has begun a call. It waits for the first
// connection to open, and opens further ones in the background.
func (c *conns) get(ctx context.Context) (*conn, error) {
	best, mayDial := c.pick(time.Now())
	switch {
	case best != nil && mayDial:
		c.wg.Go(c.dialSpare)
		return best, nil
	case best != nil:
		return best, nil
	case !mayDial:
		return nil, kind.Errorf(kind.ConnectFailed, "no connection to leaf at %s is available", c.address)
	}
	fresh, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	fresh.begin(time.Now())
	return fresh, nil
}

// pick begins a call on the least used connection, and reports whether the caller
// should open another one, for which it has then reserved capacity.
func (c *conns) pick(now time.Time) (best *conn, mayDial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweepLocked(now)
	if c.closed {
		return nil, false
	}
	for _, candidate := range c.open {
		if best == nil || candidate.load() < best.load() {
			best = candidate
		}
	}
	hasCapacity := len(c.open)+len(c.retired)+c.dialing < c.limit
	mayDial = hasCapacity && (best == nil || best.load() >= callsPerConnection && c.dialing == 0)
	if mayDial {
		c.dialing++
	}
	if best != nil {
		best.begin(now)
	}
	return best, mayDial
}

func (c *conns) dialSpare() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_, _ = c.dial(ctx)
}

// dial opens a connection for which pick has reserved capacity.
func (c *conns) dial(ctx context.Context) (*conn, error) {
	var raw *trackedConn
	dialCtx := context.WithValue(ctx, trackedConnKey{}, &raw)
	client, err := c.transport.NewClientConn(dialCtx, "http", c.address)
	var firstReport Report
	if err == nil {
		firstReport, err = c.identifyOrClose(ctx, client)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing--
	if err != nil {
		return nil, connectError(c.address, err)
	}
	if c.closed {
		_ = client.Close()
		return nil, kind.Errorf(kind.ConnectFailed, "connections to leaf at %s are closed", c.address)
	}
	fresh := &conn{client: client, raw: raw, firstReport: firstReport}
	c.open = append(c.open, fresh)
	return fresh, nil
}

// connectError classifies the error of a connection that could not be opened. A leaf that
// accepts a connection but does not identify itself in time may be busy; its process has not
// necessarily ended.
func connectError(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) && kind.Of(err) == kind.ConnectionLost {
		return kind.Errorf(kind.DeadlinePassed, "leaf at %s did not identify itself on a new connection in time: %w", address, err)
	}
	return kind.Errorf(kind.ConnectFailed, "connect to leaf at %s: %w", address, err)
}

// identifyOrClose returns the leaf's report on a new connection, and closes the connection if
// there is none.
func (c *conns) identifyOrClose(ctx context.Context, client *http.ClientConn) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	report, err := c.identify(ctx, client)
	if err != nil {
		_ = client.Close()
	}
	return report, err
}

// sweepLocked removes failed connections and retires stalled ones.
func (c *conns) sweepLocked(now time.Time) {
	c.retired = keepAfter(c.retired, now)
	kept := c.open[:0]
	for _, candidate := range c.open {
		switch {
		case candidate.client.Err() != nil:
			_ = candidate.client.Close()
		case c.stallConfirmedLocked(candidate, now):
			c.retireLocked(candidate, now)
		default:
			kept = append(kept, candidate)
		}
	}
	c.open = kept
}

// stallConfirmedLocked reports whether a connection has been found stalled by checks at
// least stallConfirmTime apart. One check is not enough: after a pause of this process
// the bytes of some connections are read before those of others.
func (c *conns) stallConfirmedLocked(candidate *conn, now time.Time) bool {
	if !c.isStalled(candidate, now) {
		candidate.stalledSince = time.Time{}
		return false
	}
	if candidate.stalledSince.IsZero() {
		candidate.stalledSince = now
	}
	return now.Sub(candidate.stalledSince) >= stallConfirmTime
}

// isStalled reports whether a connection with calls in flight has received no byte for
// stallTimeout, while another connection has received bytes since.
func (c *conns) isStalled(candidate *conn, now time.Time) bool {
	since, busy := candidate.busy()
	if !busy {
		return false
	}
	if lastReadTime := candidate.raw.lastReadTime(); lastReadTime.After(since) {
		since = lastReadTime
	}
	if now.Sub(since) < stallTimeout {
		return false
	}
	for _, other := range c.open {
		if other != candidate && other.raw.lastReadTime().After(since) {
			return true
		}
	}
	return false
}

func (c *conns) retireLocked(candidate *conn, now time.Time) {
	c.retired = append(c.retired, now.Add(retiredPeriod))
	candidate.retired.Store(true)
	_ = candidate.client.Close()
	_ = candidate.raw.Close()
}

// retire closes a connection whose answers can't be trusted.
func (c *conns) retire(bad *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, candidate := range c.open {
		if candidate == bad {
			c.open = append(c.open[:i], c.open[i+1:]...)
			c.retireLocked(bad, time.Now())
			return
		}
	}
}

func (c *conns) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweepLocked(time.Now())
}

func (c *conns) setLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
}

func (c *conns) counts() (open, retired int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweepLocked(time.Now())
	return len(c.open), len(c.retired)
}

func (c *conns) close() {
	defer c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, candidate := range c.open {
		_ = candidate.client.Close()
	}
	c.open = nil
}

func (c *conn) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 {
		c.busySince = now
	}
	c.inFlight++
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

func (c *conn) load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *conn) busy() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busySince, c.inFlight > 0
}

func keepAfter(times []time.Time, now time.Time) []time.Time {
	kept := times[:0]
	for _, t := range times {
		if t.After(now) {
			kept = append(kept, t)
		}
	}
	return kept
}
