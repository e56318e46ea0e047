package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// partPeer stands in for a peer that gathers parts.
type partPeer func(ctx context.Context, c *relay.GatherCall, receive func(*relay.GatherAnswer)) (bool, error)

// partPeers holds the peers by address.
type partPeers struct {
	mu        sync.Mutex
	byAddress map[string]partPeer
}

func (p *partPeers) set(address string, peer partPeer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = map[string]partPeer{}
	}
	p.byAddress[address] = peer
}

func (p *partPeers) get(address string) partPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddress[address]
}

// peerOf returns a peer that gathers parts with another handler.
func peerOf(s *setup) partPeer {
	return func(ctx context.Context, c *relay.GatherCall, receive func(*relay.GatherAnswer)) (bool, error) {
		return true, s.handler.ServePart(ctx, c, func(a *relay.GatherAnswer) error {
			receive(a)
			return nil
		})
	}
}

func dividedRoutes(minCoverage float64) []*catalog.Route {
	routes := gatherRoutes(12, minCoverage)
	routes[0].TopK = 100
	return routes
}

// dividedSetup returns a node that divides gathers from 12 shards with two peers, "x" and "y". The
// leaves of the peers are others than those of the node.
func dividedSetup(t *testing.T, minCoverage float64, scripts func(shard string) relaytest.Script) (s *setup, peers map[string]*setup) {
	t.Helper()
	routes := dividedRoutes(minCoverage)
	leaves := map[string][]relaytest.Script{}
	for _, shard := range routes[0].Shards {
		leaves[shard] = []relaytest.Script{scripts(shard)}
	}
	s = newSetup(t, routes, leaves)
	s.handler.SetDelegation(relay.Delegation{
		Groups: []relay.GatherGroup{{
			Members: []relay.Helper{{Name: "x", Address: "x"}, {Name: "self", Address: "self"}, {Name: "y", Address: "y"}}, Capacity: 3,
		}},
		Alive: map[string]bool{"x": true, "y": true, "self": true}, Self: "self",
	})
	peers = map[string]*setup{}
	for _, name := range []string{"x", "y"} {
		peers[name] = newSetup(t, dividedRoutes(minCoverage), leaves)
		s.partPeers.set(name, peerOf(peers[name]))
	}
	return s, peers
}

// shardAnswer answers with a record and a signature that name the shard.
func shardAnswer(shard string) relaytest.Script {
	return relaytest.Answer(200, "sig-"+shard, shardRecord(shard))
}

// shardRecord returns a record that names the shard.
func shardRecord(shard string) string { return fmt.Sprintf("%-16s", shard) }

// delayed answers with a script some time later.
func delayed(by time.Duration, script relaytest.Script) relaytest.Script {
	return func(c net.Conn, r *http.Request) bool {
		time.Sleep(by)
		return script(c, r)
	}
}

// removeLeaves removes the leaves of shards from the node's catalog.
func (s *setup) removeLeaves(shards ...string) {
	var changes []catalog.Change
	for _, shard := range shards {
		changes = append(changes, catalog.Change{Key: shard + "-0", Revision: 2})
	}
	s.catalog.Merge(0, changes, 2)
	s.services.Update()
}

// asked returns the shards whose leaves a node has called.
func (s *setup) asked() []string {
	var shards []string
	for shard, leaves := range s.leaves {
		if len(leaves[0].Requests()) > 0 {
			shards = append(shards, shard)
		}
	}
	slices.Sort(shards)
	return shards
}

func TestDividesGather(t *testing.T) {
	s, peers := dividedSetup(t, 1, shardAnswer)
	got := s.do(http.MethodGet, "/all/x", "")
	require.Equal(t, 200, got.status)
	assert.Equal(t, "0", got.header.Get(relaytest.HeaderMissing))
	var records, signatures []string
	for shard := range s.leaves {
		records, signatures = append(records, shardRecord(shard)), append(signatures, "sig-"+shard)
	}
	slices.Sort(records)
	slices.Reverse(records)
	assert.Equal(t, strings.Join(records, ""), got.body, "the greatest records of all parts")
	assert.ElementsMatch(t, signatures, got.header[http.CanonicalHeaderKey(relaytest.HeaderParts)])
	called := append(append(s.asked(), peers["x"].asked()...), peers["y"].asked()...)
	assert.Len(t, called, 12, "each shard is called by one node")
	assert.Len(t, s.asked(), 4)
	first := s.asked()
	s.do(http.MethodGet, "/all/x", "")
	assert.Equal(t, first, s.asked(), "a node calls the same shards for each gather")
}

// TestDividedGatherWithFailingPeers covers peers that fail before and after they may have called
// leaves. Only the former's shards are gathered by the node itself.
func TestDividedGatherWithFailingPeers(t *testing.T) {
	notSent := func(context.Context, *relay.GatherCall, func(*relay.GatherAnswer)) (bool, error) {
		return false, errConnLost
	}
	lost := func(context.Context, *relay.GatherCall, func(*relay.GatherAnswer)) (bool, error) {
		return true, errConnLost
	}
	older := func(_ context.Context, _ *relay.GatherCall, receive func(*relay.GatherAnswer)) (bool, error) {
		receive(&relay.GatherAnswer{Failed: kind.NoConfiguration.String(), Text: "older"})
		return true, nil
	}
	silent := func(ctx context.Context, _ *relay.GatherCall, _ func(*relay.GatherAnswer)) (bool, error) {
		<-ctx.Done()
		return true, ctx.Err()
	}
	early := func(_ context.Context, c *relay.GatherCall, receive func(*relay.GatherAnswer)) (bool, error) {
		receive(&relay.GatherAnswer{Signatures: []string{"sig-" + c.Shards[0]}, Body: []byte(rec("z"))})
		return true, nil
	}
	for _, c := range []struct {
		name        string
		peer        partPeer
		minCoverage float64
		status      int
		missing     string
		// ownShards is the number of shards that the node gathers itself.
		ownShards int
	}{
		{"can't be reached", notSent, 1, 200, "0", 8},
		{"has an older table", older, 1, 200, "0", 8},
		{"is lost, covered", lost, 0.6, 200, "4", 4},
		{"is lost, not covered", lost, 0.9, 502, "", 4},
		{"is silent, covered", silent, 0.6, 200, "4", 4},
		{"is silent, not covered", silent, 0.9, 504, "", 4},
		{"ends early, covered", early, 0.6, 200, "3", 4},
		{"ends early, not covered", early, 0.9, 502, "", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, _ := dividedSetup(t, c.minCoverage, shardAnswer)
			s.partPeers.set("y", c.peer)
			got := s.do(http.MethodGet, "/all/x", "")
			assert.Equal(t, c.status, got.status)
			assert.Equal(t, c.missing, got.header.Get(relaytest.HeaderMissing))
			if c.status == 200 {
				assert.Len(t, s.asked(), c.ownShards)
			} else {
				assert.LessOrEqual(t, len(s.asked()), c.ownShards)
			}
		})
	}
}

// TestFailedGatherWithoutOwnPartIsAnswered guards against a connection that is closed without an
// answer when a gather fails of which the node's peers gather all parts.
func TestFailedGatherWithoutOwnPartIsAnswered(t *testing.T) {
	s, peers := dividedSetup(t, 0.9, shardAnswer)
	s.handler.SetDelegation(relay.Delegation{
		Groups: []relay.GatherGroup{{Members: []relay.Helper{{Name: "x", Address: "x"}, {Name: "y", Address: "y"}}, Capacity: 2}},
		Alive:  map[string]bool{"x": true, "y": true, "self": true}, Self: "self",
	})
	require.Equal(t, 200, s.do(http.MethodGet, "/all/x", "").status)
	require.Empty(t, s.asked())
	for _, leaves := range peers["y"].leaves {
		leaves[0].SetScript(relaytest.Answer(500, "sig", "failed"))
	}
	got := s.do(http.MethodGet, "/all/x", "")
	assert.Equal(t, 502, got.status)
	assert.Empty(t, s.asked())
}

// TestUnresponsivePeerGathersNoParts has a peer that stops answering. Its shards go to the other
// members, although gathers are covered without them.
func TestUnresponsivePeerGathersNoParts(t *testing.T) {
	s, peers := dividedSetup(t, 0.6, shardAnswer)
	s.partPeers.set("y", func(ctx context.Context, _ *relay.GatherCall, _ func(*relay.GatherAnswer)) (bool, error) {
		<-ctx.Done()
		return true, ctx.Err()
	})
	assert.Equal(t, "4", s.do(http.MethodGet, "/all/x", "").header.Get(relaytest.HeaderMissing))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, "0", s.do(http.MethodGet, "/all/x", "").header.Get(relaytest.HeaderMissing))
	s.partPeers.set("y", peerOf(peers["y"]))
	require.Eventually(t, func() bool {
		s.do(http.MethodGet, "/all/x", "")
		return len(peers["y"].asked()) > 0
	}, 5*time.Second, 50*time.Millisecond, "it is used again")
}

// TestPartsThatArriveLate has a shard of a peer answer after the partial answer is due. The gather
// waits for it only if it is not covered otherwise.
func TestPartsThatArriveLate(t *testing.T) {
	const late = 300 * time.Millisecond
	for minCoverage, missing := range map[float64]string{0.6: "1", 1: "0"} {
		t.Run(fmt.Sprint(minCoverage), func(t *testing.T) {
			s, peers := dividedSetup(t, minCoverage, shardAnswer)
			s.do(http.MethodGet, "/all/x", "")
			slow := peers["x"].asked()[0]
			leaf := peers["x"].leaves[slow][0]
			leaf.SetScript(delayed(late, shardAnswer(slow)))
			got := s.do(http.MethodGet, "/all/x", "")
			assert.Equal(t, 200, got.status)
			assert.Equal(t, missing, got.header.Get(relaytest.HeaderMissing))
			if missing == "0" {
				assert.Greater(t, got.took, late)
			} else {
				assert.Less(t, got.took, late)
			}
		})
	}
}

// TestDividedGatherWithoutLeavesIsNotSent has too many shards without any leaf, some of them shards
// of peers. The gather is refused before any leaf is called.
func TestDividedGatherWithoutLeavesIsNotSent(t *testing.T) {
	s, peers := dividedSetup(t, 0.9, shardAnswer)
	s.removeLeaves("s1", "s10", "s2", "s3")
	got := s.do(http.MethodGet, "/all/x", "")
	assert.Equal(t, 503, got.status)
	assert.Empty(t, s.asked())
	assert.Empty(t, peers["x"].asked())
	assert.Empty(t, peers["y"].asked())
}

// TestWholeGatherHedgesNoStragglers has one of the shards answer much later than the others. The
// hedge budget is for calls that are late by the latencies of the route.
func TestWholeGatherHedgesNoStragglers(t *testing.T) {
	routes := gatherRoutes(6, 0.5)
	routes[0].Objective = 2 * time.Second
	slow := func(c net.Conn, r *http.Request) bool {
		time.Sleep(100 * time.Millisecond)
		return relaytest.Answer(200, "sig", rec("a"))(c, r)
	}
	scripts := map[string][]relaytest.Script{"s0": {slow, slow}}
	for i := 1; i < 6; i++ {
		scripts[fmt.Sprintf("s%d", i)] = []relaytest.Script{relaytest.Answer(200, "sig", rec("b"))}
	}
	s := newSetup(t, routes, scripts)
	require.Equal(t, 200, s.do(http.MethodGet, "/all/x", "").status)
	require.Equal(t, 1, len(s.leaves["s0"][0].Requests())+len(s.leaves["s0"][1].Requests()))
}
