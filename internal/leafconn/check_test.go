package leafconn_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// request returns a request that the leaves below answer according to its path.
func request(path string) *leafconn.Request {
	return &leafconn.Request{
		Method: http.MethodGet, URI: path, Host: "h", Header: func() http.Header { return nil },
		Matches: func(http.Header) bool { return true },
	}
}

// TestCheckTellsProcessState checks that a leaf whose process has ended is distinguished from
// one that has only reset a connection.
func TestCheckTellsProcessState(t *testing.T) {
	cases := []struct {
		name string
		// idle is the number of other connections that are open beforehand.
		idle int
		lose func(l *relaytest.Leaf, c net.Conn)
		want leafconn.ProcessState
	}{
		{"reset, no other connection is open", 0, func(_ *relaytest.Leaf, c net.Conn) { relaytest.Reset(c, nil) }, leafconn.Unknown},
		{"reset, another connection is open", 1, func(_ *relaytest.Leaf, c net.Conn) { relaytest.Reset(c, nil) }, leafconn.Alive},
		{"end", 1, func(l *relaytest.Leaf, _ net.Conn) { l.Crash() }, leafconn.Refuses},
		{"end, no other connection is open", 0, func(l *relaytest.Leaf, _ net.Conn) { l.Crash() }, leafconn.Refuses},
		{"end, restarted at once", 1, func(l *relaytest.Leaf, _ net.Conn) { l.ResetAll() }, leafconn.Restarted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var leaf *relaytest.Leaf
			release := make(chan struct{})
			leaf = relaytest.NewLeaf(t, func(conn net.Conn, r *http.Request) bool {
				if r.URL.Path == "/lose" {
					c.lose(leaf, conn)
					return false
				}
				<-release
				return relaytest.Answer(200, "sig", "x")(conn, r)
			})
			p := leafconn.NewPool(leaf.Address, 6, true, memlimit.New(0))
			defer p.Close()
			// Concurrent calls leave as many idle connections. The next call uses one of
			// them.
			done := make(chan error)
			for range c.idle + 1 {
				go func() {
					_, err := p.Do(t.Context(), request("/wait"))
					done <- err
				}()
			}
			require.Eventually(t, func() bool { return leaf.Conns() == c.idle+1 }, time.Second, time.Millisecond)
			close(release)
			for range c.idle + 1 {
				require.NoError(t, <-done)
			}
			since := time.Now()
			_, err := p.Do(t.Context(), request("/lose"))
			require.Error(t, err)
			assert.Equal(t, c.want, p.Check(t.Context(), since))
		})
	}
}
