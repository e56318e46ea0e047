package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// stopPlanned sends a node SIGTERM and waits until it exits without an error.
func (c *cluster) stopPlanned(p *process) {
	c.t.Helper()
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		require.FailNow(c.t, "node did not stop in time", p.settings.Name)
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
	c.requireFullCoverage(load.exchanges)
	c.requireWithinLimits()
}

// TestPlannedStopCompletesSlowRequests stops one node after the other while a slow
// request is in flight: twice the node that received the request, and once another one
// through which its leaves may be called.
func TestPlannedStopCompletesSlowRequests(t *testing.T) {
	doc := smallDocument()
	doc.Deployments[0].Services[0].Policy.DeadlineMS = 3000
	doc.Deployments[0].Services[0].Policy.Hedge = document.HedgeOff // a hedge cancels the losing attempt
	c := start(t, 4, doc, standin.LeafOptions{StartWarm: true, ServiceTime: 700 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	last := c.nodes[3]
	var exchanges []exchange
	for i, step := range []struct {
		entry   *process
		request request
		calls   int
	}{
		{c.nodes[0], searchAll(1), 3},
		{c.nodes[1], c.nonIdempotentRequest(c.nodes[1], 1), 1},
		{last, searchAll(2), 3},
	} {
		c.waitFullCoverage()
		before := c.countStarted()
		answered := make(chan exchange, 1)
		go func() { answered <- step.entry.exchange(step.request) }()
		c.wait("the leaves run the request", func() bool { return c.countStarted() >= before+step.calls || len(answered) > 0 })
		c.nodes[i].unreachable.Store(true)
		c.stopPlanned(c.nodes[i])
		exchanges = append(exchanges, <-answered)
		c.publishHosts(c.hosts.Hosts[1:])
	}
	c.requireFullCoverage(exchanges)
	startedRequests := c.startedRequests()
	for _, e := range exchanges {
		for _, r := range startedRequests[e.body] {
			require.True(t, r.Ran, "request %s (%s) was cut off", e.body, r.RequestID)
		}
	}
}

// nonIdempotentRequest builds a request with a ticket of the given node.
func (c *cluster) nonIdempotentRequest(p *process, n int) request {
	ticket, err := p.post("/v1/tickets", "", nil)
	require.NoError(c.t, err)
	return request{path: requestPath, body: fmt.Sprintf(`{"note":%d}`, n), headers: map[string]string{"Idempotency-Key": ticket.Ticket}}
}

func (c *cluster) countStarted() int {
	n := 0
	for _, records := range c.startedRequests() {
		n += len(records)
	}
	return n
}
