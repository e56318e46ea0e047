package relay_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// TestCallsKeepTheirMemory has a call outlive its query, which was answered without it. The memory of the
// request stays reserved until the call has ended.
func TestCallsKeepTheirMemory(t *testing.T) {
	const size = 100 << 10
	release := make(chan struct{})
	answer := relaytest.Answer(200, "sig-a", rec("x"))
	held := func(c net.Conn, r *http.Request) bool {
		<-release
		return relaytest.Answer(200, "sig-b", rec("y"))(c, r)
	}
	routes := []*catalog.Route{{
		Name: "all", Host: "shop.example", Prefix: "/all/", Idempotent: true, Timeout: 5 * time.Second,
		Objective: 50 * time.Millisecond, MaxAttempts: 1, Shards: []string{"a", "b"}, TopK: 2, MinCoverage: 0.5,
	}}
	s := newSetup(t, routes, map[string][]relaytest.Script{"a": {answer}, "b": {held}})
	require.Equal(t, 200, s.do("POST", "/all/x", strings.Repeat("b", size)).status)
	require.Greater(t, s.handler.CallBytes(), int64(size))
	close(release)
	require.Eventually(t, func() bool { return s.handler.CallBytes() == 0 }, 5*time.Second, 5*time.Millisecond)
}
