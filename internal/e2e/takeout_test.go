package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// change publishes a copy of the document in force with a change and the next
// revision, and returns the time of publication.
func (c *cluster) change(edit func(doc *document.Document)) time.Time {
	next := *c.doc
	next.Revision++
	edit(&next)
	c.doc = &next
	c.publish(c.doc)
	return time.Now()
}

func (c *cluster) takeOut(dataCentres ...string) time.Time {
	return c.change(func(doc *document.Document) { doc.TakenOut = dataCentres })
}

// nodesAt counts the nodes that report a revision as in force.
func (c *cluster) nodesAt(revision uint64) int {
	n := 0
	for _, p := range c.nodes {
		if p.frozen.Load() {
			continue
		}
		if s, err := p.status(); err == nil && s.Revision == revision {
			n++
		}
	}
	return n
}

// outlast keeps the load up for a second past the limit of a change.
func (l *load) outlast(changed time.Time) {
	l.cluster.wait("load past the limit", func() bool {
		return time.Since(changed) > takeEffectLimit+time.Second
	})
	l.waitAnswers(30)
}

// TestTakenOutDataCentreGetsNoNewWork takes a data centre out while the service
// goes down after the first node has read the change and another node never
// reached the service, kills a node meanwhile, and lets the data centre return
// cold.
func TestTakenOutDataCentreGetsNoNewWork(t *testing.T) {
	doc := siteDocument(t)
	doc.Deployments[0].Services[0].Policy.DeadlineMS = 1000
	doc.Deployments[0].Services[0].Policy.Hedge = document.HedgeOff // a hedge cancels its loser
	doc.Deployments[0].Services[0].Leaf.ColdSlots = 1
	c := setup{
		nodes: 6, doc: doc, proxyService: true,
		leaf: standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond},
		held: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 10)},
	}.start(t)
	load := c.startLoad(6)
	load.waitAnswers(100)
	c.nodes[0].service.SetFaults(faultproxy.Faults{Refuse: true})
	c.nodes[0].service.CloseConnections()
	out := c.takeOut("kaneshie")
	c.wait("one node has the change", func() bool { return c.nodesAt(c.doc.Revision) > 0 })
	c.platform.SetDown(true)
	load.outlast(out)
	require.Equal(t, 6, c.nodesAt(c.doc.Revision))
	c.requireNoWorkAfter(c.leavesIn("kaneshie"), out.Add(takeEffectLimit))
	c.requireAllEnded("kaneshie")
	require.Equal(t, 0, c.countFailed(load))
	c.kill(c.nodes[5])
	load.waitAnswers(50)
	for _, name := range c.leavesIn("kaneshie") {
		c.leaves[name].MakeCold()
	}
	c.platform.SetDown(false)
	back := c.takeOut()
	c.wait("every leaf that returned works", func() bool {
		for _, name := range c.leavesIn("kaneshie") {
			records := c.leaves[name].Records()
			if len(records) == 0 || !records[len(records)-1].Start.After(back) {
				return false
			}
		}
		return true
	})
	load.waitAnswers(100)
	load.stop()
	c.requireWithinBounds()
}

// requireAllEnded checks that no request of a data centre was cut off.
func (c *cluster) requireAllEnded(dataCentre string) {
	c.t.Helper()
	for _, name := range c.leavesIn(dataCentre) {
		require.Zero(c.t, c.leaves[name].Counts().Canceled, "leaf %s", name)
	}
}

// countFailed counts the exchanges so far that have no whole answer.
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

// TestOperatorsRace publishes changes in quick succession while a node is
// frozen; the last one is in force everywhere.
func TestOperatorsRace(t *testing.T) {
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(4)
	load.waitAnswers(50)
	c.freeze(c.nodes[2])
	c.takeOut("tema")
	c.takeOut()
	time.Sleep(500 * time.Millisecond) // out and in within a second
	c.takeOut("tema")
	c.takeOut()
	out := c.takeOut("madina")
	load.outlast(out)
	c.wake(c.nodes[2])
	c.wait("the last change is in force", func() bool { return c.nodesAt(c.doc.Revision) == 6 })
	load.waitAnswers(50)
	c.requireWholeAgain()
	load.stop()
	c.requireNoWorkAfter(c.leavesIn("madina"), out.Add(takeEffectLimit))
	c.requireNotRunIsTrue(load.exchanges)
}

// TestLeavingTargetGetsNoNewWork lets a leaf say that it is leaving, and lists
// another one as leaving in the document, while a node is killed.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	c := start(t, 4, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(4)
	load.waitAnswers(50)
	c.kill(c.nodes[1])
	c.leaves["t1-0"].SetFaults(standin.Faults{Leaving: true})
	told := time.Now()
	listed := c.change(func(doc *document.Document) { doc.LeavingLeaves = []string{"m1-2"} })
	load.outlast(listed)
	load.stop()
	c.requireNoWorkAfter([]string{"t1-0"}, told.Add(takeEffectLimit))
	c.requireNoWorkAfter([]string{"m1-2"}, listed.Add(takeEffectLimit))
}
