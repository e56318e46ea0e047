package peer

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// TestIdleLinksHaveNoTimers opens links to several peers. Each link may have a goroutine
// that reads, but none that wakes up to check whether the other end responds: in a large
// fleet a node has links to a hundred others, nearly all of them idle.
func TestIdleLinksHaveNoTimers(t *testing.T) {
	const links = 10
	traffic := NewTraffic(tally.NoopScope)
	pool := NewPool(wire.Hello{Host: "client", Incarnation: 1}, traffic, nil)
	t.Cleanup(pool.Close)
	for range links {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := NewServer(listener, wire.Hello{Host: "server", Incarnation: 1}, traffic, &scriptedHandler{})
		go func() { _ = server.Serve() }()
		t.Cleanup(server.Close)
		answer := new(wire.HeldResult)
		require.NoError(t, pool.Ask(t.Context(), listener.Addr().String(), wire.TypeHeld, &wire.Held{Leaves: []string{"a"}}, answer))
	}
	time.Sleep(2 * pingInterval)
	require.Len(t, pool.links(), links)
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	goroutines := 0
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		if strings.Contains(stack, "(*clientLink)") {
			goroutines++
		}
	}
	require.LessOrEqual(t, goroutines, links)
}
