package e2e

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// coveragePolicies are the coverage policies under which the tests run.
var coveragePolicies = []string{document.CoverageDeadline, document.CoverageFull}

// startWithPolicy starts a cluster with a coverage policy, and load on it.
func startWithPolicy(t *testing.T, policy string, startLoad func(c *cluster, callers int) *load) (*cluster, *load, *standin.Snapshot) {
	const entries = 300
	snapshot := standin.NewPartitionedSnapshot("1-first", entries, standin.UnequalBounds(3, 7))
	doc := smallDocument()
	p := &doc.Deployments[0].Services[0].Policy
	p.Coverage = policy
	p.DeadlineMS = 3000
	if policy == document.CoverageFull {
		p.MinimumCoverage = 1
	}
	c := start(t, 4, doc, standin.LeafOptions{StartWarm: true}, snapshot)
	load := startLoad(c, 2)
	load.waitAnswers(30)
	return c, load, snapshot
}

// TestLostReplicaCostsNoAnswer crashes a replica of one shard under callers that send
// each request as soon as the one before is answered.
func TestLostReplicaCostsNoAnswer(t *testing.T) { loseReplica(t, (*cluster).startLoad) }

// TestLostReplicaUnderPacedLoad does the same with callers that pause between
// requests, so that the host is not saturated.
func TestLostReplicaUnderPacedLoad(t *testing.T) { loseReplica(t, (*cluster).startPacedLoad) }

// loseReplica crashes a replica; every answer must have full coverage.
func loseReplica(t *testing.T, startLoad func(c *cluster, callers int) *load) {
	for _, policy := range coveragePolicies {
		t.Run(policy, func(t *testing.T) {
			c, load, _ := startWithPolicy(t, policy, startLoad)
			c.leaves["t1-1"].Crash()
			load.waitAnswers(30)
			require.Zero(t, c.countFailed(load), "one replica lost")
		})
	}
}

// TestCoverageIsTrue crashes a replica, kills a node and crashes the shard's other
// replica, and compares the coverage that answers report with their hits.
func TestCoverageIsTrue(t *testing.T) {
	for _, policy := range coveragePolicies {
		t.Run(policy, func(t *testing.T) {
			c, load, snapshot := startWithPolicy(t, policy, (*cluster).startLoad)
			c.leaves["t1-1"].Crash()
			load.waitAnswers(30)
			c.kill(c.nodes[0])
			c.waitFullCoverage()
			c.leaves["m1-1"].Crash()
			for _, node := range c.nodes[1:] {
				for range 5 {
					c.requireShardMissing(node.exchange(searchAll(0)), snapshot, 1, policy)
				}
			}
			load.stop()
			for _, e := range load.exchanges {
				c.requireAccurateCoverage(e, snapshot)
			}
		})
	}
}

// requireAccurateCoverage checks that an answer has exactly the entries of the
// keys that it reports as covered. It ignores exchanges without status 200.
func (c *cluster) requireAccurateCoverage(e exchange, snapshot *standin.Snapshot) {
	c.t.Helper()
	if !e.ok() {
		return
	}
	c.requireOneSnapshot(e.answer, len(snapshot.Entries))
	entries := len(snapshot.Entries)
	covered := uint32(standin.KeySpace)
	counted := map[uint32]bool{}
	for _, m := range e.answer.Coverage.Missing {
		if counted[m.From] {
			continue // another replica of the same range
		}
		counted[m.From] = true
		entries -= len(snapshot.Search(m.From, m.To, standin.Query{}).Hits)
		covered -= m.To - m.From
	}
	require.Len(c.t, e.answer.Hits, entries, "%+v", e.answer.Coverage)
	require.Equal(c.t, covered, e.answer.Coverage.Covered)
}

// requireShardMissing checks that an answer reports exactly one shard as missing or,
// under the policy of full coverage, is a refusal before the deadline.
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
	c.requireAccurateCoverage(e, snapshot)
	coverage := e.answer.Coverage
	require.True(c.t, coverage.Known)
	require.EqualValues(c.t, standin.KeySpace, coverage.Total)
	require.NotEmpty(c.t, coverage.Missing)
	for _, m := range coverage.Missing {
		require.Equal(c.t, []uint32{from, to}, []uint32{m.From, m.To})
	}
}
