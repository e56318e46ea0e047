package relaynode

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/member"
)

// newMembers returns n members in three data centres in turn. If small is positive, every
// small-th member has a quarter of the capacity of the others.
func newMembers(n, small int) []member.Member {
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

// TestAssignGatherers covers fleets whose nodes can all keep connections to leaves and fleets
// whose nodes can't, and hosts of unequal size. All nodes agree on which nodes gather.
func TestAssignGatherers(t *testing.T) {
	for _, c := range []struct {
		name         string
		nodes        []member.Member
		maxGatherers int
		gatherers    int
		minShards    int
	}{
		{"connections for all", newMembers(12, 0), leafpick.Unbounded, 12, 0},
		{"connections for exactly all", newMembers(12, 0), 12, 12, 0},
		{"connections for nine", newMembers(12, 0), 9, 9, 1},
		{"connections for one", newMembers(2, 0), 1, 1, 1},
		{"small hosts", newMembers(12, 2), leafpick.Unbounded, 6, 12},
		{"single node", newMembers(1, 0), leafpick.Unbounded, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var agreed []string
			for i := range c.nodes {
				nodes := append([]member.Member{c.nodes[i]}, append(c.nodes[:i:i], c.nodes[i+1:]...)...)
				fleet, helpers, minShards := assignGatherers(nodes, c.maxGatherers)
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

// TestEachDataCentreHasGatherers has fewer gatherers than nodes. Each data centre has an
// equal number of them.
func TestEachDataCentreHasGatherers(t *testing.T) {
	nodes := newMembers(30, 0)
	fleet, _, _ := assignGatherers(nodes, 9)
	gatherers := map[string]int{}
	for _, m := range nodes {
		if slices.Contains(fleet.Gatherers.Names, m.Name) {
			gatherers[m.DataCentre]++
		}
	}
	require.Equal(t, map[string]int{"z0": 3, "z1": 3, "z2": 3}, gatherers)
}

// TestEachDataCentreHasHelpers has larger hosts in one data centre than in the others, and
// fewer gatherers than nodes, in one case also fewer than data centres. Each node that does
// not gather has helpers, in its own data centre if there are gatherers in each.
func TestEachDataCentreHasHelpers(t *testing.T) {
	for maxGatherers, sameDataCentre := range map[int]bool{9: true, 2: false} {
		nodes := newMembers(18, 0)
		for i := range nodes {
			if nodes[i].DataCentre != "z2" {
				nodes[i].Record.Capacity = 20
			}
		}
		dataCentreOf := map[string]string{}
		for _, m := range nodes {
			dataCentreOf[m.Name] = m.DataCentre
		}
		for i := range nodes {
			self := append([]member.Member{nodes[i]}, append(nodes[:i:i], nodes[i+1:]...)...)
			fleet, helpers, _ := assignGatherers(self, maxGatherers)
			require.Len(t, fleet.Gatherers.Names, maxGatherers)
			if slices.Contains(fleet.Gatherers.Names, self[0].Name) {
				continue
			}
			require.NotEmpty(t, helpers, "helpers of %s in %s", self[0].Name, self[0].DataCentre)
			for _, h := range helpers {
				require.Contains(t, fleet.Gatherers.Names, h.Name)
				if sameDataCentre {
					require.Equal(t, self[0].DataCentre, dataCentreOf[h.Name])
				}
			}
		}
	}
}
