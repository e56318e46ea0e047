package e2e

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// siteDocument has 30 leaves in three data centres: ten shards of three
// replicas.
func siteDocument(t *testing.T) *document.Document {
	loaded, err := document.LoadFile("../../examples/adom.jsonc")
	require.NoError(t, err)
	return loaded.Document
}

// requireWithinBounds checks what every leaf counted against its limits.
func (c *cluster) requireWithinBounds() {
	c.t.Helper()
	index := document.NewIndex(c.doc)
	for name, leaf := range c.leaves {
		limits := index.Leaf(index.LeafID(name)).Service.Limits
		counts := leaf.Counts()
		require.LessOrEqual(c.t, counts.MaxConcurrent, limits.Slots, "slots of leaf %s", name)
		require.LessOrEqual(c.t, counts.MaxCold, limits.ColdSlots, "cold slots of leaf %s", name)
		require.LessOrEqual(c.t, counts.MaxConnections, limits.Connections, "connections of leaf %s", name)
	}
}

func TestKilledNodeIsReplacedByDeputies(t *testing.T) {
	snapshot := standin.NewSnapshot("1-first", 90, 10)
	c := start(t, 6, siteDocument(t), standin.LeafOptions{ServiceTime: time.Millisecond}, snapshot)
	load := c.startLoad(searchPath, 4)
	load.waitAnswers(200)
	victim := c.nodes[0]
	require.NoError(t, victim.command.Process.Kill())
	<-victim.exited
	c.nodes = c.nodes[1:]
	c.wait("the deputies use the shares of the killed node", func() bool {
		for _, p := range c.nodes {
			s, err := p.status()
			if err != nil || !slices.Contains(s.Taken, victim.settings.Name) {
				return false
			}
		}
		return true
	})
	load.waitAnswers(200)
	load.stop()
	c.requireWithinBounds()
	for _, a := range load.answers {
		if a.Status == http.StatusOK {
			require.True(t, a.Coverage.Known)
		}
	}
	a, err := c.nodes[0].post(searchPath, `{"text":"entry"}`, nil)
	require.NoError(t, err)
	require.Equal(t, a.Coverage.Total, a.Coverage.Covered)
}
