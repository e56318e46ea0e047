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
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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

// node is a node process in front of one leaf.
type node struct {
	t     *testing.T
	front string
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startNode(t *testing.T) *node {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfig(&platformtest.Config{
		Version:  1,
		Limits:   map[string]int{"maxHeaderBytes": headBytes, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Services: []platformtest.Service{{Name: "s", MaxConns: 20}},
		Routes: []platformtest.Route{
			{Name: "one", Host: "shop.example", Prefix: "/", Kind: "non_idempotent", TimeoutMS: 60000, TargetLatencyMS: 400, Service: "s", MaxAttempts: 1},
		},
	})
	leaf, err := platformtest.StartLeaf(platformtest.LeafOptions{ID: "i-1", Service: "s", Zone: "z", Listen: "127.0.0.1:0"}, store, new(platformtest.Journal))
	require.NoError(t, err)
	t.Cleanup(leaf.Kill)
	dir := t.TempDir()
	ready, peers := freeAddress(t), freeAddress(t)
	_, peerPort, err := net.SplitHostPort(peers)
	require.NoError(t, err)
	n := &node{t: t, front: freeAddress(t), ended: make(chan struct{}), log: filepath.Join(dir, "log")}
	settings := fmt.Sprintf(`node = "n"
ip = "127.0.0.1"
zone = "z"
internalPorts = [%s, %s]
seeds = []
[listen]
front = %q
ready = %q
[limits]
memoryMb = %d
maxFds = %d
[bounds]
graceS = 2
[platform]
address = %q
`, peerPort, peerPort, n.front, ready, memoryMB, maxFiles, store.Address())
	file := filepath.Join(dir, "node.toml")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(n.log)
	require.NoError(t, err)
	n.cmd = exec.Command(binary, "relay", "--settings", file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	require.NoError(t, n.cmd.Start())
	go func() {
		_ = n.cmd.Wait()
		close(n.ended)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.ended
		_ = log.Close()
	})
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + ready + "/redwingshelf/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
	return n
}

// peakMemoryMB returns the highest resident memory of the process so far.
func (n *node) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			require.NoError(n.t, err)
			return kb / 1024
		}
	}
	return 0
}

func (n *node) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watch returns the largest number of open descriptors until stop is closed.
func (n *node) watch(stop <-chan struct{}) int {
	most := 0
	for {
		most = max(most, n.openFiles())
		select {
		case <-stop:
			return most
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// ordinaryRequest sends a small request on a new connection, and again if it was refused.
func (n *node) ordinaryRequest(body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	status := 0
	for range 20 {
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/x", strings.NewReader(body))
		require.NoError(n.t, err)
		request.Host = "shop.example"
		request.Header.Set(platformtest.HeaderAttempt, fmt.Sprintf("%016x", time.Now().UnixNano()))
		request.Header.Set(platformtest.HeaderDeadline, "4000")
		response, err := client.Do(request)
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		if status == http.StatusOK {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
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
			stop := make(chan struct{})
			files := make(chan int, 1)
			go func() { files <- n.watch(stop) }()
			var conns []net.Conn
			var mu sync.Mutex
			var group sync.WaitGroup
			for i := range attack.callers {
				group.Go(func() {
					c, err := net.Dial("tcp", n.front)
					if err != nil {
						return
					}
					mu.Lock()
					conns = append(conns, c)
					mu.Unlock()
					// A node may stop reading; the caller does not wait for ever.
					_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
					attack.send(c, i%finishing == 0)
				})
			}
			group.Wait()
			time.Sleep(time.Second)
			assert.Equal(t, http.StatusOK, n.ordinaryRequest("b"), "an ordinary request while the crowd stays")
			close(stop)
			assert.Less(t, <-files, maxFiles-reservedFiles, "open descriptors")
			peak := n.peakMemoryMB()
			t.Logf("%d MB at most", peak)
			assert.Less(t, peak, memoryMB, "memory in MB")
			select {
			case <-n.ended:
				t.Error("the process has ended")
			default:
			}
			for _, c := range conns {
				_ = c.Close()
			}
			if t.Failed() {
				data, _ := os.ReadFile(n.log)
				t.Logf("%s", data[max(len(data)-2000, 0):])
			}
		})
	}
}
