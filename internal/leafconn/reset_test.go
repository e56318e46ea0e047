package leafconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// failingWriteConn is a connection that the leaf answers before it has read the request. The write
// fails once the answer has been read up to EOF, or this node closes the connection.
type failingWriteConn struct {
	net.Conn
	answer                 io.Reader
	begun, atEOF, closed   chan struct{}
	writeErr               error
	failWhenRead, isClosed sync.Once
}

func (c *failingWriteConn) Read(b []byte) (int, error) {
	<-c.begun
	n, err := c.answer.Read(b)
	if err != nil && !errors.Is(c.writeErr, net.ErrClosed) {
		c.failWhenRead.Do(func() { close(c.atEOF) })
	}
	return n, err
}

func (c *failingWriteConn) Write(b []byte) (int, error) {
	close(c.begun)
	select {
	case <-c.atEOF:
	case <-c.closed:
	}
	return len(b) / 2, c.writeErr
}

func (c *failingWriteConn) Close() error {
	c.isClosed.Do(func() { close(c.closed) })
	return nil
}

// TestResetSeenByWriteEndsAnswer guards against a part of an answer that callers get as a whole one: the
// connection was reset on the way, and the write of the request took the socket's error.
func TestResetSeenByWriteEndsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer string
		writeErr       error
		complete       bool
	}{
		"no length, reset":         {http.MethodPost, "HTTP/1.1 200 OK\r\n\r\nhal", syscall.ECONNRESET, false},
		"no length, broken pipe":   {http.MethodPost, "HTTP/1.1 200 OK\r\n\r\nhal", syscall.EPIPE, false},
		"no length, timed out":     {http.MethodGet, "HTTP/1.0 404 Not Found\r\n\r\n", syscall.ETIMEDOUT, false},
		"no length, own close":     {http.MethodPost, "HTTP/1.1 200 OK\r\n\r\nwhole", net.ErrClosed, true},
		"length, reset":            {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", syscall.ECONNRESET, true},
		"shorter than length":      {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal", syscall.ECONNRESET, false},
		"chunks, reset":            {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", syscall.ECONNRESET, true},
		"without the last chunk":   {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n", syscall.ECONNRESET, false},
		"HEAD, no length, reset":   {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", syscall.ECONNRESET, true},
		"status 204, reset":        {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", syscall.ECONNRESET, true},
		"interim, then cut, reset": {http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhal", syscall.ECONNRESET, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool("leaf", 1, true, memlimit.New(1<<20))
			leaf := newConn(p, &failingWriteConn{
				answer: strings.NewReader(c.answer), writeErr: c.writeErr,
				begun: make(chan struct{}), atEOF: make(chan struct{}), closed: make(chan struct{}),
			})
			p.open = 1
			p.release(leaf)
			go leaf.readLoop()
			r := plainRequest()
			r.Method = c.method
			answer, err := p.Do(t.Context(), r)
			if c.complete {
				require.NoError(t, err)
				answer.Release()
			} else {
				var failed *Error
				require.ErrorAs(t, err, &failed)
				assert.True(t, failed.Sent)
			}
			assert.Zero(t, p.memory.Used())
		})
	}
}
