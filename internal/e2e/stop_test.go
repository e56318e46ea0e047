package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
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

// TestPlannedStopCompletesSlowRequests stops every node but one, one after the
// other, while slow searches and notes are running at each entry.
func TestPlannedStopCompletesSlowRequests(t *testing.T) {
	const slow = time.Second
	doc := smallDocument()
	doc.Deployments[0].Services[0].Policy.DeadlineMS = 4000
	c := start(t, 4, doc, standin.LeafOptions{StartWarm: true, ServiceTime: slow}, standin.NewSnapshot("1-first", 90, 3))
	var mu sync.Mutex
	var exchanges []exchange
	for i, p := range c.nodes[:3] {
		c.requireWholeAgain()
		note := c.note(p, i)
		before := c.countBegun()
		var wg sync.WaitGroup
		var ended atomic.Int32
		for _, r := range []request{searchAll(int64(i)), note} {
			wg.Go(func() {
				e := p.exchange(r)
				ended.Add(1)
				mu.Lock()
				defer mu.Unlock()
				exchanges = append(exchanges, e)
			})
		}
		c.wait("the leaves run the requests", func() bool { return c.countBegun() >= before+4 || ended.Load() > 0 })
		p.frozen.Store(true)
		c.stopPlanned(p)
		wg.Wait()
	}
	c.requireFull(exchanges)
	for body, records := range c.begun() {
		for _, r := range records {
			require.True(t, r.Ran, "cut off: %s %s", body, r.RequestID)
		}
	}
}

// note builds a request that is not idempotent, with a ticket of the given node.
func (c *cluster) note(p *process, n int) request {
	ticket, err := p.post("/v1/tickets", "", nil)
	require.NoError(c.t, err)
	return request{path: requestPath, body: fmt.Sprintf(`{"note":%d}`, n), headers: map[string]string{"Idempotency-Key": ticket.Ticket}}
}

func (c *cluster) countBegun() int {
	n := 0
	for _, records := range c.begun() {
		n += len(records)
	}
	return n
}
