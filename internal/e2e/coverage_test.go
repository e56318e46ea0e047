package e2e

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// TestCoverageIsTrue loses a replica, then the whole shard, then a node, and
// compares what answers state with what the leaves that are left hold.
func TestCoverageIsTrue(t *testing.T) {
	const entries = 300
	snapshot := standin.NewPartitionedSnapshot("1-first", entries, standin.UnequalBounds(3, 7))
	for _, policy := range []string{document.CoverageDeadline, document.CoverageFull} {
		t.Run(policy, func(t *testing.T) {
			doc := smallDocument()
			p := &doc.Deployments[0].Services[0].Policy
			p.Coverage = policy
			p.DeadlineMS = 3000
			if policy == document.CoverageFull {
				p.MinimumCoverage = 1
			}
			c := start(t, 4, doc, standin.LeafOptions{StartWarm: true}, snapshot)
			load := c.startLoad(2)
			load.waitAnswers(30)
			c.leaves["t1-1"].Crash()
			load.waitAnswers(30)
			load.stop()
			for _, e := range load.exchanges {
				require.True(t, e.ok() && e.answer.Coverage.Covered == e.answer.Coverage.Total, "replica lost: %+v", e.answer)
				c.requireOwnSnapshot(e.answer, entries)
			}
			c.leaves["m1-1"].Crash()
			c.kill(c.nodes[0])
			for _, node := range c.nodes[1:] {
				for range 5 {
					c.requireShardMissing(node.exchange(searchAll(0)), snapshot, 1, policy)
				}
			}
		})
	}
}

// requireShardMissing checks that an answer states the loss of one shard.
func (c *cluster) requireShardMissing(e exchange, snapshot *standin.Snapshot, shard int, policy string) {
	c.t.Helper()
	require.NoError(c.t, e.err)
	if policy == document.CoverageFull {
		require.Equal(c.t, "coverage_too_low", e.answer.Kind, e.answer.Message)
		require.Less(c.t, e.done.Sub(e.sent), c.doc.Deployments[0].Services[0].Policy.Deadline())
		return
	}
	from, to := snapshot.Range(shard)
	require.Equal(c.t, http.StatusOK, e.answer.Status, e.answer.Message)
	held := len(snapshot.Search(0, from, standin.Query{}).Hits) + len(snapshot.Search(to, standin.KeySpace, standin.Query{}).Hits)
	require.Len(c.t, e.answer.Hits, held)
	coverage := e.answer.Coverage
	require.True(c.t, coverage.Known)
	require.EqualValues(c.t, standin.KeySpace, coverage.Total)
	require.EqualValues(c.t, standin.KeySpace-(to-from), coverage.Covered)
	require.Len(c.t, coverage.Missing, 1)
	require.Equal(c.t, from, coverage.Missing[0].From)
	require.Equal(c.t, to, coverage.Missing[0].To)
}
