package hostile

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// filesHost is the host of the route with large answers.
const filesHost = "files.example"

// withFiles adds a route whose leaf answers with size bytes.
func withFiles(t *testing.T, size int) func(*platformtest.Store, *platformtest.Config) {
	return func(store *platformtest.Store, config *platformtest.Config) {
		config.Services = append(config.Services, platformtest.Service{Name: "files", MaxConns: 20})
		config.Routes = append(config.Routes, platformtest.Route{
			Name: "files", Host: filesHost, Prefix: "/", Kind: "idempotent", TimeoutMS: 60000, TargetLatencyMS: 400, Service: "files", MaxAttempts: 1,
		})
		leaf, err := platformtest.StartLeaf(platformtest.LeafOptions{
			ID: "i-files", Service: "files", Zone: "z", Listen: "127.0.0.1:0", Answer: make([]byte, size),
		}, store, new(platformtest.Journal))
		require.NoError(t, err)
		t.Cleanup(leaf.Kill)
	}
}

// headTo returns a request head for a host with further header lines.
func headTo(method, host, lines string) string {
	return method + " /x HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: 1\r\nDeadline-Ms: 60000\r\n" + lines
}

// pressWithUnreadAnswers has a crowd send many requests on each connection, whose answers have size bytes,
// and read none of them.
func pressWithUnreadAnswers(t *testing.T, crowd, size int) {
	n := startRelay(t, relayLimits{memoryMB: memoryMB, files: maxFiles, bodyBytes: bodyBytes}, withFiles(t, size))
	require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
	c := new(callers)
	defer c.close()
	n.underPressure(func() {
		for range crowd {
			c.group.Go(func() {
				// A caller whose connection was closed comes back.
				for range 100 {
					if conn := c.dial(n.front); conn != nil {
						if sendRequests(conn) == nil {
							return
						}
						_ = conn.Close()
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		c.wait()
		queued := queuedMB(t, n.front)
		t.Logf("%d MB in the sockets", queued)
		assert.Less(t, queued, memoryMB, "memory of the sockets in MB")
	}, func() int { return n.ordinaryRequest("b") })
}

// sendRequests sends many requests and reads no answer. It returns an error if the connection is closed.
func sendRequests(conn net.Conn) error {
	if err := conn.(*net.TCPConn).SetWriteBuffer(4096); err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := conn.Write([]byte(strings.Repeat(headTo("GET", filesHost, "\r\n"), 10000)))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// TestUnreadAnswers has as many callers that read no answer as there are places for connections.
func TestUnreadAnswers(t *testing.T) { pressWithUnreadAnswers(t, silentCrowd, 32<<10) }

// TestLargeUnreadAnswers has callers that read no answer and whose answers take all the memory for answers.
func TestLargeUnreadAnswers(t *testing.T) {
	for _, size := range []int{64 << 10, 1 << 20} {
		t.Run(fmt.Sprintf("%d KiB", size>>10), func(t *testing.T) { pressWithUnreadAnswers(t, crowd, size) })
	}
}
