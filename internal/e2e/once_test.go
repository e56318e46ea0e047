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

// submitter sends notes, each with a ticket of its own, and resends every one
// that has no answer through another entry until it is answered or refused for
// good.
type submitter struct {
	*load
}

// maxResends bounds the resends of one note.
const maxResends = 8

func (c *cluster) startSubmits(callers int) *submitter {
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

// submit sends one note until the answer is final.
func (s *submitter) submit(body string) {
	ticket, err := s.cluster.anyNode().post("/v1/tickets", "", nil)
	if err != nil || ticket.Status != http.StatusCreated {
		return
	}
	r := request{path: requestPath + "?key=" + body[9:12], body: body, headers: map[string]string{"Idempotency-Key": ticket.Ticket}}
	for range maxResends {
		e := s.cluster.anyNode().exchange(r)
		s.add(e)
		if e.ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// resendAtOnce sends one note through every reachable entry at the same time.
func (s *submitter) resendAtOnce(body string) {
	ticket, err := s.cluster.anyNode().post("/v1/tickets", "", nil)
	require.NoError(s.cluster.t, err)
	r := request{path: requestPath, body: body, headers: map[string]string{"Idempotency-Key": ticket.Ticket}}
	var wg sync.WaitGroup
	for _, p := range s.cluster.nodes {
		if !p.frozen.Load() {
			wg.Go(func() { s.add(p.exchange(r)) })
		}
	}
	wg.Wait()
}

// requireAtMostOnce checks what leaves began against what callers were told.
func (c *cluster) requireAtMostOnce(exchanges []exchange) {
	c.t.Helper()
	begun := c.begun()
	for body, records := range begun {
		require.LessOrEqual(c.t, len(records), 1, "%s ran %d times: %+v", body, len(records), records)
	}
	c.requireNotRunIsTrue(exchanges)
	for _, e := range exchanges {
		if e.ok() {
			require.Len(c.t, begun[e.body], 1, "%s was answered", e.body)
		}
	}
}

// TestNotesRunAtMostOnce resends notes through every entry while the process
// that issued the ticket is killed, frozen for more than 5 s or cut off, while
// holders are killed during the call, and while leaves crash.
func TestNotesRunAtMostOnce(t *testing.T) {
	c := setup{
		nodes: 6, doc: smallDocument(), proxyPeers: true, proxyLeaves: true,
		leaf: standin.LeafOptions{StartWarm: true, ServiceTime: 25 * time.Millisecond},
		held: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	s := c.startSubmits(10)
	for i, fault := range []func(){
		func() { c.kill(c.nodes[0]) },
		func() { c.freeze(c.nodes[1]) },
		func() { c.restart(c.nodes[0]) },
		func() { c.split(c.nodes[2:3]) },
		func() { c.nodes[3].peers.CloseConnections() },
		func() { c.leaves["t1-0"].CrashFor(50 * time.Millisecond) },
		func() {
			for _, proxy := range c.leafProxies {
				proxy.CloseConnections()
			}
		},
		c.heal,
		func() { c.kill(c.nodes[4]) },
		func() { c.cutOneWay(c.nodes[5], c.nodes[2], c.nodes[3]) },
		func() { time.Sleep(5 * time.Second) }, // the frozen node's leases end
		func() { c.wake(c.nodes[1]) },
		c.heal,
	} {
		began := time.Now()
		fault()
		s.resendAtOnce(fmt.Sprintf(`{"note":"everywhere-%d"}`, i))
		s.waitAnswers(10)
		t.Logf("step %d took %s", i, time.Since(began).Round(time.Millisecond))
	}
	s.stop()
	c.requireAtMostOnce(s.exchanges)
	c.requireWithinBounds()
}
