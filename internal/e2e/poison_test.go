package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

func (c *cluster) crashes() int {
	total := 0
	for _, leaf := range c.leaves {
		total += leaf.Counts().Crashes
	}
	return total
}

func TestPoisonCrashesAtMostTwoTargetsAfterFirstScatter(t *testing.T) {
	snapshot := standin.NewSnapshot("1-first", 90, 10)
	c := start(t, 6, siteDocument(t), standin.LeafOptions{ServiceTime: time.Millisecond}, snapshot)
	load := c.startLoad(2)
	load.waitAnswers(100)
	for _, leaf := range c.leaves {
		leaf.SetFaults(standin.Faults{Poison: "poison", RestartAfter: 300 * time.Millisecond})
	}
	first, err := c.nodes[0].post(searchPath, `{"text":"poison"}`, nil)
	require.NoError(t, err)
	firstCrashes := c.crashes()
	require.Positive(t, firstCrashes)
	for range 3 {
		for _, node := range c.nodes {
			a, err := node.post(searchPath, `{"text":"poison"}`, nil)
			require.NoError(t, err)
			require.NotEqual(t, http.StatusOK, a.Status)
		}
	}
	t.Logf("first scatter: status %d, %d leaves crashed; resends: %d more", first.Status, firstCrashes, c.crashes()-firstCrashes)
	require.LessOrEqual(t, c.crashes()-firstCrashes, 2)
	c.wait("other searches have full coverage again", func() bool {
		a, err := c.nodes[1].post(searchPath, `{"text":"entry"}`, nil)
		return err == nil && a.Status == http.StatusOK && a.Coverage.Covered == a.Coverage.Total
	})
	load.stop()
	c.requireWithinLimits()
}
