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
	// silentAfter is how long a connection may owe an answer without any byte
	// arriving while another connection of the leaf does answer.
	silentAfter = 200 * time.Millisecond
	// silentLooks is the time between the two looks at a silent connection.
	silentLooks = 50 * time.Millisecond
	// retiredCountsFor is how long a retired connection counts against the
	// leaf's bound, since the leaf may not have noticed its end.
	retiredCountsFor = 60 * time.Second
	// pingAfter is the time without a byte after which a connection is probed.
	pingAfter = 1 * time.Second
	// pingTimeout is the time that a probe may take before the connection fails.
	pingTimeout = 1 * time.Second
	// connectTimeout bounds the time to open a connection.
	connectTimeout = 300 * time.Millisecond
	// identifyTimeout bounds the time in which a leaf names itself on a new connection,
	// as that of a probe.
	identifyTimeout = pingTimeout
	// callsPerConnection is the number of calls on one connection above which
	// another one is opened.
	callsPerConnection = 1
)

// conns keeps the connections to one leaf within a bound.
type conns struct {
	address   string
	transport *http.Transport
	// identify asks for the report of the leaf at the other end.
	identify func(context.Context, *http.ClientConn) (Report, error)
	// mu guards the fields below.
	mu      sync.Mutex
	limit   int
	dialing int
	open    []*conn
	// retired holds the times until which retired connections count.
	retired []time.Time
	closed  bool
	// wg counts the dials in the background.
	wg sync.WaitGroup
}

// conn is one connection with the times that show whether it is silent.
type conn struct {
	client *http.ClientConn
	raw    *countedConn
	// first is the leaf's report when the connection was opened. It names the process
	// at the other end for the life of the connection.
	first Report
	// silentSince is when the connection was first seen silent; the lock of conns
	// guards it.
	silentSince time.Time
	// retired is set before this end closes the connection.
	retired atomic.Bool
	// mu guards inFlight and owingSince.
	mu         sync.Mutex
	inFlight   int
	owingSince time.Time
}

// countedConn records when bytes last arrived.
type countedConn struct {
	net.Conn
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countedConn) last() time.Time {
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
			Protocols:          protocols,
			DisableCompression: true,
			DialContext:        dialCounted,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingAfter,
				PingTimeout:     pingTimeout,
			},
		},
	}
}

// rawKey is the context key under which dialCounted leaves the connection.
type rawKey struct{}

func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: c}
	counted.lastRead.Store(time.Now().UnixNano())
	if slot, ok := ctx.Value(rawKey{}).(**countedConn); ok {
		*slot = counted
	}
	return counted, nil
}

// get returns a connection with a call begun on it. It opens the first
// connection before it returns, and further ones in the background.
func (c *conns) get(ctx context.Context) (*conn, error) {
	best, mayDial := c.pick(time.Now())
	switch {
	case best != nil && mayDial:
		c.wg.Go(c.dialSpare)
		return best, nil
	case best != nil:
		return best, nil
	case !mayDial:
		return nil, kind.Errorf(kind.ConnectFailed, "leaf at %s has no connection left", c.address)
	}
	fresh, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	fresh.begin(time.Now())
	return fresh, nil
}

// pick begins a call on the least used connection, and reports whether another
// one should be opened. In that case the room for it is already reserved.
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
	room := len(c.open)+len(c.retired)+c.dialing < c.limit
	mayDial = room && (best == nil || best.load() >= callsPerConnection && c.dialing == 0)
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

// dial opens a connection into room that pick has reserved.
func (c *conns) dial(ctx context.Context) (*conn, error) {
	var raw *countedConn
	dialCtx := context.WithValue(ctx, rawKey{}, &raw)
	client, err := c.transport.NewClientConn(dialCtx, "http", c.address)
	var first Report
	if err == nil {
		first, err = c.identified(ctx, client)
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
	fresh := &conn{client: client, raw: raw, first: first}
	c.open = append(c.open, fresh)
	return fresh, nil
}

// connectError classifies a connection that could not be opened. A leaf that accepts it and
// does not name itself in time may be busy, which does not show that its process has ended.
func connectError(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) && kind.Of(err) == kind.ConnectionLost {
		return kind.Errorf(kind.DeadlinePassed, "leaf at %s did not name itself on a new connection: %w", address, err)
	}
	return kind.Errorf(kind.ConnectFailed, "connect to leaf at %s: %w", address, err)
}

// identified returns the report of the leaf on a new connection, which it closes if there
// is none.
func (c *conns) identified(ctx context.Context, client *http.ClientConn) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	report, err := c.identify(ctx, client)
	if err != nil {
		_ = client.Close()
	}
	return report, err
}

// sweepLocked drops failed connections and retires silent ones.
func (c *conns) sweepLocked(now time.Time) {
	c.retired = keepAfter(c.retired, now)
	kept := c.open[:0]
	for _, candidate := range c.open {
		switch {
		case candidate.client.Err() != nil:
			_ = candidate.client.Close()
		case c.silentLocked(candidate, now):
			c.retireLocked(candidate, now)
		default:
			kept = append(kept, candidate)
		}
	}
	c.open = kept
}

// silentLocked reports whether a connection has been silent at two looks. One
// look is not enough: after a pause of this process the bytes of some connections
// are read before those of others.
func (c *conns) silentLocked(candidate *conn, now time.Time) bool {
	if !c.owesTooLong(candidate, now) {
		candidate.silentSince = time.Time{}
		return false
	}
	if candidate.silentSince.IsZero() {
		candidate.silentSince = now
	}
	return now.Sub(candidate.silentSince) >= silentLooks
}

// owesTooLong reports whether a connection owes an answer for too long while
// another connection has received bytes since.
func (c *conns) owesTooLong(candidate *conn, now time.Time) bool {
	since, owing := candidate.owing()
	if !owing {
		return false
	}
	if last := candidate.raw.last(); last.After(since) {
		since = last
	}
	if now.Sub(since) < silentAfter {
		return false
	}
	for _, other := range c.open {
		if other != candidate && other.raw.last().After(since) {
			return true
		}
	}
	return false
}

func (c *conns) retireLocked(candidate *conn, now time.Time) {
	c.retired = append(c.retired, now.Add(retiredCountsFor))
	candidate.retired.Store(true)
	_ = candidate.client.Close()
	_ = candidate.raw.Close()
}

// retire ends one connection whose answers can't be trusted.
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
		c.owingSince = now
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

func (c *conn) owing() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owingSince, c.inFlight > 0
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
