package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// TestUnsentCallsEndWithTheirRequest guards against calls that wait for a connection to a slow leaf and
// reach it after nobody waits for their answers any more.
func TestUnsentCallsEndWithTheirRequest(t *testing.T) {
	const callers, partialAfter, patience = 60, 50 * time.Millisecond, 80 * time.Millisecond
	// settle is the time that requests on their way to a leaf take at most.
	const settle = 50 * time.Millisecond
	ask := func(ctx context.Context, s *setup, path string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.server.URL+path, nil)
		if !assert.NoError(t, err) {
			return
		}
		r.Host = "shop.example"
		r.Header = http.Header{relaytest.HeaderID: {path}, relaytest.HeaderLeft: {timeoutHeader}}
		if response, err := s.server.Client().Do(r); err == nil {
			_ = response.Body.Close()
		}
	}
	gatherCall := func(id string, shards ...string) *relay.GatherCall {
		return &relay.GatherCall{
			ID: id, Method: http.MethodGet, URI: "/all/" + id, Host: "shop.example", Header: http.Header{relaytest.HeaderID: {id}},
			Version: 1, Left: 2 * time.Second, Within: partialAfter, Shards: shards,
		}
	}
	for name, call := range map[string]func(ctx context.Context, s *setup, id string){
		"answered early": func(_ context.Context, s *setup, id string) { ask(context.Background(), s, "/all/"+id) },
		"caller leaves":  func(ctx context.Context, s *setup, id string) { ask(ctx, s, "/one/"+id) },
		"gather for a peer": func(_ context.Context, s *setup, id string) {
			s.handler.ServeGather(context.Background(), gatherCall(id))
		},
		"peer has its parts": func(ctx context.Context, s *setup, id string) {
			_ = s.handler.ServePart(ctx, gatherCall(id, "s0", "s"), func(*relay.GatherAnswer) error { return nil })
		},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			slow := func(c net.Conn, r *http.Request) bool {
				<-release
				return relaytest.Answer(200, "sig", rec("c"))(c, r)
			}
			fast := relaytest.Answer(200, "sig0", rec("a"))
			routes := append(gatherRoutes(2, 0.6), singleLeafRoutes(true)...)
			routes[0].Shards = append(routes[0].Shards, "s")
			s := newSetup(t, routes, map[string][]relaytest.Script{
				"s0": {fast}, "s1": {relaytest.Answer(200, "sig1", rec("b"))}, "s": {relaytest.Answer(200, "sig", rec("c"))},
			})
			for range 20 {
				require.Equal(t, 200, s.do(http.MethodGet, "/all/warm", "").status)
			}
			leaf := s.leaves["s"][0]
			leaf.SetScript(slow)
			warm := len(leaf.Requests())
			var all sync.WaitGroup
			for i := range callers {
				all.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					call(ctx, s, fmt.Sprint("late-", i))
				})
			}
			all.Wait()
			require.Eventually(t, func() bool { return s.handler.Serving() == 0 }, 5*time.Second, time.Millisecond)
			time.Sleep(settle)
			sent := len(leaf.Requests()) - warm
			require.Less(t, sent, callers, "no call had to wait for a connection")
			close(release)
			require.Eventually(t, func() bool { return leaf.Running() == 0 }, 5*time.Second, time.Millisecond)
			time.Sleep(settle)
			assert.Equal(t, sent, len(leaf.Requests())-warm, "requests that have reached the leaf")
		})
	}
}
