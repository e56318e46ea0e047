package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// stopPlanned asks a node to stop and waits for its exit.
func (c *cluster) stopPlanned(p *process) {
	c.t.Helper()
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		require.FailNow(c.t, "node does not stop", p.settings.Name)
	}
	require.NoError(c.t, p.result, "exit code of %s", p.settings.Name)
}

func TestRollingReplacementCutsOffNothing(t *testing.T) {
	snapshot := standin.NewSnapshot("1-first", 90, 10)
	c := start(t, 6, siteDocument(t), standin.LeafOptions{ServiceTime: time.Millisecond}, snapshot)
	load := c.startLoad(4)
	load.waitAnswers(100)
	for _, p := range c.nodes {
		load.avoidUnready(true)
		c.stopPlanned(p)
		load.waitAnswers(20)
		c.startNode(p)
		c.waitReady(p)
		load.waitAnswers(20)
	}
	load.stop()
	c.requireFull(load.exchanges)
	c.requireWithinBounds()
}
