package leafconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// TestNewestWaiterIsServedFirst has more requests than connections. The request that has
// waited longest is the least likely to be answered in time.
func TestNewestWaiterIsServedFirst(t *testing.T) {
	require.Equal(t, []int{2, 1, 0}, servedOrder(t, []int{1, 1, 1}))
}

// TestUrgentWaiterIsServedFirst has requests of two priorities for one connection.
func TestUrgentWaiterIsServedFirst(t *testing.T) {
	require.Equal(t, []int{2, 0, 3, 1}, servedOrder(t, []int{1, 2, 1, 2}))
}

// servedOrder has requests of the given priorities wait for one connection, and returns
// their indices in the order in which they got it.
func servedOrder(t *testing.T, priorities []int) []int {
	requests := make([]Request, len(priorities))
	for i, priority := range priorities {
		requests[i].Priority = priority
	}
	return servedIndices(t, requests)
}

// servedIndices has requests wait for one connection, and returns their indices in the order in which
// they got it.
func servedIndices(t *testing.T, requests []Request) []int {
	var served []int
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("leaf", 1, true, memlimit.New(0))
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		c := newConn(p, near)
		p.open = 1
		for i := range requests {
			go func() {
				got, err := p.acquire(context.Background(), &requests[i])
				if assert.NoError(t, err) {
					served = append(served, i)
					p.release(got)
				}
			}()
			synctest.Wait()
		}
		p.release(c)
		synctest.Wait()
	})
	return served
}

// slowWriter returns from each write some time after the peer has read it.
type slowWriter struct {
	net.Conn
	delay time.Duration
}

func (w slowWriter) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	time.Sleep(w.delay)
	return n, err
}

// TestAnswerBeforeWriteReturnsKeepsConnection guards against closing a connection after an
// answer only because the goroutine that wrote the request has not run since.
func TestAnswerBeforeWriteReturnsKeepsConnection(t *testing.T) {
	for _, c := range []struct {
		by   time.Duration
		kept int
	}{{0, 1}, {writeGrace / 2, 1}, {2 * writeGrace, 0}} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPool("leaf", 1, true, memlimit.New(0))
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			leaf := newConn(p, slowWriter{near, c.by})
			p.open = 1
			p.idle, leaf.usableUntil = []*conn{leaf}, time.Now().Add(time.Minute)
			go leaf.readLoop()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(far)); assert.NoError(t, err) {
					_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					assert.NoError(t, err)
				}
			}()
			answer, err := p.Do(t.Context(), plainRequest())
			require.NoError(t, err)
			require.Equal(t, "ok", string(answer.Body))
			synctest.Wait()
			require.Len(t, p.idle, c.kept)
		})
	}
}

func plainRequest() *Request {
	return &Request{
		Method: "GET", URI: "/", Host: "h", Header: func() http.Header { return nil },
		Matches: func(http.Header) bool { return true },
	}
}

// TestEndedConnectionIsNotUsed has the leaf close an idle connection after a request has taken
// it. A request that waited for an answer on it would wait forever.
func TestEndedConnectionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("leaf", 1, true, memlimit.New(0))
		near, far := net.Pipe()
		leaf := newConn(p, near)
		p.open = 1
		p.idle, leaf.usableUntil = []*conn{leaf}, time.Now().Add(time.Minute)
		go leaf.readLoop()
		taken, err := p.acquire(t.Context(), plainRequest())
		require.NoError(t, err)
		require.NoError(t, far.Close())
		synctest.Wait()
		require.False(t, taken.setPending(&exchange{request: plainRequest()}))
	})
}

// TestPauseFailsWaitingRequests has one request use the only connection and another wait for it.
func TestPauseFailsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = time.Second
		p := NewPool("leaf", 1, true, memlimit.New(0))
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		leaf := newConn(p, near)
		p.open = 1
		p.idle, leaf.usableUntil = []*conn{leaf}, time.Now().Add(time.Minute)
		go leaf.readLoop()
		answer := make(chan struct{})
		go func() {
			in := bufio.NewReader(far)
			for {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				<-answer
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := p.Do(t.Context(), plainRequest())
				errs <- err
			}()
			synctest.Wait()
		}
		p.Pause(time.Now().Add(pause))
		p.Pause(time.Now().Add(pause / 10))
		assertWithheld(t, <-errs)
		close(answer)
		require.NoError(t, <-errs, "the request that was sent")
		time.Sleep(pause / 2)
		_, err := p.Do(t.Context(), plainRequest())
		assertWithheld(t, err)
		time.Sleep(pause / 2)
		_, err = p.Do(t.Context(), plainRequest())
		require.NoError(t, err)
	})
}

func assertWithheld(t *testing.T, err error) {
	t.Helper()
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.True(t, failed.Withheld)
	assert.False(t, failed.Sent)
	assert.False(t, failed.NotConnected)
}

// TestWithdrawnRequestIsNotSent guards against requests that reach a leaf after nobody waits for their
// answers: one that waits for a connection, and one that has just got it.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("leaf", 1, true, memlimit.New(0))
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		leaf := newConn(p, near)
		p.open = 1
		withdrawn := make(chan struct{})
		waiting := plainRequest()
		waiting.Withdrawn = withdrawn
		errs := make(chan error, 1)
		go func() {
			_, err := p.Do(t.Context(), waiting)
			errs <- err
		}()
		synctest.Wait()
		require.Len(t, p.waiters, 1)
		close(withdrawn)
		err := <-errs
		assertWithheld(t, err)
		require.ErrorIs(t, err, context.Canceled)
		require.Empty(t, p.waiters)

		p.release(leaf)
		go leaf.readLoop()
		_, err = p.Do(t.Context(), waiting)
		assertWithheld(t, err)
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = p.Do(canceled, plainRequest())
		assertWithheld(t, err)
		require.Len(t, p.idle, 1, "the connection stays usable")
	})
}
