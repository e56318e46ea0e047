package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// submitter sends requests that are not idempotent, each with its own ticket. It
// resends a request through a random node until it is answered with status 200, at most
// maxSends times in all.
type submitter struct {
	*load
}

// maxSends bounds how often one request is sent, the first time included.
const maxSends = 8

func (c *cluster) startSubmitter(callers int) *submitter {
	s := &submitter{load: &load{cluster: c}}
	for i := range callers {
		s.wg.Go(func() {
			for n := 0; !s.stopped.Load(); n++ {
				s.submit(fmt.Sprintf(`{"note":"%d-%d"}`, i, n))
			}
		})
	}
	c.t.Cleanup(s.stop)
	return s
}

// submit sends one request until it is answered with status 200 or has been sent
// maxSends times.
func (s *submitter) submit(body string) {
	ticket, err := s.cluster.anyNode().post("/v1/tickets", "", nil)
	if err != nil || ticket.Status != http.StatusCreated {
		return
	}
	r := request{path: requestPath + "?key=" + body[9:12], body: body, headers: map[string]string{"Idempotency-Key": ticket.Ticket}}
	for range maxSends {
		e := s.cluster.anyNode().exchange(r)
		s.record(e)
		if e.ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// submitToAll sends one request through every reachable node at the same time.
func (s *submitter) submitToAll(body string) {
	ticket, err := s.cluster.anyNode().post("/v1/tickets", "", nil)
	require.NoError(s.cluster.t, err)
	r := request{path: requestPath, body: body, headers: map[string]string{"Idempotency-Key": ticket.Ticket}}
	var wg sync.WaitGroup
	for _, p := range s.cluster.nodes {
		if !p.unreachable.Load() {
			wg.Go(func() { s.record(p.exchange(r)) })
		}
	}
	wg.Wait()
}

// requireAtMostOnce checks that no request ran twice, that every answered request ran
// once, and that requests reported as not run did not run.
func (c *cluster) requireAtMostOnce(exchanges []exchange) {
	c.t.Helper()
	startedRequests := c.startedRequests()
	for body, records := range startedRequests {
		require.LessOrEqual(c.t, len(records), 1, "%s ran %d times: %+v", body, len(records), records)
	}
	c.requireNotRunIsTrue(exchanges)
	for _, e := range exchanges {
		if e.ok() {
			require.Len(c.t, startedRequests[e.body], 1, "%s was answered", e.body)
		}
	}
}

// TestNonIdempotentRequestsRunAtMostOnce sends each request through several nodes
// while the node that issued the ticket is killed, suspended for more than 5 s or cut
// off, while holders are killed during the call, and while leaves crash.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	c := setup{
		nodes: 6, doc: smallDocument(), proxyPeers: true, proxyLeaves: true,
		leaf:      standin.LeafOptions{StartWarm: true, ServiceTime: 25 * time.Millisecond},
		snapshots: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	s := c.startSubmitter(10)
	for i, fault := range []func(){
		func() { c.kill(c.nodes[0]) },
		func() { c.suspend(c.nodes[1]) },
		func() { c.restart(c.nodes[0]) },
		func() { c.partition(c.nodes[2:3]) },
		func() { c.nodes[3].peerProxy.CloseConnections() },
		func() { c.leaves["t1-0"].CrashFor(50 * time.Millisecond) },
		func() {
			for _, proxy := range c.leafProxies {
				proxy.CloseConnections()
			}
		},
		c.heal,
		func() { c.kill(c.nodes[4]) },
		func() { c.cutOneWay(c.nodes[5], c.nodes[2], c.nodes[3]) },
		func() { time.Sleep(5 * time.Second) }, // the suspended node's leases expire
		func() { c.resume(c.nodes[1]) },
		c.heal,
	} {
		began := time.Now()
		fault()
		s.submitToAll(fmt.Sprintf(`{"note":"everywhere-%d"}`, i))
		s.waitAnswers(10)
		t.Logf("step %d took %s", i, time.Since(began).Round(time.Millisecond))
	}
	s.stop()
	c.requireAtMostOnce(s.exchanges)
	c.requireWithinLimits()
}
