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

// assignments reports for each leaf whether it is assigned to the node self.
func assignments(self string, names []string, leaves, nodesPerLeaf int) []bool {
	f := NewFleet(self, names)
	assignments := make([]bool, leaves)
	for i := range assignments {
		assignments[i] = f.Assigned(i, nodesPerLeaf)
	}
	return assignments
}

// TestAssignedLeaves checks for fleets of many sizes that each leaf is assigned to as many
// nodes as it accepts, and that the numbers of leaves per node differ by at most one.
func TestAssignedLeaves(t *testing.T) {
	for _, c := range []struct{ nodes, leaves, nodesPerLeaf int }{
		{1, 1, 1}, {6, 3, 20}, {12, 3, 3}, {12, 3, 8}, {30, 3, 20}, {30, 4, 1}, {600, 9, 20},
		{600, 9, 100}, {5, 2, Unbounded}, {7, 0, 3},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			names := nodeNames(c.nodes)
			used := make([]int, c.leaves)
			fewest, most := c.leaves, 0
			for _, self := range names {
				own := 0
				for i, home := range assignments(self, names, c.leaves, c.nodesPerLeaf) {
					if home {
						used[i]++
						own++
					}
				}
				fewest, most = min(fewest, own), max(most, own)
			}
			each := min(c.nodesPerLeaf, c.nodes)
			for i := range used {
				require.Equal(t, each, used[i], "leaf %d", i)
			}
			require.Equal(t, c.leaves*each/c.nodes, fewest)
			require.Equal(t, (c.leaves*each+c.nodes-1)/c.nodes, most)
		})
	}
}

// TestNonMemberHasNoLeaves checks a node that is not part of the fleet.
func TestNonMemberHasNoLeaves(t *testing.T) {
	require.Equal(t, []bool{false, false}, assignments("other", nodeNames(4), 2, Unbounded))
}

// TestNewNodeMovesFewAssignments adds one node to a fleet. Each assignment that moves makes
// a leaf accept new connections.
func TestNewNodeMovesFewAssignments(t *testing.T) {
	const nodes, leaves, nodesPerLeaf = 60, 9, 20
	names := nodeNames(nodes)
	more := slices.Insert(slices.Clone(names), nodes/2, "new")
	moved, total := 0, 0
	for _, self := range names {
		before, after := assignments(self, names, leaves, nodesPerLeaf), assignments(self, more, leaves, nodesPerLeaf)
		for i := range leaves {
			if before[i] {
				total++
			}
			if before[i] && !after[i] {
				moved++
			}
		}
	}
	require.Less(t, moved, total/5)
}
