package leafpick

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func nodeNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	return names
}

// homes returns the leaves at which a node has a home.
func homes(self string, names []string, leaves, rooms int) []bool {
	f := NewFleet(self, names)
	homes := make([]bool, leaves)
	for i := range homes {
		homes[i] = f.Home(i, rooms)
	}
	return homes
}

// TestHomes deals the rooms of leaves out to fleets of many sizes.
func TestHomes(t *testing.T) {
	for _, c := range []struct{ nodes, leaves, rooms int }{
		{1, 1, 1}, {6, 3, 20}, {12, 3, 3}, {12, 3, 8}, {30, 3, 20}, {30, 4, 1}, {600, 9, 20},
		{600, 9, 100}, {5, 2, Unbounded}, {7, 0, 3},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			names := nodeNames(c.nodes)
			used := make([]int, c.leaves)
			fewest, most := c.leaves, 0
			for _, self := range names {
				mine := 0
				for i, home := range homes(self, names, c.leaves, c.rooms) {
					if home {
						used[i]++
						mine++
					}
				}
				fewest, most = min(fewest, mine), max(most, mine)
			}
			each := min(c.rooms, c.nodes)
			for i := range used {
				require.Equal(t, each, used[i], "leaf %d", i)
			}
			require.Equal(t, c.leaves*each/c.nodes, fewest)
			require.Equal(t, (c.leaves*each+c.nodes-1)/c.nodes, most)
		})
	}
}

// TestHomesOfOthers has a node that is not one of those that share.
func TestHomesOfOthers(t *testing.T) {
	require.Equal(t, []bool{false, false}, homes("other", nodeNames(4), 2, Unbounded))
}

// TestHomesMoveLittle adds one node. Connections that move cost leaves new ones.
func TestHomesMoveLittle(t *testing.T) {
	const nodes, leaves, rooms = 60, 9, 20
	names := nodeNames(nodes)
	more := slices.Insert(slices.Clone(names), nodes/2, "new")
	moved, all := 0, 0
	for _, self := range names {
		before, after := homes(self, names, leaves, rooms), homes(self, more, leaves, rooms)
		for i := range leaves {
			if before[i] {
				all++
			}
			if before[i] && !after[i] {
				moved++
			}
		}
	}
	require.Less(t, moved, all/5)
}
