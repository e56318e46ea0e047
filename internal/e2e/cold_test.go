package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// coldLeaf is a leaf that starts cold and falls over under more than it bears.
var coldLeaf = standin.LeafOptions{ServiceTime: 4 * time.Millisecond, FallTime: 300 * time.Millisecond}

// TestColdLeavesGetLittle starts leaves cold under load, lets them lie about it,
// restarts them, kills a holder, freezes another one and hands shares over.
func TestColdLeavesGetLittle(t *testing.T) {
	doc := smallDocument()
	limits := &doc.Deployments[0].Services[0].Leaf
	limits.Slots = 4
	limits.ColdSlots = 1
	limits.WarmAfter = 60
	c := start(t, 6, doc, coldLeaf, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(16)
	load.waitAnswers(100)
	for _, leaf := range c.leaves {
		leaf.SetFaults(standin.Faults{ReportWarm: true})
	}
	for _, step := range []func(){
		func() { c.leaves["t1-0"].CrashFor(200 * time.Millisecond) },
		func() { c.kill(c.nodes[0]) },
		func() { c.freeze(c.nodes[1]) },
		func() { c.leaves["m1-1"].CrashFor(10 * time.Millisecond) },
		func() { c.wake(c.nodes[1]) },
		func() {
			c.nodes[2].frozen.Store(true)
			c.stopPlanned(c.nodes[2])
		},
		func() { c.leaves["m1-2"].CrashFor(100 * time.Millisecond) },
		func() { c.restart(c.nodes[0]) },
	} {
		step()
		load.waitAnswers(80)
	}
	load.stop()
	c.requireWithinBounds()
	for name, leaf := range c.leaves {
		require.Zero(t, leaf.Counts().Falls, "falls of leaf %s", name)
	}
}

// TestColdWithoutWarning turns warm leaves cold under load. A leaf may end what
// it has been sent before its first answer as a cold leaf; from then on it gets
// no more than it bears.
func TestColdWithoutWarning(t *testing.T) {
	doc := smallDocument()
	limits := &doc.Deployments[0].Services[0].Leaf
	limits.Slots = 4
	limits.ColdSlots = 1
	limits.WarmAfter = 60
	c := start(t, 4, doc, standin.LeafOptions{StartWarm: true, ServiceTime: 4 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(16)
	load.waitAnswers(200)
	chilled := time.Now()
	for _, leaf := range c.leaves {
		leaf.MakeCold()
	}
	c.kill(c.nodes[0])
	load.waitAnswers(200)
	load.stop()
	for name, leaf := range c.leaves {
		c.requireColdBound(name, leaf.Records(), chilled, limits.ColdSlots)
	}
}

// requireColdBound checks the records of a leaf that turned cold at a time: once
// its first answer as a cold leaf is out and the requests sent before that have
// ended, no more than bound run at once.
func (c *cluster) requireColdBound(name string, records []standin.Record, chilled time.Time, bound int) {
	c.t.Helper()
	var told time.Time
	for _, r := range records {
		if r.Cold && r.Ran && r.Start.After(chilled) && (told.IsZero() || r.End.Before(told)) {
			told = r.End
		}
	}
	require.False(c.t, told.IsZero(), "leaf %s answered nothing cold", name)
	for _, r := range records {
		if !r.Cold || r.Start.Before(told.Add(inFlightLimit)) {
			continue
		}
		running := 0
		for _, other := range records {
			if other.Snapshot != "" && !other.Start.After(r.Start) && other.End.After(r.Start) {
				running++
			}
		}
		require.LessOrEqual(c.t, running, bound, "leaf %s at %s", name, r.Start.Sub(told))
	}
}

// inFlightLimit is the time in which a request that was sent reaches its leaf.
const inFlightLimit = 200 * time.Millisecond
