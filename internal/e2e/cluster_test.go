// Package e2e tests fleets of real node processes against stand-ins for the leaves
// and the platform.
package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/standin"
	"github.com/redwingshelf/redwingshelf/internal/status"
)

// waitLimit bounds each wait for a condition.
const waitLimit = 25 * time.Second

// client has a timeout, so that a request to a suspended node ends.
var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "redwingshelf-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "redwingshelf")
	build := exec.Command("go", "build", "-race", "-o", binary, "github.com/redwingshelf/redwingshelf/cmd/redwingshelf")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the node: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// setup describes a cluster.
type setup struct {
	nodes     int
	doc       *document.Document
	leaf      standin.LeafOptions
	snapshots []*standin.Snapshot
	// proxyLeaves and proxyPeers put a proxy in front of each leaf and of each
	// node's peer listener; proxyPlatform puts one between each node and the
	// platform.
	proxyLeaves, proxyPeers, proxyPlatform bool
	// deadHost adds a host that does not run to the host list.
	deadHost bool
}

// cluster is a fleet of node processes with its stand-ins.
type cluster struct {
	setup
	t        *testing.T
	platform *standin.Platform
	leaves   map[string]*standin.Leaf
	// leafProxies are the proxies in front of the leaves, by leaf.
	leafProxies map[string]*faultproxy.Proxy
	nodes       []*process
	hosts       hostlist.List
}

// process is one node process.
type process struct {
	settings settings.Settings
	command  *exec.Cmd
	// exited is closed when the process has ended; result is set before that.
	exited chan struct{}
	result error
	log    bytes.Buffer
	// unreachable is set while the process is killed, suspended or stopping;
	// callers skip it.
	unreachable atomic.Bool
	// peerProxy is in front of the node's peer listener, platformProxy between the
	// node and the platform. Both are nil if the setup has no such proxy.
	peerProxy, platformProxy *faultproxy.Proxy
}

// start starts a cluster of n nodes with the leaves of a document.
func start(t *testing.T, n int, doc *document.Document, leafOptions standin.LeafOptions, snapshots ...*standin.Snapshot) *cluster {
	t.Helper()
	return setup{nodes: n, doc: doc, leaf: leafOptions, snapshots: snapshots}.start(t)
}

// runningClusters limits the number of clusters that run at once.
var runningClusters = make(chan struct{}, 2)

// start starts the cluster and waits until every node is ready. At most two
// clusters run at once.
func (s setup) start(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	runningClusters <- struct{}{}
	t.Cleanup(func() { <-runningClusters })
	platform, err := standin.NewPlatform()
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	c := &cluster{
		setup: s, t: t, platform: platform,
		leaves: map[string]*standin.Leaf{}, leafProxies: map[string]*faultproxy.Proxy{},
	}
	c.hosts.Revision = 1
	c.hosts.Targets = map[string]string{}
	c.startLeaves(s.leaf, s.snapshots)
	c.publish(s.doc)
	for i := range s.nodes {
		c.addHost(i)
	}
	if s.deadHost {
		dead := c.hosts.Hosts[0]
		dead.Name = "dead"
		dead.Address = freeAddress(t)
		c.hosts.Hosts = append(c.hosts.Hosts, dead)
	}
	platform.SetHosts(c.hosts)
	for _, p := range c.nodes {
		c.startNode(p)
	}
	for _, p := range c.nodes {
		c.waitReady(p)
	}
	return c
}

// proxy starts a proxy in front of an address.
func (c *cluster) proxy(server string, identify faultproxy.Identify) *faultproxy.Proxy {
	p, err := faultproxy.New(server, identify)
	require.NoError(c.t, err)
	c.t.Cleanup(p.Close)
	return p
}

func (c *cluster) startLeaves(options standin.LeafOptions, snapshots []*standin.Snapshot) {
	index := document.NewIndex(c.doc)
	for id := range document.LeafID(index.NumLeaves()) {
		entry := index.Leaf(id)
		o := options
		o.Name = entry.Name
		o.Shard = entry.Shard
		o.Slots = entry.Service.Limits.Slots
		o.Connections = entry.Service.Limits.Connections
		o.ColdSlots = entry.Service.Limits.ColdSlots
		o.WarmAfter = entry.Service.Limits.WarmAfter
		o.Seed = uint64(id)
		leaf, err := standin.NewLeaf(o, snapshots...)
		require.NoError(c.t, err)
		c.t.Cleanup(leaf.Close)
		c.leaves[entry.Name] = leaf
		c.hosts.Targets[entry.Name] = leaf.URL()
		if c.proxyLeaves {
			proxy := c.proxy(strings.TrimPrefix(leaf.URL(), "http://"), nil)
			c.leafProxies[entry.Name] = proxy
			c.hosts.Targets[entry.Name] = "http://" + proxy.Address()
		}
	}
}

// publish makes the configuration service offer a document.
func (c *cluster) publish(doc *document.Document) {
	data, err := document.Encode(doc)
	require.NoError(c.t, err)
	c.platform.SetDocument(doc.Revision, data)
}

// The ports of nodes are below the ephemeral range, so that they are still free
// when a stopped node starts again.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort atomic.Int32

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	nextPort.CompareAndSwap(0, firstPort+rand.Int32N(lastPort-firstPort))
	for {
		port := nextPort.Add(1)
		nextPort.CompareAndSwap(lastPort, firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		require.NoError(t, l.Close())
		return address
	}
}

func (c *cluster) addHost(i int) {
	dataCentre := c.doc.DataCentres[i%len(c.doc.DataCentres)]
	s := settings.Defaults()
	s.Name = fmt.Sprintf("%s-%d", dataCentre.Name, i)
	s.DataCentre = dataCentre.Name
	s.HTTPListen = freeAddress(c.t)
	s.OpsListen = freeAddress(c.t)
	s.PeerListen = freeAddress(c.t)
	s.PeerAdvertise = s.PeerListen
	p := &process{}
	if c.proxyPeers {
		p.peerProxy = c.proxy(s.PeerListen, helloHost)
		s.PeerAdvertise = p.peerProxy.Address()
	}
	platform := c.platform.URL()
	if c.proxyPlatform {
		p.platformProxy = c.proxy(strings.TrimPrefix(platform, "http://"), nil)
		platform = "http://" + p.platformProxy.Address()
	}
	s.ConfigurationService = platform + standin.PathConfig
	s.HostList = platform + standin.PathHosts
	s.Stop.BalancerLagMS = 200
	s.Targets = settings.Targets{"unused": "http://127.0.0.1:1"}
	p.settings = *s
	c.nodes = append(c.nodes, p)
	c.hosts.Hosts = append(c.hosts.Hosts, hostlist.Host{
		Name: s.Name, Address: s.PeerAdvertise, HTTPAddress: s.HTTPListen,
		DataCentre: dataCentre.Name, Region: dataCentre.Region, Cell: s.Cell, State: hostlist.StateLive,
	})
	for _, p := range c.nodes {
		p.settings.Peers = nil
		for _, other := range c.nodes {
			p.settings.Peers = append(p.settings.Peers, settings.Peer{Name: other.settings.Name, Address: other.settings.PeerAdvertise})
		}
	}
}

func (c *cluster) startNode(p *process) {
	data, err := json.Marshal(p.settings)
	require.NoError(c.t, err)
	file := filepath.Join(c.t.TempDir(), p.settings.Name+".jsonc")
	require.NoError(c.t, os.WriteFile(file, data, 0o600))
	p.command = exec.Command(binary, "run", "--settings", file)
	p.command.Stderr = &p.log
	p.command.Stdout = &p.log
	require.NoError(c.t, p.command.Start())
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		p.result = command.Wait()
		close(exited)
	}()
	c.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-exited
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", p.settings.Name, p.log.String())
		}
	})
}

// wait polls a condition until it holds.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	c.waitReporting(what, new(string), condition)
}

// waitReporting polls a condition until it holds. The condition stores what it
// saw in lastSeen, for the failure message.
func (c *cluster) waitReporting(what string, lastSeen *string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(end) {
			require.FailNow(c.t, "timed out waiting", "%s, last seen: %s", what, *lastSeen)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cluster) waitReady(p *process) {
	c.wait(p.settings.Name+" is ready", func() bool {
		s, err := p.status()
		return err == nil && s.State == "ready"
	})
}

func (p *process) status() (*status.Node, error) {
	response, err := client.Get("http://" + p.settings.OpsListen + "/status")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	s := new(status.Node)
	return s, json.NewDecoder(response.Body).Decode(s)
}
