package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// searchOne asks for one entry, another one in each request.
func searchOne(entries int64) func(n int64) request {
	return func(n int64) request {
		return request{path: searchPath, body: fmt.Sprintf(`{"text":"text of entry-%05d"}`, n%entries)}
	}
}

// TestCallersGetTheirOwnAnswers makes leaves, and proxies in front of them,
// cross, truncate and delay answers, and kills a node meanwhile. Whole answers come
// under each of the faults.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	const entries = 300
	snapshot := standin.NewSnapshot("1-first", entries, 3)
	c := setup{
		nodes: 4, doc: smallDocument(), held: []*standin.Snapshot{snapshot}, proxyLeaves: true,
		leaf: standin.LeafOptions{StartWarm: true, ServiceTime: time.Millisecond},
	}.start(t)
	load := c.startLoadOf(searchOne(entries), 6)
	load.waitAnswers(50)
	load.waitWhole(21)
	for _, name := range c.leavesIn("tema") {
		c.leaves[name].SetFaults(standin.Faults{CrossAnswers: true})
	}
	load.waitAnswers(50)
	load.waitWhole(21)
	c.kill(c.nodes[0])
	for _, name := range c.leavesIn("tema") {
		c.leaves[name].SetFaults(standin.Faults{Truncate: true})
	}
	load.waitAnswers(50)
	load.waitWhole(21)
	for _, name := range c.leavesIn("tema") {
		c.leaves[name].SetFaults(standin.Faults{})
		c.leafProxies[name].SetFaults(faultproxy.Faults{TruncateAfter: 700, Delay: 5 * time.Millisecond})
	}
	load.waitAnswers(50)
	load.waitWhole(21)
	for _, name := range c.leavesIn("tema") {
		c.leafProxies[name].SetFaults(faultproxy.Faults{})
		c.leafProxies[name].Blackhole()
	}
	load.waitAnswers(50)
	load.waitWhole(21)
	load.stop()
	whole := 0
	for _, e := range load.exchanges {
		if !e.ok() {
			continue
		}
		c.requireAnswers(e, snapshot)
		if e.answer.Coverage.Covered == e.answer.Coverage.Total {
			whole++
			require.Len(t, e.answer.Hits, 1, e.body)
		}
	}
	require.Greater(t, whole, 100)
}

// requireAnswers checks that each hit is one that the request asks for.
func (c *cluster) requireAnswers(e exchange, snapshot *standin.Snapshot) {
	c.t.Helper()
	var number int
	_, err := fmt.Sscanf(e.body, `{"text":"text of entry-%d"}`, &number)
	require.NoError(c.t, err)
	id := fmt.Sprintf("entry-%05d", number)
	for _, hit := range e.answer.Hits {
		require.Equal(c.t, id, hit.ID)
		require.Equal(c.t, standin.EntryText(snapshot.Name, id), hit.Body)
	}
}
