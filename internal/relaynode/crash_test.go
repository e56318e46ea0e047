package relaynode_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

func singleRoute() *catalog.Route {
	r := route("g", "/", onlyService("s"))
	return r
}

func shardNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("p%02d", i))
	}
	return names
}

// gatherRoute returns a route with n shards, and the behavior of the leaves of each shard.
// Those of the first shards, as many as crashing says, crash on the content of crashPath.
func gatherRoute(n, crashing int, minCoverage float64, mode crashMode) (*catalog.Route, map[string]leafBehavior) {
	r := gatheredRoute(1, minCoverage, shardNames(n)...)
	r.Objective = 100 * time.Millisecond
	services := map[string]leafBehavior{}
	for i, name := range r.Shards {
		behavior := leafBehavior{body: record("r"), work: 2 * time.Millisecond}
		if i < crashing {
			behavior.crashMode = &mode
		}
		services[name] = behavior
	}
	return r, services
}

// TestContentThatCrashesLeavesIsHeld guards against a content that keeps reaching leaves,
// through any node, after leaves have crashed on it.
func TestContentThatCrashesLeavesIsHeld(t *testing.T) {
	one := func(mode crashMode) (*catalog.Route, map[string]leafBehavior) {
		return singleRoute(), map[string]leafBehavior{"s": {body: "x", work: 5 * time.Millisecond, crashMode: &mode}}
	}
	cutHead := "HTTP/1.1 200 OK\r\nContent-Le"
	slow := func(mode crashMode) (*catalog.Route, map[string]leafBehavior) {
		r, services := one(mode)
		services["s"] = leafBehavior{body: "x", work: 60 * time.Millisecond, crashMode: &mode}
		return r, services
	}
	cases := []struct {
		name     string
		maxConns int
		replace  bool
		setup    func() (*catalog.Route, map[string]leafBehavior)
		// nodes is the number of nodes, 6 if zero, and interval the time between the
		// requests of a caller, resendInterval if zero.
		nodes    int
		interval time.Duration
	}{
		{"one service", 40, false, func() (*catalog.Route, map[string]leafBehavior) { return one(crashMode{down: defaultDowntime}) }, 0, 0},
		{"one service, silent", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return one(crashMode{down: defaultDowntime, silent: true})
		}, 0, 0},
		{"one service, late", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return one(crashMode{down: defaultDowntime, after: 700 * time.Millisecond})
		}, 0, 0},
		{"one service, cut head", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return one(crashMode{down: defaultDowntime, head: cutHead})
		}, 0, 0},
		{"one service, fresh nodes", 40, true, func() (*catalog.Route, map[string]leafBehavior) { return one(crashMode{down: defaultDowntime}) }, 0, 0},
		{"gather, all shards", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 12, 0.9, crashMode{down: defaultDowntime})
		}, 0, 0},
		{"gather, one shard", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime})
		}, 0, 0},
		{"gather, one shard, after the answer", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime, after: 700 * time.Millisecond})
		}, 0, 0},
		{"gather, one shard, silent", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime, silent: true})
		}, 0, 0},
		{"gather, not covered", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 2, 0.9, crashMode{down: defaultDowntime})
		}, 0, 0},
		{"gather through helpers", 3, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(14, 1, 0.9, crashMode{down: defaultDowntime})
		}, 0, 0},
		{"one service, back at once", 40, false, func() (*catalog.Route, map[string]leafBehavior) { return one(crashMode{}) }, 0, 0},
		{"gather, back at once", 40, false, func() (*catalog.Route, map[string]leafBehavior) { return gatherRoute(12, 1, 0.9, crashMode{}) }, 0, 0},
		{"gather, silent and back at once", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{silent: true})
		}, 0, 0},
		{"one service, slow work", 40, false, func() (*catalog.Route, map[string]leafBehavior) { return slow(crashMode{down: defaultDowntime}) }, 0, 0},
		{"one service, slow work, down long", 40, false, func() (*catalog.Route, map[string]leafBehavior) { return slow(crashMode{down: 2 * time.Second}) }, 0, 0},
		{"gather, all shards, slow caller", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 12, 0.9, crashMode{down: defaultDowntime})
		}, 0, 1500 * time.Millisecond},
		{"gather, one shard, slow caller", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime})
		}, 0, 1500 * time.Millisecond},
		{"gather, few connections", 6, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime, after: 300 * time.Millisecond})
		}, 18, 0},
		{"gather, 18 nodes", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime, after: 300 * time.Millisecond})
		}, 18, 0},
		{"gather, 18 nodes, reset", 40, false, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime})
		}, 18, 0},
		{"gather, fresh nodes", 40, true, func() (*catalog.Route, map[string]leafBehavior) {
			return gatherRoute(12, 1, 0.9, crashMode{down: defaultDowntime})
		}, 0, 0},
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentDeployments)
	for _, c := range cases {
		group.Go(func() error {
			t.Run(c.name, func(t *testing.T) {
				r, services := c.setup()
				s := newCrashDeployment(t, cmp.Or(c.nodes, 6), c.maxConns, r, services)
				s.resend(crashPath, cmp.Or(c.interval, resendInterval))
				s.resend(innocentPath, resendInterval)
				if c.replace {
					s.replaceNodes(2 * time.Second)
				}
				s.wait()
				s.assertQuarantined()
				if !c.replace {
					s.assertServed(maxInnocentsRefused)
				}
			})
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// TestInnocentContentIsServed guards against the quarantine of a content that was only sent
// to leaves which reset connections, or whose processes end for other reasons.
func TestInnocentContentIsServed(t *testing.T) {
	cases := []struct {
		name string
		leaf leafBehavior
		// maxRefused is the number of requests that may be refused as quarantined.
		maxRefused int
	}{
		{"resets", leafBehavior{body: record("r"), work: 5 * time.Millisecond, resets: 0.5}, 0},
		{"ends", leafBehavior{body: record("r"), work: 60 * time.Millisecond, crashInterval: 2 * time.Second}, maxInnocentsRefused},
	}
	var group errgroup.Group
	for _, c := range cases {
		for name, r := range map[string]*catalog.Route{"one service": singleRoute(), "gather": gatheredRoute(1, 0.9, shardNames(12)...)} {
			group.Go(func() error {
				t.Run(name+", "+c.name, func(t *testing.T) {
					services := map[string]leafBehavior{"s": c.leaf}
					if len(r.Shards) > 0 {
						services = map[string]leafBehavior{}
						for _, shard := range r.Shards {
							services[shard] = c.leaf
						}
					}
					s := newCrashDeployment(t, 6, 40, r, services)
					s.resend(innocentPath, resendInterval)
					s.wait()
					s.assertServed(c.maxRefused)
				})
				return nil
			})
		}
	}
	require.NoError(t, group.Wait())
}

// TestStartingNodeTakesReachOfPeers guards against a node that takes its own start for a loss of all nodes.
func TestStartingNodeTakesReachOfPeers(t *testing.T) {
	const head = 300 * time.Millisecond
	leaf := relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))
	first := startNode(t, "first", newStore(leaf))
	first.awaitReady(t)
	time.Sleep(head)
	second := startNode(t, "second", newStore(leaf), first.settings.PeerListen)
	second.awaitReady(t)
	line := second.logs.FilterMessage("crash records requested from seeds").All()[0].ContextMap()
	require.Greater(t, line["reach"].(time.Duration), line["after"].(time.Duration)+head)
}
