package relaynode

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/member"
)

// hosts returns members of three zones in turn. Every small-th has a quarter of the
// capacity of the others.
func hosts(n, small int) []member.Member {
	list := make([]member.Member, n)
	for i := range list {
		capacity := uint32(80)
		if small > 0 && i%small == 0 {
			capacity = 20
		}
		list[i] = member.Member{
			Name: fmt.Sprint("n", i), Address: fmt.Sprint("address", i), DataCentre: fmt.Sprint("z", i%3),
			State: member.Alive, Record: member.Record{Capacity: capacity},
		}
	}
	return list
}

// TestShareOut has fleets with and without room for connections of every node, and hosts
// of unequal size. All nodes agree on who gathers.
func TestShareOut(t *testing.T) {
	for _, c := range []struct {
		name      string
		nodes     []member.Member
		room      int
		gatherers int
		minShards int
	}{
		{"room for all", hosts(12, 0), leafpick.Unbounded, 12, 0},
		{"just enough room", hosts(12, 0), 12, 12, 0},
		{"room for nine", hosts(12, 0), 9, 9, 1},
		{"room for one", hosts(2, 0), 1, 1, 1},
		{"small hosts", hosts(12, 2), leafpick.Unbounded, 6, 12},
		{"alone", hosts(1, 0), leafpick.Unbounded, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var agreed []string
			for i := range c.nodes {
				nodes := append([]member.Member{c.nodes[i]}, append(c.nodes[:i:i], c.nodes[i+1:]...)...)
				fleet, helpers, minShards := shareOut(nodes, c.room)
				require.Len(t, fleet.All.Names, len(c.nodes))
				require.Len(t, fleet.Gatherers.Names, c.gatherers)
				if agreed == nil {
					agreed = fleet.Gatherers.Names
				}
				require.Equal(t, agreed, fleet.Gatherers.Names)
				gathers := slices.Contains(agreed, nodes[0].Name)
				if gathers {
					require.Empty(t, helpers)
					require.Zero(t, minShards)
					continue
				}
				require.Equal(t, c.minShards, minShards)
				for _, h := range helpers {
					require.Contains(t, agreed, h.Name)
				}
			}
		})
	}
}

// TestEachZoneHasGatherers has room for a part of the nodes.
func TestEachZoneHasGatherers(t *testing.T) {
	nodes := hosts(30, 0)
	fleet, _, _ := shareOut(nodes, 9)
	zones := map[string]int{}
	for _, m := range nodes {
		if slices.Contains(fleet.Gatherers.Names, m.Name) {
			zones[m.DataCentre]++
		}
	}
	require.Equal(t, map[string]int{"z0": 3, "z1": 3, "z2": 3}, zones)
}

// TestEachZoneHasHelpers has hosts that are larger in one zone than in the others, and room
// for a part of the nodes, once for fewer than there are zones. Each node without room has
// helpers, in its own zone where that has any.
func TestEachZoneHasHelpers(t *testing.T) {
	for room, inZone := range map[int]bool{9: true, 2: false} {
		nodes := hosts(18, 0)
		for i := range nodes {
			if nodes[i].DataCentre != "z2" {
				nodes[i].Record.Capacity = 20
			}
		}
		zones := map[string]string{}
		for _, m := range nodes {
			zones[m.Name] = m.DataCentre
		}
		for i := range nodes {
			self := append([]member.Member{nodes[i]}, append(nodes[:i:i], nodes[i+1:]...)...)
			fleet, helpers, _ := shareOut(self, room)
			require.Len(t, fleet.Gatherers.Names, room)
			if slices.Contains(fleet.Gatherers.Names, self[0].Name) {
				continue
			}
			require.NotEmpty(t, helpers, "helpers of %s in %s", self[0].Name, self[0].DataCentre)
			for _, h := range helpers {
				require.Contains(t, fleet.Gatherers.Names, h.Name)
				if inZone {
					require.Equal(t, self[0].DataCentre, zones[h.Name])
				}
			}
		}
	}
}
