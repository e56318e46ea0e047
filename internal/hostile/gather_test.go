package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// searchHost is the host of the route that gathers.
const searchHost = "search.example"

// withSilentShards adds a route that gathers from shards whose leaves accept connections and read nothing.
func withSilentShards(t *testing.T, shards int) func(*platformtest.Store, *platformtest.Config) {
	return func(store *platformtest.Store, config *platformtest.Config) {
		route := platformtest.Route{
			Name: "all", Host: searchHost, Prefix: "/", Kind: "idempotent", TimeoutMS: 60000, TargetLatencyMS: 400,
			MaxAttempts: 2, TopK: 10, MinCoverage: 1,
		}
		for i := range shards {
			service := fmt.Sprintf("g%d", i)
			l := listenSilently(t)
			store.PutLeaf("i-"+service, service, "z", l.Addr().String())
			route.Gather = append(route.Gather, service)
			config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 8})
		}
		config.Routes = append(config.Routes, route)
	}
}

// listenSilently accepts connections and never reads from them.
func listenSilently(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: setReceiveBuffer}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		var open []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				break
			}
			open = append(open, c)
		}
		for _, c := range open {
			_ = c.Close()
		}
	}()
	return l
}

// TestLargeBodiesToManyShards has callers send whole bodies that go to many shards, whose leaves read
// nothing.
func TestLargeBodiesToManyShards(t *testing.T) {
	const size = 4 << 20
	n := startRelay(t, relayLimits{memoryMB: 128, files: 1000, bodyBytes: size}, withSilentShards(t, 40))
	require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
	c := new(callers)
	defer c.close()
	send := func(w io.Writer, bytes int) {
		_, _ = io.WriteString(w, headTo("POST", searchHost, fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
		_, _ = w.Write(make([]byte, bytes))
	}
	n.underPressure(func() {
		c.open(n.front, 2, func(w io.Writer, _ bool) { send(w, size) })
		c.wait()
		c.open(n.front, 18, func(w io.Writer, _ bool) { send(w, size-1) })
		c.wait()
	}, func() int { return n.ordinaryRequest("b") })
}

// TestSmallGathers has callers send small requests that go to many shards, whose leaves do not answer.
func TestSmallGathers(t *testing.T) {
	n := startRelay(t, relayLimits{memoryMB: memoryMB, files: 1800, bodyBytes: bodyBytes}, withSilentShards(t, 100))
	require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
	c := new(callers)
	defer c.close()
	n.underPressure(func() {
		c.open(n.front, silentCrowd, func(w io.Writer, _ bool) {
			_, _ = io.WriteString(w, headTo("GET", searchHost, "\r\n"))
		})
		c.wait()
	}, func() int { return n.ordinaryRequest("b") })
}

// TestLargeBodiesToPeers has callers of several small nodes send whole bodies on a route that one large node
// gathers for them.
func TestLargeBodiesToPeers(t *testing.T) {
	const smallNodes = 10
	s := newSite(t, relayLimits{memoryMB: memoryMB, files: 1000, bodyBytes: bodyBytes}, withSilentShards(t, 40))
	large := s.start(4)
	var small []*node
	for range smallNodes {
		small = append(small, s.start(0.1))
	}
	// The nodes learn of each other.
	time.Sleep(5 * time.Second)
	require.Equal(t, http.StatusOK, large.ordinaryRequest("b"))
	c := new(callers)
	defer c.close()
	large.underPressure(func() {
		for _, n := range small {
			c.open(n.front, 40, func(w io.Writer, _ bool) {
				_, _ = io.WriteString(w, headTo("POST", searchHost, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)))
				_, _ = w.Write(make([]byte, bodyBytes))
			})
		}
		c.wait()
	}, func() int { return large.ordinaryRequest("b") })
	for _, n := range small {
		require.Equal(t, http.StatusOK, n.ordinaryRequest("b"))
		require.Less(t, n.peakMemoryMB(), memoryMB, "memory of a small node in MB")
	}
}
