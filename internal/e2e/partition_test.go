package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// lateRequests wait at a frozen node for it to wake.
const lateRequests = 40

// TestFrozenNodeSendsOnNoOldPermit freezes nodes under load until their deputies
// have taken their shares, and wakes them with requests waiting: the leaves must
// never count more than they bear. The shorter pause ends while the node still
// takes the leaves for warm.
func TestFrozenNodeSendsOnNoOldPermit(t *testing.T) {
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: 60 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(24)
	load.waitAnswers(200)
	for i, pause := range []time.Duration{5 * time.Second, 10 * time.Second} {
		frozen := c.nodes[5*i]
		c.freeze(frozen)
		time.Sleep(pause)
		var late sync.WaitGroup
		for n := range lateRequests {
			late.Go(func() { load.add(frozen.exchange(searchAll(int64(-n)))) })
		}
		load.waitAnswers(50)
		c.wake(frozen)
		late.Wait()
		load.waitAnswers(100)
	}
	load.stop()
	c.requireWithinBounds()
	c.requireWholeAgain()
}

// requireWholeAgain waits until every reachable node gives whole answers.
func (c *cluster) requireWholeAgain() {
	c.t.Helper()
	for _, p := range c.nodes {
		if p.frozen.Load() {
			continue
		}
		last := ""
		c.waitSaying("whole answers by "+p.settings.Name, &last, func() bool {
			e := p.exchange(searchAll(0))
			last = e.summary()
			return e.ok() && e.answer.Coverage.Covered == e.answer.Coverage.Total
		})
	}
}

// leasesEnd is longer than every lease and every call.
const leasesEnd = 3 * time.Second

func startSplittable(t *testing.T) (*cluster, *load) {
	c := setup{
		nodes: 6, doc: smallDocument(), proxyPeers: true,
		leaf: standin.LeafOptions{StartWarm: true, ServiceTime: 4 * time.Millisecond},
		held: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	load := c.startLoad(16)
	load.waitAnswers(200)
	c.requireWholeAgain()
	return c, load
}

// TestSplitFleet cuts the fleet in two, kills a node of one part, heals, and
// cuts one direction between nodes.
func TestSplitFleet(t *testing.T) {
	c, load := startSplittable(t)
	c.split(c.nodes[:3])
	time.Sleep(leasesEnd)
	c.kill(c.nodes[5])
	time.Sleep(leasesEnd)
	c.heal()
	c.restart(c.nodes[5])
	c.requireWholeAgain()
	c.cutOneWay(c.nodes[0], c.nodes[1], c.nodes[2])
	time.Sleep(leasesEnd)
	c.heal()
	c.requireWholeAgain()
	load.stop()
	c.requireWithinBounds()
	for _, e := range load.exchanges {
		if e.ok() {
			c.requireOwnSnapshot(e.answer, 90)
		}
	}
	c.requireNotRunIsTrue(load.exchanges)
}

// TestSplitFleetKeepsServing cuts the fleet in two; every node goes on giving
// whole answers, since each part has an owner of a share of each leaf.
func TestSplitFleetKeepsServing(t *testing.T) {
	c, _ := startSplittable(t)
	c.split(c.nodes[:3])
	time.Sleep(leasesEnd)
	c.requireWholeAgain()
	c.requireWithinBounds()
}

func startSilent(t *testing.T) (*cluster, *load) {
	c := setup{
		nodes: 4, doc: smallDocument(), proxyPeers: true, proxyLeaves: true,
		leaf: standin.LeafOptions{StartWarm: true, ServiceTime: 2 * time.Millisecond},
		held: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	load := c.startLoad(6)
	load.waitAnswers(50)
	return c, load
}

// TestSilentLeafConnections makes the open connections to leaves silent for
// good under load, once in one data centre and once, with a node killed, in
// both; new connections work.
func TestSilentLeafConnections(t *testing.T) {
	c, load := startSilent(t)
	for _, name := range c.leavesIn("tema") {
		c.leafProxies[name].Blackhole()
	}
	load.waitAnswers(50)
	c.requireWholeAgain()
	for _, proxy := range c.leafProxies {
		proxy.Blackhole()
	}
	c.kill(c.nodes[1])
	c.requireWholeAgain()
	load.waitAnswers(50)
	load.stop()
	c.requireWithinBounds()
}

// TestSilentPeerLinks makes the open links to one node silent for good; new
// links work.
func TestSilentPeerLinks(t *testing.T) {
	c, load := startSilent(t)
	c.nodes[0].peers.Blackhole()
	load.waitAnswers(10)
	c.requireWholeAgain()
	load.stop()
	c.requireWithinBounds()
}

// TestHostListLags lists a dead host as live, leaves a living one out, lists it
// again and replaces a node at the same addresses.
func TestHostListLags(t *testing.T) {
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: 4 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(12)
	load.waitAnswers(100)
	all := c.hosts
	c.kill(c.nodes[0])
	load.waitAnswers(100)
	c.listHosts(all.Hosts[1:])
	load.waitAnswers(100)
	c.listHosts(all.Hosts[2:])
	time.Sleep(2 * time.Second) // the living host is missing for several leases
	load.waitAnswers(100)
	c.listHosts(all.Hosts)
	c.restart(c.nodes[0])
	load.waitAnswers(100)
	c.kill(c.nodes[3])
	c.restart(c.nodes[3])
	c.requireWholeAgain()
	load.stop()
	c.requireWithinBounds()
	require.NotZero(t, load.count())
}

// TestStartBesideADeadHost starts a fleet whose host list names a host that no
// longer runs.
func TestStartBesideADeadHost(t *testing.T) {
	c := setup{
		nodes: 4, doc: smallDocument(), deadHost: true,
		leaf: standin.LeafOptions{ServiceTime: time.Millisecond},
		held: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	c.requireWholeAgain()
	c.requireWithinBounds()
}

// listHosts publishes a host list with the next revision.
func (c *cluster) listHosts(hosts []hostlist.Host) {
	c.hosts.Revision++
	c.hosts.Hosts = hosts
	c.platform.SetHosts(c.hosts)
}
