package leafconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

const (
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// writeGrace is the longest time by which an answer may precede the return of the write
	// of its request. With a longer lead, the leaf has answered before it read the request.
	writeGrace = 2 * time.Millisecond
	// maxForeignAnswers is the maximum number of answers to other requests that are skipped.
	// After more, the connection is closed.
	maxForeignAnswers = 2
	// maxCopiedBody is the size up to which a body is copied, to be sent together with its head. A larger
	// one is sent from the memory that all calls of its request share.
	maxCopiedBody = 16 << 10
)

// errForeign is the error of an exchange that received only answers to other requests.
var errForeign = errors.New("received answers to other requests")

// Request is one request to a leaf.
type Request struct {
	Method string
	// URI is the request target as sent in the request line.
	URI  string
	Host string
	// Header returns the headers. It is called immediately before the request is sent,
	// which may be long after Do was called if all connections are in use.
	Header func() http.Header
	Body   []byte
	// Matches reports whether an answer with these headers belongs to the request.
	Matches func(http.Header) bool
	// MaxIdle is the maximum time that the connection may have been idle; zero sets no
	// limit.
	MaxIdle time.Duration
	// Withdrawn is closed when nobody waits for the answer any more. A request that has not been
	// sent by then is not sent, and one that has been sent is not affected. It may be nil.
	Withdrawn <-chan struct{}
	// Check is called before the request is sent, after it may have waited for a connection. If
	// it fails, the request is not sent. It may be nil.
	Check func() error
	// Tenant is the tenant of the request; waiting requests of the same priority share the
	// connections fairly by tenant.
	Tenant string
	// Priority is the priority of the request among those that wait for a connection; 0
	// is the most urgent.
	Priority int
}

// Answer is a complete answer of a leaf.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Took is the time from the start of sending the request to the end of the answer.
	Took time.Duration
	// memory is where reserved bytes are reserved for the body, and head bytes
	// for the headers.
	memory   *memlimit.Memory
	reserved int
	head     int
	// endsAtEOF is set if only the end of the connection marks the end of the body.
	endsAtEOF bool
}

// Shrink replaces the body by a shorter one and releases the memory that is not needed any
// more.
func (a *Answer) Shrink(body []byte) {
	a.Body = body
	if a.memory != nil && len(body) < a.reserved {
		a.memory.Release(a.reserved - len(body))
		a.reserved = len(body)
	}
}

// Release releases the memory of the answer. It must not be used afterwards.
func (a *Answer) Release() {
	a.Shrink(nil)
	if a.memory != nil {
		a.memory.Release(a.head)
		a.head = 0
	}
}

// Error is the error of a failed exchange.
type Error struct {
	// Sent is set if a byte of the request may have reached the leaf.
	Sent bool
	// NotConnected is set if no connection could be opened.
	NotConnected bool
	// Withheld is set if the request was not sent although the leaf may be reachable: the pool
	// is closed or paused, no connection became free in time, or the request was withdrawn.
	Withheld bool
	Err      error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// conn is one connection to a leaf.
type conn struct {
	pool *Pool
	raw  net.Conn
	// source bounds the bytes that reader reads of one answer.
	source   *boundedReader
	reader   *bufio.Reader
	openedAt time.Time
	// keepIdle is how long the connection may be idle before it is no longer used.
	keepIdle time.Duration
	// idleSince, usableUntil and isClosed are guarded by the pool's mutex.
	idleSince   time.Time
	usableUntil time.Time
	isClosed    bool
	// mu guards pending and ended.
	mu      sync.Mutex
	pending *exchange
	// ended is set once readLoop reads no more answers.
	ended bool
}

// exchange is a request that waits for its answer.
type exchange struct {
	request *Request
	started time.Time
	// written is closed once the whole request is written.
	written chan struct{}
	done    chan result
}

type result struct {
	answer *Answer
	err    error
}

func newConn(p *Pool, raw net.Conn) *conn {
	source := &boundedReader{Reader: raw, memory: p.memory}
	source.beginHead()
	return &conn{pool: p, raw: raw, openedAt: time.Now(), source: source, reader: bufio.NewReaderSize(source, readBuffer), keepIdle: defaultIdleTimeout}
}

// Do sends a request once and returns its answer. If ctx ends first, the connection is
// closed, which signals the leaf to stop. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, e, err := p.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { p.discard(c) })
	defer stop()
	n, err := r.writeTo(c.raw)
	if err != nil {
		p.discard(c)
		got := <-e.done
		if got.answer != nil && got.answer.completeDespite(err) {
			// The leaf answered before it had read the whole request.
			return got.answer, nil
		}
		if got.answer != nil {
			got.answer.Release()
		}
		return nil, &Error{Sent: n > 0 || got.answer != nil, Err: fmt.Errorf("send: %w", cause(ctx, err))}
	}
	close(e.written)
	got := <-e.done
	if got.err != nil {
		return nil, &Error{Sent: true, Err: cause(ctx, got.err)}
	}
	return got.answer, nil
}

// completeDespite reports whether the answer is complete although the write of its request has failed
// with err. A socket reports a reset only once: if the write has got that error, the next read sees
// EOF, as if the leaf had closed the connection after its answer.
func (a *Answer) completeDespite(err error) bool {
	// With net.ErrClosed this node has closed the connection itself, after it had read the answer.
	return !a.endsAtEOF || errors.Is(err, net.ErrClosed)
}

// begin returns a connection whose next answer belongs to the request.
func (p *Pool) begin(ctx context.Context, r *Request) (*conn, *exchange, error) {
	for {
		c, err := p.acquire(ctx, r)
		if err == nil {
			err = p.checkUsable(ctx, c, r)
		}
		if err != nil {
			withheld := isWithheld(err)
			return nil, nil, &Error{NotConnected: !withheld, Withheld: withheld, Err: fmt.Errorf("connect: %w", err)}
		}
		e := &exchange{request: r, started: time.Now(), written: make(chan struct{}), done: make(chan result, 1)}
		if c.setPending(e) {
			return c, e, nil
		}
		// The leaf has just closed the idle connection.
		p.discard(c)
	}
}

// isWithheld reports whether a request that failed with err was not sent although the leaf may be
// reachable.
func isWithheld(err error) bool {
	return slices.ContainsFunc([]error{errClosed, errPaused, errNoFreeConn, errForbidden, errWithdrawn},
		func(reason error) bool { return errors.Is(err, reason) })
}

// checkUsable releases a connection and returns an error if the pool was closed or paused while
// the connection was opened, if nobody waits for the answer any more, or if the request may no longer be
// sent.
func (p *Pool) checkUsable(ctx context.Context, c *conn, r *Request) error {
	p.mu.Lock()
	err := p.unusable(time.Now())
	p.mu.Unlock()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errNoFreeConn, ctx.Err())
	}
	if err == nil && r.isWithdrawn() {
		err = errWithdrawn
	}
	if err == nil && r.Check != nil {
		if forbidden := r.Check(); forbidden != nil {
			err = fmt.Errorf("%w: %w", errForbidden, forbidden)
		}
	}
	if err != nil {
		p.release(c)
	}
	return err
}

// cause returns the error of ctx if it has ended, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// setPending makes e the exchange to which the next answer belongs. It reports false if the
// connection has ended or another exchange is pending.
func (c *conn) setPending(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.pending != nil {
		return false
	}
	c.pending = e
	return true
}

// currentOrEnd returns the pending exchange. If there is none, it marks the connection as ended.
func (c *conn) currentOrEnd() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.pending == nil
	return c.pending
}

// readLoop reads answers until the connection ends. It also detects the end of an idle
// connection.
func (c *conn) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		e := c.currentOrEnd()
		if e == nil && err != nil {
			c.pool.idleConnClosed(c)
			return
		}
		if e == nil {
			c.pool.discard(c)
			return
		}
		if err != nil {
			c.finish(e, nil, err, false)
			return
		}
		answer, reusable, err := c.readAnswer(e)
		if !c.finish(e, answer, err, reusable) {
			return
		}
	}
}

// finish delivers the outcome of e and reports whether the connection can be used again.
func (c *conn) finish(e *exchange, answer *Answer, err error, reusable bool) bool {
	reusable = reusable && err == nil && e.requestWritten() && c.reader.Buffered() == 0
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	if reusable {
		c.pool.release(c)
	} else {
		c.pool.discard(c)
	}
	e.done <- result{answer, err}
	return reusable
}

// requestWritten reports whether the whole request is written. It is called when the answer
// has arrived and waits for up to writeGrace.
func (e *exchange) requestWritten() bool {
	select {
	case <-e.written:
		return true
	default:
	}
	select {
	case <-e.written:
		return true
	case <-time.After(writeGrace):
		return false
	}
}

// readAnswer reads the answer to e. It skips answers to other requests and interim responses.
func (c *conn) readAnswer(e *exchange) (answer *Answer, reusable bool, err error) {
	asked := &http.Request{Method: e.request.Method}
	for range maxForeignAnswers + 1 {
		c.source.beginHead()
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			c.pool.memory.Release(c.source.endHead())
			return nil, false, fmt.Errorf("read answer: %w", err)
		}
		head := c.source.beginBody()
		if err := checkStatus(response); err != nil {
			c.pool.memory.Release(head)
			return nil, false, err
		}
		body, reserved, err := c.readBody(response)
		if err != nil {
			c.pool.memory.Release(head + reserved)
			return nil, false, fmt.Errorf("read answer body: %w", err)
		}
		if response.StatusCode < http.StatusOK || !e.request.Matches(response.Header) {
			c.pool.memory.Release(head + reserved)
			if response.Close {
				return nil, false, errForeign
			}
			continue
		}
		c.setKeepIdle(response.Header.Get("Keep-Alive"))
		answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Took: time.Since(e.started),
			memory: c.pool.memory, reserved: reserved, head: head, endsAtEOF: endsAtEOF(response)}
		return answer, !response.Close, nil
	}
	return nil, false, errForeign
}

// endsAtEOF reports whether only the end of the connection marks the end of a response's body.
func endsAtEOF(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}

// ErrInvalidStatus is the error of an answer whose status is none of HTTP, or an interim one that
// can't be followed by the answer.
var ErrInvalidStatus = errors.New("the answer has an invalid status")

// maxStatus is the greatest status that HTTP defines a class for.
const maxStatus = 599

// checkStatus returns an error unless a response is an answer, or an interim response before it.
func checkStatus(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue, r.StatusCode > maxStatus, r.StatusCode == http.StatusSwitchingProtocols:
	case r.StatusCode < http.StatusOK && (r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0):
		// The bytes of the body would be taken for the answer.
	default:
		return nil
	}
	return fmt.Errorf("%w: %.20q", ErrInvalidStatus, r.Status)
}

// setKeepIdle sets keepIdle by the timeout in a Keep-Alive header.
func (c *conn) setKeepIdle(header string) {
	for _, word := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(word), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.keepIdle = time.Duration(float64(n) * idleTimeoutFraction * float64(time.Second))
		}
	}
}

// isWithdrawn reports whether nobody waits for the answer any more.
func (r *Request) isWithdrawn() bool {
	select {
	case <-r.Withdrawn:
		return true
	default:
		return false
	}
}

// writeTo writes the request, and returns the number of bytes written.
func (r *Request) writeTo(w io.Writer) (int, error) {
	head := r.encodeHead()
	if r.copiedBytes() > 0 {
		return w.Write(append(head, r.Body...))
	}
	n, err := w.Write(head)
	if err != nil || len(r.Body) == 0 {
		return n, err
	}
	m, err := w.Write(r.Body)
	return n + m, err
}

// copiedBytes returns the size of the body if it is copied, or else zero.
func (r *Request) copiedBytes() int {
	if len(r.Body) > maxCopiedBody {
		return 0
	}
	return len(r.Body)
}

// encodeHead returns the head of the request, with room for a body that is copied.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + r.copiedBytes())
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header() {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
