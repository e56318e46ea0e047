package leafconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// TestHeadsStayWithinMemoryLimit guards against faulty leaves whose heads, of many short lines,
// take a node's memory: parsed they are many times as large as on the wire.
func TestHeadsStayWithinMemoryLimit(t *testing.T) {
	const leaves, limit = 100, 8 << 20
	// Each connection may use its buffers and a short head besides.
	const maxHeap = limit + leaves*(256<<10)
	memory := memlimit.New(limit)
	before := liveHeap()
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, leaves)
	heads := make(chan struct{}, leaves)
	for range leaves {
		near, far := net.Pipe()
		p := NewPool("leaf", 1, true, memory)
		c := newConn(p, near)
		p.open = 1
		p.conns[c] = struct{}{}
		p.release(c)
		go c.readLoop()
		go sendHead(far, heads)
		go func() {
			_, err := p.Do(ctx, plainRequest())
			failed <- err
		}()
	}
	for range leaves {
		<-heads
	}
	require.Less(t, liveHeap()-before, int64(maxHeap))
	cancel()
	for range leaves {
		require.Error(t, <-failed)
	}
	require.Eventually(t, func() bool { return memory.Used() == 0 }, 5*time.Second, time.Millisecond)
}

// sendHead reads a request and sends most of a head of the maximum size. Then it waits for the end
// of the connection. It reports once it has sent the head, or could not.
func sendHead(c net.Conn, sent chan<- struct{}) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n")
	}
	for size := 0; err == nil && size < maxHeaderBytes-readBuffer; {
		var n int
		n, err = fmt.Fprintf(c, "x%d:\r\n", size)
		size += n
	}
	sent <- struct{}{}
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
		_ = request.Body.Close()
	}
}

// liveHeap returns the size of all objects that are in use.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// FuzzReadAnswer checks that no bytes sent by a leaf exceed the limits, and that the memory
// of a body is released.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add(bytes.Repeat([]byte("HTTP/1.1 102 Processing\r\n\r\n"), 50))
	f.Fuzz(func(t *testing.T, data []byte) {
		memory := memlimit.New(1 << 20)
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		c := newConn(NewPool("leaf", 1, true, memory), near)
		c.source.Reader = bytes.NewReader(data)
		e := &exchange{request: plainRequest()}
		answer, _, err := c.readAnswer(e)
		if err == nil {
			require.GreaterOrEqual(t, answer.Status, http.StatusOK)
			require.LessOrEqual(t, int64(cap(answer.Body)), memory.Used())
			answer.Release()
		}
		require.Zero(t, memory.Used())
	})
}
