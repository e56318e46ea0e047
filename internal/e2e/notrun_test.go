package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// mixed builds searches and, with a ticket from any node, requests that are not
// idempotent. Every second one has a deadline of a few milliseconds.
func (c *cluster) mixed(n int64) request {
	headers := map[string]string{}
	if n%2 == 0 {
		headers["X-Request-Timeout-Ms"] = fmt.Sprint(6 + n%30)
	}
	r := request{path: searchPath, body: fmt.Sprintf(`{"text":"entry","number":%d}`, n), headers: headers}
	if n%3 != 0 {
		return r
	}
	ticket, err := c.anyNode().post("/v1/tickets", "", nil)
	if err != nil || ticket.Status != http.StatusCreated {
		return r
	}
	headers["Idempotency-Key"] = ticket.Ticket
	r.path = fmt.Sprintf("%s?key=%d", requestPath, n)
	return r
}

// TestNotRunIsTrue overloads the leaves, kills a node, cuts another one off and
// resets the connections of leaves, and checks every refusal that says that the
// request has not run.
func TestNotRunIsTrue(t *testing.T) {
	c := setup{
		nodes: 4, doc: smallDocument(), proxyLeaves: true, proxyPeers: true,
		held: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
		leaf: standin.LeafOptions{StartWarm: true, ServiceTime: 8 * time.Millisecond},
	}.start(t)
	load := c.startLoadOf(c.mixed, 48)
	load.waitAnswers(100)
	for _, proxy := range c.leafProxies {
		proxy.CloseConnections()
	}
	load.waitAnswers(50)
	c.kill(c.nodes[0])
	load.waitAnswers(50)
	c.split(c.nodes[1:2])
	for _, node := range c.nodes[1:] {
		node.peers.CloseConnections()
	}
	load.waitAnswers(50)
	c.leaves["t1-0"].Crash()
	load.waitAnswers(50)
	c.heal()
	load.waitAnswers(50)
	load.stop()
	require.Greater(t, c.requireNotRunIsTrue(load.exchanges), 20)
}
