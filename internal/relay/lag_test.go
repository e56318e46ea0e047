package relay_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// TestLateCoverageDoesNotRaiseLag has gathers whose coverage is reached after they are due,
// for lack of a part. The node's own lag is no greater for that, so that a part which comes
// shortly before a later gather is due is still waited for.
func TestLateCoverageDoesNotRaiseLag(t *testing.T) {
	const objective = 200 * time.Millisecond
	after := func(late, usual time.Duration) relaytest.Script {
		return func(c net.Conn, r *http.Request) bool {
			if r.URL.Path == "/all/late" {
				time.Sleep(late)
			} else {
				time.Sleep(usual)
			}
			return relaytest.Answer(200, "sig-"+r.Header.Get(relaytest.HeaderLeaf), rec("x"))(c, r)
		}
	}
	routes := []*catalog.Route{{
		Name: "all", Host: "shop.example", Prefix: "/all/", Idempotent: true, Timeout: 2 * time.Second,
		Objective: objective, MaxAttempts: 1, Shards: []string{"a", "b", "c"}, TopK: 3, MinCoverage: 0.6,
	}}
	s := newSite(t, routes, map[string][]relaytest.Script{
		"a": {after(0, 0)}, "b": {after(objective+5*time.Millisecond, 0)}, "c": {after(2*objective, objective*9/10)},
	})
	for range 14 {
		require.Equal(t, 200, s.do("GET", "/all/late", "").status)
	}
	whole := 0
	for range 5 {
		if s.do("GET", "/all/x", "").header.Get(relaytest.HeaderMissing) == "0" {
			whole++
		}
	}
	assert.Positive(t, whole)
}
