package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// queuedRequests is the number of requests that wait at a suspended node until it
// resumes.
const queuedRequests = 40

// TestResumedNodeUsesNoExpiredPermit suspends nodes under load until their deputies
// have taken over their shares, and resumes them with requests waiting. The leaves must
// never exceed their limits. The shorter pause ends while the node still takes the
// leaves for warm.
func TestResumedNodeUsesNoExpiredPermit(t *testing.T) {
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: 60 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(24)
	load.waitAnswers(200)
	for i, pause := range []time.Duration{5 * time.Second, 10 * time.Second} {
		suspended := c.nodes[5*i]
		c.suspend(suspended)
		time.Sleep(pause)
		var queued sync.WaitGroup
		for n := range queuedRequests {
			queued.Go(func() { load.record(suspended.exchange(searchAll(int64(-n)))) })
		}
		load.waitAnswers(50)
		c.resume(suspended)
		queued.Wait()
		load.waitAnswers(100)
	}
	load.stop()
	c.requireWithinLimits()
	c.waitFullCoverage()
}

// waitFullCoverage waits until every reachable node answers with full coverage.
func (c *cluster) waitFullCoverage() {
	c.t.Helper()
	for _, p := range c.nodes {
		if p.unreachable.Load() {
			continue
		}
		lastSeen := ""
		c.waitReporting("answers with full coverage by "+p.settings.Name, &lastSeen, func() bool {
			e := p.exchange(searchAll(0))
			lastSeen = e.summary()
			return e.ok() && e.answer.Coverage.Covered == e.answer.Coverage.Total
		})
	}
}

// leaseExpiryWait is longer than any lease or call lasts.
const leaseExpiryWait = 3 * time.Second

func startWithPeerProxies(t *testing.T) (*cluster, *load) {
	c := setup{
		nodes: 6, doc: smallDocument(), proxyPeers: true,
		leaf:      standin.LeafOptions{StartWarm: true, ServiceTime: 4 * time.Millisecond},
		snapshots: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	load := c.startLoad(16)
	load.waitAnswers(200)
	c.waitFullCoverage()
	return c, load
}

// TestNetworkPartition partitions the fleet, kills a node of one side, heals the
// partition, and then cuts one direction between nodes.
func TestNetworkPartition(t *testing.T) {
	c, load := startWithPeerProxies(t)
	c.partition(c.nodes[:3])
	time.Sleep(leaseExpiryWait)
	c.kill(c.nodes[5])
	time.Sleep(leaseExpiryWait)
	c.heal()
	c.restart(c.nodes[5])
	c.waitFullCoverage()
	c.cutOneWay(c.nodes[0], c.nodes[1], c.nodes[2])
	time.Sleep(leaseExpiryWait)
	c.heal()
	c.waitFullCoverage()
	load.stop()
	c.requireWithinLimits()
	for _, e := range load.exchanges {
		if e.ok() {
			c.requireOneSnapshot(e.answer, 90)
		}
	}
	c.requireNotRunIsTrue(load.exchanges)
}

// TestBothSidesOfPartitionServe partitions the fleet. Every node still answers with
// full coverage, since each side has an owner of a share of each leaf.
func TestBothSidesOfPartitionServe(t *testing.T) {
	c, _ := startWithPeerProxies(t)
	c.partition(c.nodes[:3])
	time.Sleep(leaseExpiryWait)
	c.waitFullCoverage()
	c.requireWithinLimits()
}

func startWithLeafAndPeerProxies(t *testing.T) (*cluster, *load) {
	c := setup{
		nodes: 4, doc: smallDocument(), proxyPeers: true, proxyLeaves: true,
		leaf:      standin.LeafOptions{StartWarm: true, ServiceTime: 2 * time.Millisecond},
		snapshots: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	load := c.startLoad(6)
	load.waitAnswers(50)
	return c, load
}

// TestSilentLeafConnections makes the open connections to leaves permanently silent
// under load, first in one data centre and then, with a node killed, in both. New
// connections work.
func TestSilentLeafConnections(t *testing.T) {
	c, load := startWithLeafAndPeerProxies(t)
	for _, name := range c.leavesIn("tema") {
		c.leafProxies[name].Blackhole()
	}
	load.waitAnswers(50)
	c.waitFullCoverage()
	for _, proxy := range c.leafProxies {
		proxy.Blackhole()
	}
	c.kill(c.nodes[1])
	c.waitFullCoverage()
	load.waitAnswers(50)
	load.stop()
	c.requireWithinLimits()
}

// TestSilentPeerLinks makes the open links to one node permanently silent. New links
// work.
func TestSilentPeerLinks(t *testing.T) {
	c, load := startWithLeafAndPeerProxies(t)
	c.nodes[0].peerProxy.Blackhole()
	load.waitAnswers(10)
	c.waitFullCoverage()
	load.stop()
	c.requireWithinLimits()
}

// TestStaleHostList keeps a dead host on the host list, leaves a running one out, lists
// both again and replaces a node at the same addresses.
func TestStaleHostList(t *testing.T) {
	c := start(t, 6, smallDocument(), standin.LeafOptions{StartWarm: true, ServiceTime: 4 * time.Millisecond}, standin.NewSnapshot("1-first", 90, 3))
	load := c.startLoad(12)
	load.waitAnswers(100)
	all := c.hosts
	c.kill(c.nodes[0])
	load.waitAnswers(100)
	c.publishHosts(all.Hosts[1:])
	load.waitAnswers(100)
	c.publishHosts(all.Hosts[2:])
	time.Sleep(2 * time.Second) // the running host is not listed for several leases
	load.waitAnswers(100)
	c.publishHosts(all.Hosts)
	c.restart(c.nodes[0])
	load.waitAnswers(100)
	c.kill(c.nodes[3])
	c.restart(c.nodes[3])
	c.waitFullCoverage()
	load.stop()
	c.requireWithinLimits()
	require.NotZero(t, load.countOK())
}

// TestStartWithDeadHost starts a fleet whose host list includes a host that does not run.
func TestStartWithDeadHost(t *testing.T) {
	c := setup{
		nodes: 4, doc: smallDocument(), deadHost: true,
		leaf:      standin.LeafOptions{ServiceTime: time.Millisecond},
		snapshots: []*standin.Snapshot{standin.NewSnapshot("1-first", 90, 3)},
	}.start(t)
	c.waitFullCoverage()
	c.requireWithinLimits()
}

// publishHosts publishes a host list under the next revision.
func (c *cluster) publishHosts(hosts []hostlist.Host) {
	c.hosts.Revision++
	c.hosts.Hosts = hosts
	c.platform.SetHosts(c.hosts)
}
