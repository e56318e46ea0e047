package target_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/standin"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

// Types and flags of HTTP/2 frames.
const (
	frameHeaders      = 1
	frameSettings     = 4
	framePing         = 6
	frameContinuation = 9
	flagAck           = 1
	flagEndStream     = 1
	flagEndHeaders    = 4
	frameHeaderSize   = 9
	prefaceSize       = 24
)

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

// field is a header field in HPACK, not indexed and not compressed.
func field(name, value string) []byte {
	b := append([]byte{0, byte(len(name))}, name...)
	return append(append(b, byte(len(value))), value...)
}

// statusOK is the HPACK form of ":status: 200".
const statusOK = 0x88

// endlessLeaf accepts connections, and counts the bytes that it sends and the open connections
// on which it has sent without end.
type endlessLeaf struct {
	net.Listener
	sent, misused atomic.Int64
}

func newEndlessLeaf(t *testing.T) *endlessLeaf {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &endlessLeaf{Listener: listener}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (l *endlessLeaf) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endlessConn{Conn: c, leaf: l}, nil
}

type endlessConn struct {
	net.Conn
	leaf            *endlessLeaf
	misused, closed atomic.Bool
}

// misuse records that the leaf sends without end on the connection.
func (c *endlessConn) misuse() {
	if !c.misused.Swap(true) {
		c.leaf.misused.Add(1)
	}
}

func (c *endlessConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.leaf.sent.Add(int64(n))
	return n, err
}

func (c *endlessConn) Close() error {
	if !c.closed.Swap(true) && c.misused.Load() {
		c.leaf.misused.Add(-1)
	}
	return c.Conn.Close()
}

// serveFrames answers the first request of each connection with a report, and runs a script for
// the next one.
func (l *endlessLeaf) serveFrames(script func(c net.Conn, stream uint32) error) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			_ = serveConn(c, script)
		}()
	}
}

func serveConn(c net.Conn, script func(c net.Conn, stream uint32) error) error {
	if _, err := io.ReadFull(c, make([]byte, prefaceSize)); err != nil {
		return err
	}
	reply := frame(frameSettings, 0, 0, nil)
	for {
		if _, err := c.Write(reply); err != nil {
			return err
		}
		reply = nil
		header := make([]byte, frameHeaderSize)
		if _, err := io.ReadFull(c, header); err != nil {
			return err
		}
		payload := make([]byte, int(header[0])<<16|int(header[1])<<8|int(header[2]))
		if _, err := io.ReadFull(c, payload); err != nil {
			return err
		}
		flags, stream := header[4], binary.BigEndian.Uint32(header[5:])
		switch {
		case header[3] == frameSettings && flags&flagAck == 0:
			reply = frame(frameSettings, flagAck, 0, nil)
		case header[3] == framePing && flags&flagAck == 0:
			reply = frame(framePing, flagAck, 0, payload)
		case header[3] == frameHeaders && stream == 1:
			report := append([]byte{statusOK}, field("x-leaf-incarnation", "1")...)
			reply = frame(frameHeaders, flagEndStream|flagEndHeaders, stream, append(report, field("x-leaf-state", "warm")...))
		case header[3] == frameHeaders:
			c.(*endlessConn).misuse()
			return script(c, stream)
		}
	}
}

// endlessHead sends one head without end, of fields with values of a size.
func endlessHead(size int) func(c net.Conn, stream uint32) error {
	return func(c net.Conn, stream uint32) error {
		_, err := c.Write(frame(frameHeaders, 0, stream, []byte{statusOK}))
		for i := 0; err == nil; i++ {
			var fields []byte
			for j := 0; len(fields) < 8<<10; j++ {
				fields = append(fields, field(fmt.Sprintf("x%d-%d", i, j), strings.Repeat("v", size))...)
			}
			_, err = c.Write(frame(frameContinuation, 0, stream, fields))
			time.Sleep(time.Millisecond)
		}
		return err
	}
}

// endlessHeads sends informational answers without end.
func endlessHeads(c net.Conn, stream uint32) error {
	var err error
	for err == nil {
		// The index 8 in the static table is ":status: 200"; 0x48 sets another value for it.
		_, err = c.Write(frame(frameHeaders, flagEndHeaders, stream, []byte{0x48, 3, '1', '0', '3'}))
		time.Sleep(100 * time.Microsecond)
	}
	return err
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// serveBodies serves HTTP/2 with a handler for the calls.
func (l *endlessLeaf) serveBodies(t *testing.T, report, run http.HandlerFunc) {
	mux := http.NewServeMux()
	mux.HandleFunc(target.PathReport, report)
	mux.HandleFunc(target.PathRun, run)
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	server.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

func goodReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(target.HeaderIncarnation, "1")
	w.Header().Set(target.HeaderState, "warm")
}

// endlessBody answers with a status and a body without end.
func endlessBody(status int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connKey{}).(*endlessConn).misuse()
		goodReport(w, r)
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		page := bytes.Repeat([]byte("x"), 32<<10)
		for r.Context().Err() == nil {
			if _, err := w.Write(page); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
	}
}

// TestEndlessAnswerIsCutOff guards against a faulty leaf that sends without end: the calls fail,
// their connections are closed, memory is bounded, and other leaves are called meanwhile.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const calls = 40
	// maxHeap bounds the live memory of all calls, and maxSent what the leaf can send before its
	// connections are closed, with socket buffers of both ends.
	const maxHeap = calls * (512 << 10)
	const maxSent = calls * (8 << 20)
	cases := []struct {
		name  string
		serve func(t *testing.T, l *endlessLeaf)
	}{
		{"head of long fields", func(_ *testing.T, l *endlessLeaf) { go l.serveFrames(endlessHead(100)) }},
		{"head of short fields", func(_ *testing.T, l *endlessLeaf) { go l.serveFrames(endlessHead(0)) }},
		{"informational heads", func(_ *testing.T, l *endlessLeaf) { go l.serveFrames(endlessHeads) }},
		{"large head", func(t *testing.T, l *endlessLeaf) {
			l.serveBodies(t, goodReport, endlessBody(http.StatusOK, "X-Padding", strings.Repeat("x", 128<<10)))
		}},
		{"body without length", func(t *testing.T, l *endlessLeaf) { l.serveBodies(t, goodReport, endlessBody(http.StatusOK)) }},
		{"long body", func(t *testing.T, l *endlessLeaf) {
			l.serveBodies(t, goodReport, endlessBody(http.StatusOK, "Content-Length", "1000000000000"))
		}},
		{"body of a refusal", func(t *testing.T, l *endlessLeaf) {
			l.serveBodies(t, goodReport, endlessBody(http.StatusServiceUnavailable, target.HeaderRefusal, "shed", target.HeaderRun, "no"))
		}},
		{"body of a report", func(t *testing.T, l *endlessLeaf) { l.serveBodies(t, endlessBody(http.StatusOK), http.NotFound) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leaf := newEndlessLeaf(t)
			c.serve(t, leaf)
			caller, err := target.NewHTTP("http://"+leaf.Addr().String(), calls, memlimit.New(0))
			require.NoError(t, err)
			defer caller.Close()
			_, good := newLeaf(t, standin.LeafOptions{})
			before := liveHeap()
			failed := make(chan error, calls)
			for range calls {
				go func() {
					r := newRequest()
					r.Deadline = time.Now().Add(5 * time.Second)
					_, err := caller.Call(t.Context(), r)
					failed <- err
				}()
			}
			var peak int64
			for begin := time.Now(); time.Since(begin) < 300*time.Millisecond; {
				peak = max(peak, liveHeap()-before)
				_, err := good.Call(t.Context(), newRequest())
				assert.NoError(t, err, "another leaf")
			}
			for range calls {
				err := <-failed
				var failure *target.CallError
				require.ErrorAs(t, err, &failure)
				assert.NotEqual(t, kind.DeadlineExceeded, kind.Of(err))
				assert.False(t, failure.Died, "the leaf's process has not ended: %v", err)
			}
			require.Eventually(t, func() bool { return leaf.misused.Load() == 0 }, 3*time.Second, time.Millisecond,
				"the connections are closed")
			assert.Less(t, peak, int64(maxHeap))
			assert.Less(t, leaf.sent.Load(), int64(maxSent))
		})
	}
}

// liveHeap returns the size of all objects that are in use.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestRefusalWithBodyKeepsConnection has a leaf explain its refusal in a short body.
func TestRefusalWithBodyKeepsConnection(t *testing.T) {
	leaf := newEndlessLeaf(t)
	leaf.serveBodies(t, goodReport, func(w http.ResponseWriter, r *http.Request) {
		goodReport(w, r)
		w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		w.Header().Set(target.HeaderRefusal, "shed")
		w.Header().Set(target.HeaderRun, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "queue is full")
	})
	caller, err := target.NewHTTP("http://"+leaf.Addr().String(), 1, memlimit.New(0))
	require.NoError(t, err)
	defer caller.Close()
	for range 3 {
		_, err := caller.Call(context.Background(), newRequest())
		require.Equal(t, kind.LeafShed, kind.Of(err), "%v", err)
		open, retired := caller.Counts()
		require.Equal(t, [2]int{1, 0}, [2]int{open, retired})
	}
}
