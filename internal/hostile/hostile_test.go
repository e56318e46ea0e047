// Package hostile runs a real node process against crowds of callers that press on its memory and its
// descriptors. It checks that the process lives within its limits and answers an ordinary request
// afterwards.
package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// Limits of the node, lower than those of any host, so that a small crowd is enough.
const (
	memoryMB = 64
	maxFiles = 600
	// reservedFiles are not for sockets.
	reservedFiles = 200
	bodyBytes     = 262144
	headBytes     = 16384
)

// Sizes of the crowds: of those that send much, and of those that only hold connections.
const (
	crowd       = 300
	silentCrowd = 700
	// finishing is the number of callers of a crowd of which one finishes its request.
	finishing = 10
)

var binary string

func TestMain(m *testing.M) {
	path, remove, err := platformtest.BuildNode()
	if err != nil {
		panic(err)
	}
	binary = path
	code := m.Run()
	remove()
	os.Exit(code)
}

// head returns a request head with further header lines.
func head(lines string) string {
	return "POST /x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 60000\r\n" + lines
}

// inPieces writes data in pieces of a size.
func inPieces(w io.Writer, data []byte, size int) {
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

// chunked returns a body in chunks of a size.
func chunked(total, size int) []byte {
	var b bytes.Buffer
	for total > 0 {
		n := min(size, total)
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, bytes.Repeat([]byte("b"), n))
		total -= n
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// endless writes data until the connection ends or limit bytes were written.
func endless(w io.Writer, data []byte, limit int) {
	for written := 0; written < limit; written += len(data) {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// attacks are what the callers of a crowd send. finish is set for one of them in finishing.
var attacks = []struct {
	name    string
	callers int
	send    func(w io.Writer, finish bool)
}{
	{"whole bodies", crowd, func(w io.Writer, finish bool) {
		data := bytes.Repeat([]byte("b"), bodyBytes)
		if !finish {
			data = data[:bodyBytes-1]
		}
		_, _ = w.Write(append([]byte(head(fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))), data...))
	}},
	{"bodies in pieces", crowd, func(w io.Writer, finish bool) {
		_, _ = io.WriteString(w, head(fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)))
		data := bytes.Repeat([]byte("b"), bodyBytes)
		if !finish {
			data = data[:bodyBytes-1]
		}
		inPieces(w, data, 1000)
	}},
	{"one large chunk", crowd, func(w io.Writer, finish bool) {
		data := append([]byte(head("Transfer-Encoding: chunked\r\n\r\n")), chunked(bodyBytes, bodyBytes)...)
		if !finish {
			data = data[:len(data)-8]
		}
		_, _ = w.Write(data)
	}},
	{"very small chunks", crowd, func(w io.Writer, finish bool) {
		data := append([]byte(head("Transfer-Encoding: chunked\r\n\r\n")), chunked(bodyBytes, 8)...)
		if !finish {
			data = data[:len(data)-3]
		}
		inPieces(w, data, 16<<10)
	}},
	{"chunks of one byte", crowd, func(w io.Writer, _ bool) {
		data := append([]byte(head("Transfer-Encoding: chunked\r\n\r\n")), chunked(bodyBytes/8, 1)...)
		inPieces(w, data[:len(data)-3], 16<<10)
	}},
	{"heads over the limit", crowd, func(w io.Writer, _ bool) {
		_, _ = io.WriteString(w, head("X: "+strings.Repeat("x", 16*headBytes)))
	}},
	{"heads just below any limit", crowd, func(w io.Writer, _ bool) {
		_, _ = io.WriteString(w, head("X: "+strings.Repeat("x", 4*headBytes-300)))
	}},
	{"heads without end", crowd, func(w io.Writer, _ bool) {
		_, _ = io.WriteString(w, head(""))
		endless(w, bytes.Repeat([]byte("X: y\r\n"), 200), 1<<20)
	}},
	{"empty lines without end", crowd, func(w io.Writer, _ bool) { endless(w, bytes.Repeat([]byte("\r\n"), 2000), 1<<20) }},
	{"a length and chunks", crowd, func(w io.Writer, _ bool) {
		_, _ = io.WriteString(w, head("Content-Length: 262144\r\nTransfer-Encoding: chunked\r\n\r\n"))
		endless(w, bytes.Repeat([]byte("b"), 4096), bodyBytes-4096)
	}},
	{"two lengths", crowd, func(w io.Writer, _ bool) {
		_, _ = io.WriteString(w, head("Content-Length: 262144\r\nContent-Length: 5\r\n\r\n"))
		endless(w, bytes.Repeat([]byte("b"), 4096), bodyBytes-4096)
	}},
	{"silent connections", silentCrowd, func(io.Writer, bool) {}},
	{"kept connections", silentCrowd, func(w io.Writer, _ bool) {
		_, _ = io.WriteString(w, head("Content-Length: 1\r\n\r\nb"))
	}},
}

// TestCrowds opens all connections of a crowd, lets each caller send what it sends, and keeps them
// open.
func TestCrowds(t *testing.T) {
	for _, attack := range attacks {
		t.Run(attack.name, func(t *testing.T) {
			n := startNode(t)
			require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
			require.Equal(t, http.StatusOK, n.ordinaryRequest(strings.Repeat("b", bodyBytes)), "a single request of the largest size")
			c := new(callers)
			defer c.close()
			n.underPressure(func() {
				c.open(n.front, attack.callers, attack.send)
				c.wait()
			}, func() int { return n.ordinaryRequest("b") })
		})
	}
}

// callers are the connections of a crowd.
type callers struct {
	group sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
}

// open opens n connections to an address at once, on each of which send writes what its caller sends.
func (c *callers) open(address string, n int, send func(w io.Writer, finish bool)) {
	for i := range n {
		c.group.Go(func() {
			if conn := c.dial(address); conn != nil {
				send(conn, i%finishing == 0)
			}
		})
	}
}

// dial opens a connection. It returns nil if that fails.
func (c *callers) dial(address string) net.Conn {
	// A small receive buffer is full soon if the caller reads nothing.
	dialer := net.Dialer{Control: setReceiveBuffer}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	// A node may stop reading; the caller does not wait for ever.
	_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// wait returns some time after all callers have sent what they send.
func (c *callers) wait() {
	c.group.Wait()
	time.Sleep(time.Second)
}

func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// setReceiveBuffer gives a socket a small receive buffer.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	})
}
