package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWeightSpreadsEvenly checks that twelve nodes with similar names each have the highest
// weight for about the same number of leaves with similar names.
func TestWeightSpreadsEvenly(t *testing.T) {
	const nodes, leaves = 12, 6000
	won := make([]int, nodes)
	for l := range leaves {
		best, most := 0, uint64(0)
		for n := range nodes {
			if w := Weight(fmt.Sprint("leaf-", l), fmt.Sprint("node-", n)); w > most {
				best, most = n, w
			}
		}
		won[best]++
	}
	for n := range nodes {
		require.InDelta(t, leaves/nodes, won[n], leaves/nodes*0.2, "node %d", n)
	}
	require.NotEqual(t, Weight("a", "bc"), Weight("ab", "c"))
}
