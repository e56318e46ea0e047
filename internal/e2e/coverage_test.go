package e2e

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// coveragePolicies are the policies under which coverage is judged.
var coveragePolicies = []string{document.CoverageDeadline, document.CoverageFull}

// startWithPolicy starts a fleet with a policy, and load on it.
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

// TestLostReplicaCostsNoAnswer loses a replica of one shard while callers send one request
// after the other, as fast as they are answered.
func TestLostReplicaCostsNoAnswer(t *testing.T) { loseReplica(t, (*cluster).startLoad) }

// TestLostReplicaUnderPacedLoad is the same with callers that leave the machine room.
func TestLostReplicaUnderPacedLoad(t *testing.T) { loseReplica(t, (*cluster).startPacedLoad) }

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

// TestCoverageIsTrue loses a replica, then the whole shard, then a node, and
// compares what answers state with what the leaves that are left hold.
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

// requireAccurateCoverage checks that an answer has the entries of exactly the keys
// that it claims to cover.
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
	c.requireAccurateCoverage(e, snapshot)
	coverage := e.answer.Coverage
	require.True(c.t, coverage.Known)
	require.EqualValues(c.t, standin.KeySpace, coverage.Total)
	require.NotEmpty(c.t, coverage.Missing)
	for _, m := range coverage.Missing {
		require.Equal(c.t, []uint32{from, to}, []uint32{m.From, m.To})
	}
}
