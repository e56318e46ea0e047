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

// TestNodesWithoutRoomLetOthersGather has four nodes and leaves that have room for the
// connections of two. The others open none of their own.
func TestNodesWithoutRoomLetOthersGather(t *testing.T) {
	const (
		nodes    = 4
		rooms    = 2
		maxConns = 3
		gathers  = 5
	)
	leaves := map[string]*relaytest.Leaf{}
	for _, service := range []string{"a", "b"} {
		leaves[service] = relaytest.NewLeaf(t, answerWith(record(service)))
	}
	var fleet []*running
	var seeds []string
	for i := range nodes {
		r := start(t, fmt.Sprint("node-", i), newShards(leaves, maxConns), seeds...)
		fleet, seeds = append(fleet, r), append(seeds, r.settings.PeerListen)
	}
	for _, r := range fleet {
		r.awaitReady(t)
		r.awaitLog(t, "bounds shared out", zap.Int("nodes", nodes), zap.Int("gatherers", rooms), zap.Int("room", rooms))
	}
	before := map[string]int{}
	for i, leaf := range leaves {
		before[i] = leaf.Conns()
	}
	for _, r := range fleet {
		for range gathers {
			status, body := r.ask(t, shapeRequest{host: "g", path: "/"})
			assert.Equal(t, 200, status)
			assert.Equal(t, record("b")+record("a"), body)
		}
	}
	for i, leaf := range leaves {
		assert.LessOrEqual(t, leaf.Conns()-before[i], rooms, "connections opened to leaf %s", i)
	}
	for _, r := range fleet {
		assert.Zero(t, r.logs.FilterMessage("peer did not gather").Len())
	}
}

// newShards returns a store with a route that gathers one part from each leaf. Nodes
// prepare the tables that they read, so that each needs its own.
func newShards(leaves map[string]*relaytest.Leaf, maxConns int) *store {
	table := &catalog.Table{Version: 1, Services: map[string]*catalog.Service{}}
	s := &store{snapshot: catalog.Snapshot{AsOf: 1, Entries: []catalog.Change{{Key: "table", Revision: 1, Table: table}}}}
	for service, leaf := range leaves {
		table.Services[service] = &catalog.Service{Name: service, MaxConns: maxConns}
		s.snapshot.Entries = append(s.snapshot.Entries, catalog.Change{Key: service, Revision: 1, Leaf: &catalog.Leaf{
			ID: service, Service: service, Address: leaf.Address, DataCentre: "z", Slots: 4,
		}})
	}
	table.Routes = []*catalog.Route{gathered(2, 1, slices.Sorted(maps.Keys(leaves))...)}
	return s
}
