package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// rolloutInterval is the time between the switches of two leaves to a new snapshot.
const rolloutInterval = 60 * time.Millisecond

// TestAnswersKeepOneSnapshot rolls out new snapshots with other partitionings leaf by
// leaf under load, with one node killed and another one suspended. No answer may mix
// snapshots.
func TestAnswersKeepOneSnapshot(t *testing.T) {
	const entries = 90
	first := standin.NewSnapshot("1-first", entries, 3)
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, first)
	load := c.startLoad(6)
	load.waitAnswers(50)
	c.kill(c.nodes[0])
	for i := range 4 {
		name := fmt.Sprintf("%d-next", i+2)
		next := standin.NewPartitionedSnapshot(name, entries, standin.UnequalBounds(3, uint64(i)))
		if i == 1 {
			c.suspend(c.nodes[1])
		}
		require.NoError(t, standin.Rollout(context.Background(), c.sortedLeaves(), next, rolloutInterval))
		load.waitAnswers(20)
		if i == 2 {
			c.resume(c.nodes[1])
		}
		c.wait("answers of snapshot "+name, func() bool {
			e := c.anyNode().exchange(searchAll(0))
			return e.ok() && e.answer.Snapshot == name && e.answer.Coverage.Covered == e.answer.Coverage.Total
		})
	}
	load.stop()
	seen := map[string]int{}
	for _, e := range load.exchanges {
		if e.ok() {
			c.requireOneSnapshot(e.answer, entries)
			seen[e.answer.Snapshot]++
		}
	}
	require.Greater(t, len(seen), 2, "snapshots seen: %v", seen)
}
