package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// publishChange publishes an edited copy of the current document under the next
// revision, and returns the time after publication.
func (c *cluster) publishChange(edit func(doc *document.Document)) time.Time {
	next := *c.doc
	next.Revision++
	edit(&next)
	c.doc = &next
	c.publish(c.doc)
	return time.Now()
}

func (c *cluster) takeOut(dataCentres ...string) time.Time {
	return c.publishChange(func(doc *document.Document) { doc.TakenOut = dataCentres })
}

// nodesAtRevision counts the reachable nodes that report a revision as in force.
func (c *cluster) nodesAtRevision(revision uint64) int {
	n := 0
	for _, p := range c.nodes {
		if p.unreachable.Load() {
			continue
		}
		if s, err := p.status(); err == nil && s.Revision == revision {
			n++
		}
	}
	return n
}

// runPastLimit keeps the load running until a second after a change must have
// taken effect, and for 30 more answers.
func (l *load) runPastLimit(changedAt time.Time) {
	l.cluster.wait("load past the limit", func() bool {
		return time.Since(changedAt) > takeEffectLimit+time.Second
	})
	l.waitAnswers(30)
}

// TestTakenOutDataCentreGetsNoNewWork takes a data centre out. One node cannot
// reach the configuration service, which goes down once another node has read the
// change. A node is killed, and the data centre returns with cold leaves.
func TestTakenOutDataCentreGetsNoNewWork(t *testing.T) {
	doc := siteDocument(t)
	doc.Deployments[0].Services[0].Policy.DeadlineMS = 1000
	doc.Deployments[0].Services[0].Policy.Hedge = document.HedgeOff // a hedge cancels the losing attempt
	doc.Deployments[0].Services[0].Leaf.ColdSlots = 1
	c := setup{
		nodes: 6, doc: doc, proxyPlatform: true,
		leaf:      standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond},
		snapshots: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 10)},
	}.start(t)
	load := c.startLoad(6)
	load.waitAnswers(100)
	c.nodes[0].platformProxy.SetFaults(faultproxy.Faults{Refuse: true})
	c.nodes[0].platformProxy.CloseConnections()
	takenOutAt := c.takeOut("kaneshie")
	c.wait("one node has the change", func() bool { return c.nodesAtRevision(c.doc.Revision) > 0 })
	c.platform.SetDown(true)
	load.runPastLimit(takenOutAt)
	require.Equal(t, 6, c.nodesAtRevision(c.doc.Revision))
	c.requireNoRequestsAfter(c.leavesIn("kaneshie"), takenOutAt.Add(takeEffectLimit))
	c.requireNoneCanceled("kaneshie")
	require.Equal(t, 0, c.countFailed(load))
	c.kill(c.nodes[5])
	load.waitAnswers(50)
	for _, name := range c.leavesIn("kaneshie") {
		c.leaves[name].MakeCold()
	}
	c.platform.SetDown(false)
	returnedAt := c.takeOut()
	c.wait("every leaf that returned works", func() bool {
		for _, name := range c.leavesIn("kaneshie") {
			records := c.leaves[name].Records()
			if len(records) == 0 || !records[len(records)-1].Start.After(returnedAt) {
				return false
			}
		}
		return true
	})
	load.waitAnswers(100)
	load.stop()
	c.requireWithinLimits()
}

// requireNoneCanceled checks that no request to the leaves of a data centre was
// canceled.
func (c *cluster) requireNoneCanceled(dataCentre string) {
	c.t.Helper()
	for _, name := range c.leavesIn(dataCentre) {
		require.Zero(c.t, c.leaves[name].Counts().Canceled, "leaf %s", name)
	}
}

// countFailed counts the exchanges so far that lack status 200 or full coverage.
func (c *cluster) countFailed(l *load) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	failed := 0
	for _, e := range l.exchanges {
		if !e.ok() || e.answer.Coverage.Covered != e.answer.Coverage.Total {
			c.t.Logf("failed at %s: %s", e.node.settings.Name, e.summary())
			failed++
		}
	}
	return failed
}

// TestConfigurationChangesInQuickSuccession publishes changes in quick
// succession while a node is suspended. The last one must be in force everywhere.
func TestConfigurationChangesInQuickSuccession(t *testing.T) {
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(4)
	load.waitAnswers(50)
	c.suspend(c.nodes[2])
	c.takeOut("tema")
	c.takeOut()
	time.Sleep(500 * time.Millisecond) // out and in within a second
	c.takeOut("tema")
	c.takeOut()
	takenOutAt := c.takeOut("madina")
	load.runPastLimit(takenOutAt)
	c.resume(c.nodes[2])
	c.wait("the last change is in force", func() bool { return c.nodesAtRevision(c.doc.Revision) == 6 })
	load.waitAnswers(50)
	c.waitFullCoverage()
	load.stop()
	c.requireNoRequestsAfter(c.leavesIn("madina"), takenOutAt.Add(takeEffectLimit))
	c.requireNotRunIsTrue(load.exchanges)
}

// TestLeavingTargetGetsNoNewWork makes a leaf report that it is leaving, and lists
// another one as leaving in the document, after a node was killed.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	c := start(t, 4, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(4)
	load.waitAnswers(50)
	c.kill(c.nodes[1])
	c.leaves["t1-0"].SetFaults(standin.Faults{Leaving: true})
	reported := time.Now()
	listed := c.publishChange(func(doc *document.Document) { doc.LeavingLeaves = []string{"m1-2"} })
	load.runPastLimit(listed)
	load.stop()
	c.requireNoRequestsAfter([]string{"t1-0"}, reported.Add(takeEffectLimit))
	c.requireNoRequestsAfter([]string{"m1-2"}, listed.Add(takeEffectLimit))
}
