package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// coldLeafOptions make a leaf start cold, and refuse everything for FallTime after
// it receives more than its cold slots at once.
var coldLeafOptions = standin.LeafOptions{ServiceTime: 4 * time.Millisecond, FallTime: 300 * time.Millisecond}

// TestColdLeavesStayWithinLimits starts leaves cold under load, makes them
// report themselves warm, restarts them, kills and restarts a node, suspends another
// and stops a third, which hands its shares over.
func TestColdLeavesStayWithinLimits(t *testing.T) {
	doc := smallDocument()
	limits := &doc.Deployments[0].Services[0].Leaf
	limits.Slots = 4
	limits.ColdSlots = 1
	limits.WarmAfter = 60
	c := start(t, 6, doc, coldLeafOptions, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(16)
	load.waitAnswers(100)
	for _, leaf := range c.leaves {
		leaf.SetFaults(standin.Faults{ReportWarm: true})
	}
	for _, step := range []func(){
		func() { c.leaves["t1-0"].CrashFor(200 * time.Millisecond) },
		func() { c.kill(c.nodes[0]) },
		func() { c.suspend(c.nodes[1]) },
		func() { c.leaves["m1-1"].CrashFor(10 * time.Millisecond) },
		func() { c.resume(c.nodes[1]) },
		func() {
			c.nodes[2].unreachable.Store(true)
			c.stopPlanned(c.nodes[2])
		},
		func() { c.leaves["m1-2"].CrashFor(100 * time.Millisecond) },
		func() { c.restart(c.nodes[0]) },
	} {
		step()
		load.waitAnswers(80)
	}
	load.stop()
	c.requireWithinLimits()
	for name, leaf := range c.leaves {
		require.Zero(t, leaf.Counts().Falls, "falls of leaf %s", name)
	}
}

// TestWarmLeavesTurnCold turns warm leaves cold under load. Requests that were sent
// to a leaf before its first answer as a cold leaf may still run; after that answer
// the cold slots are a hard limit.
func TestWarmLeavesTurnCold(t *testing.T) {
	doc := smallDocument()
	limits := &doc.Deployments[0].Services[0].Leaf
	limits.Slots = 4
	limits.ColdSlots = 1
	limits.WarmAfter = 60
	c := start(t, 4, doc, standin.LeafOptions{StartWarm: true, ServiceTime: 4 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(16)
	load.waitAnswers(200)
	coldSince := time.Now()
	for _, leaf := range c.leaves {
		leaf.MakeCold()
	}
	c.kill(c.nodes[0])
	load.waitAnswers(200)
	load.stop()
	for name, leaf := range c.leaves {
		c.requireColdLimit(name, leaf.Records(), coldSince, limits.ColdSlots)
	}
}

// requireColdLimit checks the records of a leaf that turned cold at coldSince.
// Requests that start later than deliveryLimit after its first answer as a cold leaf
// must find no more than limit requests running, themselves included.
func (c *cluster) requireColdLimit(name string, records []standin.Record, coldSince time.Time, limit int) {
	c.t.Helper()
	var reported time.Time
	for _, r := range records {
		if r.Cold && r.Ran && r.Start.After(coldSince) && (reported.IsZero() || r.End.Before(reported)) {
			reported = r.End
		}
	}
	require.False(c.t, reported.IsZero(), "leaf %s has run no request since it turned cold", name)
	for _, r := range records {
		if !r.Cold || r.Start.Before(reported.Add(deliveryLimit)) {
			continue
		}
		running := 0
		for _, other := range records {
			if other.Snapshot != "" && !other.Start.After(r.Start) && other.End.After(r.Start) {
				running++
			}
		}
		require.LessOrEqual(c.t, running, limit, "leaf %s at %s", name, r.Start.Sub(reported))
	}
}

// deliveryLimit bounds the time from sending a request to its start at the leaf.
const deliveryLimit = 200 * time.Millisecond
