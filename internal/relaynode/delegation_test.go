package relaynode_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// TestExcessNodesDelegateGathers has four nodes, and leaves that accept connections of only
// two of them. The other nodes delegate their gathers and open no connections to leaves.
func TestExcessNodesDelegateGathers(t *testing.T) {
	const (
		nodes     = 4
		gatherers = 2
		maxConns  = 3
		gathers   = 5
	)
	leaves := map[string]*relaytest.Leaf{}
	for _, service := range []string{"a", "b"} {
		leaves[service] = relaytest.NewLeaf(t, answerWith(record(service)))
	}
	var fleet []*testNode
	var seeds []string
	for i := range nodes {
		r := startNode(t, fmt.Sprint("node-", i), newGatherStore(leaves, maxConns), seeds...)
		fleet, seeds = append(fleet, r), append(seeds, r.settings.PeerListen)
	}
	for _, r := range fleet {
		r.awaitReady(t)
		r.awaitLog(t, "bounds shared out", zap.Int("nodes", nodes), zap.Int("gatherers", gatherers), zap.Int("room", gatherers))
	}
	before := map[string]int{}
	for i, leaf := range leaves {
		before[i] = leaf.Conns()
	}
	for _, r := range fleet {
		for range gathers {
			status, body := r.ask(t, testRequest{host: "g", path: "/"})
			assert.Equal(t, 200, status)
			assert.Equal(t, record("b")+record("a"), body)
		}
	}
	for i, leaf := range leaves {
		assert.LessOrEqual(t, leaf.Conns()-before[i], gatherers, "connections opened to leaf %s", i)
	}
	for _, r := range fleet {
		assert.Zero(t, r.logs.FilterMessage("peer did not gather").Len())
	}
}

// newGatherStore returns a store with a route that gathers one part from each leaf. Each node
// needs its own table, since nodes modify the tables that they read.
func newGatherStore(leaves map[string]*relaytest.Leaf, maxConns int) *fakeStore {
	table := &catalog.Table{Version: 1, Services: map[string]*catalog.Service{}}
	s := &fakeStore{snapshot: catalog.Snapshot{AsOf: 1, Entries: []catalog.Change{{Key: "table", Revision: 1, Table: table}}}}
	for service, leaf := range leaves {
		table.Services[service] = &catalog.Service{Name: service, MaxConns: maxConns}
		s.snapshot.Entries = append(s.snapshot.Entries, catalog.Change{Key: service, Revision: 1, Leaf: &catalog.Leaf{
			ID: service, Service: service, Address: leaf.Address, DataCentre: "z", Slots: 4,
		}})
	}
	table.Routes = []*catalog.Route{gatheredRoute(2, 1, slices.Sorted(maps.Keys(leaves))...)}
	return s
}
