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

// TestHomes deals the rooms of leaves out to fleets of many sizes.
func TestHomes(t *testing.T) {
	for _, c := range []struct {
		nodes int
		rooms []int
	}{
		{1, []int{1}}, {6, []int{20, 20, 20}}, {12, []int{3, 3, 3}}, {12, []int{8, 8, 8}},
		{30, []int{20, 20, 20}}, {30, []int{9, 1, 40, 3}}, {600, slices.Repeat([]int{20}, 9)},
		{5, []int{Unbounded, 2}}, {7, nil},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			names := nodeNames(c.nodes)
			used := make([]int, len(c.rooms))
			fewest, most, scarce := c.nodes, 0, 0
			for _, rooms := range c.rooms {
				if rooms < c.nodes {
					scarce += rooms
				}
			}
			for _, self := range names {
				mine := 0
				for i, home := range (&Fleet{Self: self, Names: names}).Homes(c.rooms) {
					if !home {
						continue
					}
					used[i]++
					if c.rooms[i] < c.nodes {
						mine++
					}
				}
				fewest, most = min(fewest, mine), max(most, mine)
			}
			for i, rooms := range c.rooms {
				require.Equal(t, min(rooms, c.nodes), used[i], "leaf %d", i)
			}
			require.Equal(t, scarce/c.nodes, fewest)
			require.Equal(t, (scarce+c.nodes-1)/c.nodes, most)
		})
	}
}

// TestHomesOfOthers has a node that is not one of those that share.
func TestHomesOfOthers(t *testing.T) {
	f := &Fleet{Self: "other", Names: nodeNames(4)}
	require.Equal(t, []bool{false, false}, f.Homes([]int{2, 4}))
}

// TestHomesMoveLittle adds one node. Connections that move cost leaves new ones.
func TestHomesMoveLittle(t *testing.T) {
	const nodes = 60
	rooms := slices.Repeat([]int{20}, 9)
	names := nodeNames(nodes)
	more := slices.Insert(slices.Clone(names), nodes/2, "new")
	moved, all := 0, 0
	for _, self := range names {
		before := (&Fleet{Self: self, Names: names}).Homes(rooms)
		after := (&Fleet{Self: self, Names: more}).Homes(rooms)
		for i := range rooms {
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
