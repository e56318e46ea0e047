package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// waitInForce waits until the given number of nodes report the current document as
// in force.
func (c *cluster) waitInForce(nodes int) {
	c.t.Helper()
	c.wait("the document is in force", func() bool { return c.nodesAtRevision(c.doc.Revision) == nodes })
}

// TestConfigurationNeverReverts takes a data centre out. The configuration service
// then offers an older document, offers other bytes of the same revision, is stale and
// goes down, while all nodes but one are each killed and restarted, and stopped as planned
// and restarted. The leaves that are taken out must receive no requests after
// takeEffectLimit.
func TestConfigurationNeverReverts(t *testing.T) {
	first := smallDocument()
	c := start(t, 4, first, standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(4)
	load.waitAnswers(50)
	takenOutAt := c.takeOut("tema")
	c.waitInForce(4)
	load.runPastLimit(takenOutAt)
	digest := c.digest(c.nodes[0])

	older, err := document.Encode(first)
	require.NoError(t, err)
	c.platform.SetDocument(first.Revision, older)
	c.kill(c.nodes[1])
	c.restart(c.nodes[1])
	load.waitAnswers(20)

	forged := *first
	forged.Revision = c.doc.Revision
	other, err := document.Encode(&forged)
	require.NoError(t, err)
	c.platform.SetDocument(forged.Revision, other)
	c.kill(c.nodes[2])
	c.restart(c.nodes[2])
	load.waitAnswers(20)

	c.platform.SetDocument(first.Revision, older)
	c.platform.SetStale(true)
	for _, p := range c.nodes[:3] {
		p.unreachable.Store(true)
		c.stopPlanned(p)
		c.restart(p)
		load.waitAnswers(10)
	}
	c.platform.SetDown(true)
	c.kill(c.nodes[0])
	c.restart(c.nodes[0])
	load.waitAnswers(20)
	load.stop()
	c.waitInForce(4)
	for _, p := range c.nodes {
		require.Equal(t, digest, c.digest(p), p.settings.Name)
	}
	c.requireNoRequestsAfter(c.leavesIn("tema"), takenOutAt.Add(takeEffectLimit))
}

func (c *cluster) digest(p *process) string {
	s, err := p.status()
	require.NoError(c.t, err)
	return s.Digest
}
