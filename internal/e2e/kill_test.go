package e2e

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// siteDocument returns a document with 30 leaves in three data centres: ten shards of
// three replicas.
func siteDocument(t *testing.T) *document.Document {
	loaded, err := document.LoadFile("../../examples/adom.jsonc")
	require.NoError(t, err)
	return loaded.Document
}

func TestKilledNodeIsReplacedByDeputies(t *testing.T) {
	snapshot := standin.NewSnapshot("1-first", 90, 10)
	c := start(t, 6, siteDocument(t), standin.LeafOptions{ServiceTime: time.Millisecond}, snapshot)
	load := c.startLoad(4)
	load.waitAnswers(200)
	victim := c.nodes[0]
	c.kill(victim)
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
	c.requireWithinLimits()
	for _, e := range load.exchanges {
		if e.ok() {
			require.True(t, e.answer.Coverage.Known)
		}
	}
	a, err := c.nodes[0].post(searchPath, `{"text":"entry"}`, nil)
	require.NoError(t, err)
	require.Equal(t, a.Coverage.Total, a.Coverage.Covered)
}
