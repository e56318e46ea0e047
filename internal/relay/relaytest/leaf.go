// Package relaytest provides a test leaf and a test dialect for package relay.
package relaytest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/relay"
)

// Headers that Dialect reads and writes.
const (
	HeaderID      = "Test-Id"
	HeaderLeft    = "Test-Left-Ms"
	HeaderLeaf    = "Test-Leaf"
	HeaderNotRun  = "Test-Not-Run"
	HeaderSigned  = "Test-Signed"
	HeaderParts   = "Test-Parts"
	HeaderMissing = "Test-Missing"
	HeaderKey     = "Test-Key"
	HeaderTenant  = "Test-Tenant"
)

// Dialect implements relay.Dialect.
type Dialect struct{}

// ReadRequest implements relay.Dialect.
func (Dialect) ReadRequest(h http.Header) (string, time.Duration) {
	ms, err := strconv.Atoi(h.Get(HeaderLeft))
	if err != nil {
		ms = 0
	}
	return h.Get(HeaderID), time.Duration(ms) * time.Millisecond
}

// ReadKey implements relay.Dialect.
func (Dialect) ReadKey(h http.Header) string {
	if len(h.Values(HeaderKey)) != 1 {
		return ""
	}
	return h.Get(HeaderKey)
}

// SetTenant implements relay.Dialect.
func (Dialect) SetTenant(h http.Header, tenant string) {
	h.Del(HeaderKey)
	h.Del(HeaderTenant)
	if tenant != "" {
		h.Set(HeaderTenant, tenant)
	}
}

// SetForwardHeaders implements relay.Dialect.
func (Dialect) SetForwardHeaders(h http.Header, leaf string, left time.Duration) {
	h.Set(HeaderLeaf, leaf)
	h.Set(HeaderLeft, strconv.FormatInt(left.Milliseconds(), 10))
}

// ReadAnswer implements relay.Dialect.
func (Dialect) ReadAnswer(status int, h http.Header) relay.LeafAnswer {
	return relay.LeafAnswer{
		ID: h.Get(HeaderID), Signature: h.Get(HeaderSigned),
		NotRun: h.Get(HeaderNotRun) != "", WrongLeaf: status == http.StatusMisdirectedRequest && h.Get(HeaderSigned) == "",
		Encoded: h.Get("Content-Encoding") != "", Successful: status/100 == 2,
	}
}

// SetGatheredHeaders implements relay.Dialect.
func (Dialect) SetGatheredHeaders(h http.Header, signatures []string, missing int) {
	h[HeaderParts] = signatures
	h.Set(HeaderMissing, strconv.Itoa(missing))
}

// RemoveSignature implements relay.Dialect.
func (Dialect) RemoveSignature(h http.Header) { h.Del(HeaderSigned) }

// Script answers a request on a connection. It returns false to close the
// connection.
type Script func(c net.Conn, r *http.Request) bool

// Leaf is a test leaf that answers requests with a script.
type Leaf struct {
	Address  string
	listener net.Listener
	// mu guards the fields below.
	mu       sync.Mutex
	script   Script
	requests []string
	conns    int
	running  int
	open     map[net.Conn]bool
}

// NewLeaf starts a leaf that is closed when the test ends.
func NewLeaf(t testing.TB, script Script) *Leaf {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Leaf{Address: listener.Addr().String(), listener: listener, script: script, open: map[net.Conn]bool{}}
	t.Cleanup(l.Close)
	go l.serve()
	return l
}

// SetScript replaces the script of the leaf.
func (l *Leaf) SetScript(script Script) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script = script
}

// Close closes the leaf's listener.
func (l *Leaf) Close() { _ = l.listener.Close() }

// Crash simulates the end of the leaf's process: it closes the listener and resets all
// connections.
func (l *Leaf) Crash() {
	l.Close()
	l.ResetAll()
}

// ResetAll resets all connections, as happens when the leaf's process ends and restarts at once.
func (l *Leaf) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		Reset(c, nil)
		_ = c.Close()
	}
}

// Requests returns the IDs of the requests that have arrived.
func (l *Leaf) Requests() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.requests...)
}

// Running returns the number of requests that the script is answering.
func (l *Leaf) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Conns returns the number of connections that have been accepted.
func (l *Leaf) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

func (l *Leaf) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns++
		l.open[c] = true
		l.mu.Unlock()
		go l.serveConn(c)
	}
}

func (l *Leaf) serveConn(c net.Conn) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, c)
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.requests = append(l.requests, r.Header.Get(HeaderID))
		script := l.script
		l.running++
		l.mu.Unlock()
		keep := script(c, r)
		l.mu.Lock()
		l.running--
		l.mu.Unlock()
		if !keep {
			return
		}
	}
}

// Answer returns a script that answers with a status, a signature and a body.
func Answer(status int, signature, body string) Script {
	return func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprint(c, Response(status, r.Header.Get(HeaderID), signature, body))
		return err == nil
	}
}

// Response returns the bytes of a complete answer.
func Response(status int, id, signature, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), HeaderID, id, len(body))
	if signature != "" {
		head += HeaderSigned + ": " + signature + "\r\n"
	}
	return head + "\r\n" + body
}

// NotRun is a Script that answers that the leaf has not run the request.
func NotRun(c net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderNotRun, HeaderID, r.Header.Get(HeaderID))
	return err == nil
}

// Reset is a Script that resets the connection instead of answering.
func Reset(c net.Conn, _ *http.Request) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}
