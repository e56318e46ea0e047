// Package callerconn accepts the connections of callers and bounds what they hold of the process.
package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/redwingshelf/redwingshelf/internal/intake"
)

const (
	// connBytes is about the memory that the server takes for one connection.
	connBytes = 24 << 10
	// connMemoryRatio and requestMemoryRatio are the fractions of the memory for data for the
	// connections of callers and for the requests that are received or served. A request takes up to
	// twice its size, while the buffer of its body grows.
	connMemoryRatio    = 0.2
	requestMemoryRatio = 0.1
	// receiveBytes is the size of the system's receive buffer of a connection. A fixed one does not grow
	// for a caller that sends much before the process stops reading.
	receiveBytes = 64 << 10
	// unsentBytes is the number of bytes that the system takes of an answer before it can send them.
	unsentBytes = 32 << 10
	// reservedFiles are not available for sockets, and callerFilesRatio is the fraction of the others
	// that callers' connections may use.
	reservedFiles    = 200
	callerFilesRatio = 0.5
	// defaultConns and defaultRequestBytes apply if neither memory nor descriptors are limited.
	defaultConns        = 16 << 10
	defaultRequestBytes = 64 << 20
	// writeBytes is the size of the parts in which answers are written.
	writeBytes = 64 << 10
	// minConns and minRequestBytes let a process serve also if its limits are set too low for that.
	minConns        = 16
	minRequestBytes = 1 << 20
)

// refusalTimeout bounds the time to write a refusal.
const refusalTimeout = 100 * time.Millisecond

// refusal is the answer to a request for whose head there is no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errRemoved is the error of reading on a connection that was closed in favour of others.
var errRemoved = errors.New("the connection was closed in favour of others that make progress")

// Limits returns the limits of a process with memoryBytes of memory for data and a limit of descriptors.
// Zero means that there is none.
func Limits(memoryBytes int64, files int) intake.Limits {
	l := intake.Limits{Conns: defaultConns, Bytes: defaultRequestBytes}
	if memoryBytes > 0 {
		l.Conns = min(l.Conns, int(connMemoryRatio*float64(memoryBytes)/connBytes))
		l.Bytes = max(int64(requestMemoryRatio*float64(memoryBytes)), minRequestBytes)
	}
	if files > 0 {
		l.Conns = min(l.Conns, int(callerFilesRatio*float64(files-reservedFiles)))
	}
	l.Conns = max(l.Conns, minConns)
	return l
}

// Listener accepts connections within limits. It implements net.Listener.
type Listener struct {
	net.Listener
	start   time.Time
	removed tally.Counter
	refused tally.Counter
	// mu guards account and byAccount.
	mu        sync.Mutex
	account   *intake.Account
	byAccount map[*intake.Conn]*Conn
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *Listener
	entry    *intake.Conn
	// headRead is set while the body of a request is read. listener.mu guards it.
	headRead bool
}

// Listen bounds the connections of a listener.
func Listen(l net.Listener, limits intake.Limits, scope tally.Scope) *Listener {
	return &Listener{
		Listener: l, start: time.Now(), account: intake.NewAccount(limits), byAccount: map[*intake.Conn]*Conn{},
		removed: scope.Counter("connections_removed"), refused: scope.Counter("connections_refused"),
	}
}

func (l *Listener) now() time.Duration { return time.Since(l.start) }

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(raw); c != nil {
			return c, nil
		}
		l.refused.Inc(1)
		_ = raw.Close()
	}
}

func (l *Listener) open(raw net.Conn) *Conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		boundBuffers(tcp)
	}
	l.mu.Lock()
	entry, victim := l.account.Open(l.now())
	var removed *Conn
	if victim != nil {
		removed = l.take(victim)
	}
	var c *Conn
	if entry != nil {
		c = &Conn{Conn: raw, listener: l, entry: entry}
		l.byAccount[entry] = c
	}
	l.mu.Unlock()
	l.remove(removed)
	return c
}

// boundBuffers bounds what the system buffers for a connection that is not read, or whose caller does not
// read. Without these options, which some systems lack, the system's own bounds apply.
func boundBuffers(c *net.TCPConn) {
	_ = c.SetReadBuffer(receiveBytes)
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
}

// take returns the connection of an entry that the account has removed. mu is held.
func (l *Listener) take(entry *intake.Conn) *Conn {
	c := l.byAccount[entry]
	delete(l.byAccount, entry)
	return c
}

// remove closes a connection that lost its place to another one. It is reset, so that the system frees
// what its caller has not taken.
func (l *Listener) remove(c *Conn) {
	if c == nil {
		return
	}
	l.removed.Inc(1)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// RemoveStalled closes the connection of a caller that does not take its answer. It returns false if there
// is none.
func (l *Listener) RemoveStalled() bool {
	l.mu.Lock()
	var removed *Conn
	if entry := l.account.RemoveStalled(l.now()); entry != nil {
		removed = l.take(entry)
	}
	l.mu.Unlock()
	l.remove(removed)
	return removed != nil
}

// Usage returns the number of connections and the bytes of their requests.
func (l *Listener) Usage() (conns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account.Conns(), l.account.Bytes()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	l := c.listener
	l.mu.Lock()
	size := n
	if !c.headRead {
		size = intake.HeadSize(b[:n])
	}
	victims, ok := l.account.Grow(l.now(), c.entry, size)
	inHead := !c.headRead
	_, present := l.byAccount[c.entry]
	var removed []*Conn
	for _, v := range victims {
		removed = append(removed, l.take(v))
	}
	l.mu.Unlock()
	for _, v := range removed {
		l.remove(v)
	}
	switch {
	case !present:
		return 0, errRemoved
	case !ok && inHead:
		// The server would answer any other error than one of the network with status 400.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, refusal)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: intake.ErrNoRoom}
	case !ok:
		return 0, intake.ErrNoRoom
	}
	return n, err
}

// Write implements net.Conn. It writes long data in parts, to know when the caller has taken one.
func (c *Conn) Write(b []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	l.account.BeginAnswer(l.now(), c.entry, len(b))
	l.mu.Unlock()
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+writeBytes, len(b))])
		written += n
		l.mu.Lock()
		l.account.Progress(l.now(), c.entry, len(b)-written)
		l.mu.Unlock()
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.account.Close(c.entry)
	delete(l.byAccount, c.entry)
	l.mu.Unlock()
	return c.Conn.Close()
}

// Track is the ConnState hook of the server.
func Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(intake.Receiving)
	case http.StateIdle:
		c.setPhase(intake.Idle)
	}
}

type contextKey struct{}

// WithConn is the ConnContext hook of a server whose handler is a Handler and calls RequestRead.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Handler passes requests to next, and takes what arrives from then on for their bodies.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
			c.setHeadRead()
		}
		next.ServeHTTP(w, r)
	})
}

// RequestRead reports that a request has been read completely. It takes the context of the request.
func RequestRead(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.setPhase(intake.Serving)
	}
}

// Underlying returns the connection that the listener has accepted.
func Underlying(conn net.Conn) net.Conn {
	if c, ok := conn.(*Conn); ok {
		return c.Conn
	}
	return conn
}

func (c *Conn) setHeadRead() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.headRead = true
}

func (c *Conn) setPhase(p intake.Phase) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.SetPhase(l.now(), c.entry, p)
	if p != intake.Receiving {
		// What arrives next belongs to the head of another request.
		c.headRead = false
	}
}
