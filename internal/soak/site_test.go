// Package soak runs real node processes under random faults that are injected from
// outside, and checks what callers and leaves see.
package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

var binary string

func TestMain(m *testing.M) {
	path, remove, err := platformtest.BuildNode()
	if err != nil {
		panic(err)
	}
	binary = path
	code := m.Run()
	remove()
	os.Exit(code)
}

// Bounds of the site, as the users' small sites set them.
const (
	repeatRatio  = 0.2
	repeatSlack  = 52
	repeatWindow = 10 * time.Second
	coldSlack    = 5
	graceS       = 6
	drainWithin  = 3 * time.Second
	// takeOutWithin is the time after which a data centre that is taken out gets no
	// more requests.
	takeOutWithin = 5 * time.Second
	// settleTime is the time after the end of a fault from which the bounds above hold.
	settleTime = 4 * time.Second
)

// maxCallers bounds the callers of a site with many nodes, which share one host.
const maxCallers = 48

// Ports of the nodes.
const (
	firstPort    = 17000
	lastPort     = 18000
	portsPerNode = 10
)

// Services and leaves of the site.
const (
	shards       = 6
	ledgerLeaves = 6
	coldFor      = time.Second
)

var dataCentres = []string{"z0", "z1", "z2"}

// site is a store with leaves and node processes.
type site struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	journal *platformtest.Journal
	nodes   []*node
	// firstPort is the first of the ports that every node uses at its own address.
	firstPort int
	// mu guards the fields below.
	mu            sync.Mutex
	version       int64
	shards        []string
	tables        map[string]bool
	leaves        []*leafEndpoint
	faults        []faultWindow
	leavesStarted int
	// tenants is nil for a site without tenants.
	tenants *tenants
}

// faultWindow is the span of time in which a fault lasted.
type faultWindow struct {
	from, to time.Time
	kind     string
}

// leafEndpoint is an address at which leaves run, one after the other.
type leafEndpoint struct {
	options platformtest.LeafOptions
	proxy   *faultproxy.Proxy
	leaf    *platformtest.Leaf
	busy    bool
}

// node is one node process, which may end and start again.
type node struct {
	name, ip, settings string
	ports              map[string]int
	storeProxy         *faultproxy.Proxy
	log                *os.File
	// mu guards cmd and ended.
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// busy is guarded by the injector's mu.
	busy bool
}

func newSite(t *testing.T, nodesPerDataCentre int, tenants *tenants) *site {
	s := &site{
		t: t, dir: t.TempDir(), store: platformtest.NewStore(), journal: new(platformtest.Journal), firstPort: reservePorts(t),
		tables: map[string]bool{}, tenants: tenants,
	}
	t.Cleanup(s.store.Close)
	for i := range shards {
		s.shards = append(s.shards, fmt.Sprintf("shard-%d", i))
	}
	s.configure()
	for _, service := range s.shards {
		for z := range dataCentres {
			s.addLeaf(service, dataCentres[z], 2*time.Millisecond)
		}
	}
	for i := range ledgerLeaves {
		s.addLeaf("ledger", dataCentres[i%len(dataCentres)], 10*time.Millisecond)
	}
	for i := range nodesPerDataCentre * len(dataCentres) {
		s.addNode(i)
	}
	for _, n := range s.nodes {
		n.start(t)
	}
	for _, n := range s.nodes {
		require.Eventually(t, n.ready, 20*time.Second, 20*time.Millisecond, n.name)
	}
	return s
}

// configure writes the next version of the configuration to the store.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	c := &platformtest.Config{Version: s.version, Limits: map[string]int{"maxBodyBytes": 1 << 18, "idleTimeoutMs": 15000}}
	c.Routes = []platformtest.Route{
		{Name: "all", Host: "soak.example", Prefix: "/all/", Kind: "idempotent", TimeoutMS: 1000, TargetLatencyMS: 150,
			Gather: append([]string(nil), s.shards...), MaxAttempts: 2, TopK: 10, MinCoverage: 0.8},
		{Name: "one", Host: "soak.example", Prefix: "/one/", Kind: "idempotent", TimeoutMS: 1500, TargetLatencyMS: 300,
			Service: "ledger", MaxAttempts: 2},
		{Name: "once", Host: "soak.example", Prefix: "/once/", Kind: "non_idempotent", TimeoutMS: 1500, TargetLatencyMS: 300,
			Service: "ledger", MaxAttempts: 2},
		{Name: "v", Host: "soak.example", Prefix: fmt.Sprintf("/v%d/", s.version), Kind: "idempotent", TimeoutMS: 1500,
			TargetLatencyMS: 300, Service: "ledger", MaxAttempts: 2},
	}
	for _, name := range append([]string{"ledger"}, s.shards...) {
		c.Services = append(c.Services, platformtest.Service{Name: name, MaxConns: 40})
		s.tables[name] = true
	}
	c.Tenants = s.tenants.list()
	s.store.PutConfig(c)
}

// addLeaf starts a leaf behind a proxy.
func (s *site) addLeaf(service, dataCentre string, work time.Duration) *leafEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.freeAddress()
	proxy, err := faultproxy.New(address, nil)
	require.NoError(s.t, err)
	s.t.Cleanup(proxy.Close)
	endpoint := &leafEndpoint{proxy: proxy, options: platformtest.LeafOptions{
		Service: service, Zone: dataCentre, Listen: address, Address: proxy.Address(), Work: work,
	}}
	s.leaves = append(s.leaves, endpoint)
	s.startLeafLocked(endpoint)
	return endpoint
}

func (s *site) startLeafLocked(endpoint *leafEndpoint) {
	s.leavesStarted++
	endpoint.options.ID = fmt.Sprintf("i-%04d", s.leavesStarted)
	leaf, err := platformtest.StartLeaf(endpoint.options, s.store, s.journal)
	require.NoError(s.t, err)
	s.t.Cleanup(leaf.Kill)
	endpoint.leaf = leaf
}

func (s *site) addNode(i int) {
	storeProxy, err := faultproxy.New(s.store.Address(), nil)
	require.NoError(s.t, err)
	s.t.Cleanup(storeProxy.Close)
	n := &node{
		name: fmt.Sprintf("n%d", i), ip: fmt.Sprintf("127.0.0.%d", 20+i), storeProxy: storeProxy,
		settings: filepath.Join(s.dir, fmt.Sprintf("n%d.toml", i)),
	}
	base := s.firstPort
	n.ports = map[string]int{"front": base, "ready": base + 1, "peer": base + 2, "metrics": base + 3}
	settings := fmt.Sprintf(`node = %q
ip = %q
zone = %q
internalPorts = [%d, %d]
seeds = ["127.0.0.20:1", "127.0.0.21:1", "127.0.0.22:1"]
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
memoryMb = 284
[zones]
z0 = "r"
z1 = "r"
z2 = "r"
[bounds]
graceS = %d
strictRevoke = true
revokeMs = %d
quotaSlack = %d
retryBudgetRatio = %v
retryWindowS = %v
retryBudgetSlack = %v
warmupOverage = 1.5
warmupSlack = %d
[platform]
address = %q
`, n.name, n.ip, dataCentres[i%len(dataCentres)], n.ports["peer"], n.ports["metrics"], n.ip, n.ports["front"], n.ip, n.ports["ready"],
		graceS, revokeWithin.Milliseconds(), quotaSlack, repeatRatio, repeatWindow.Seconds(), repeatSlack, coldSlack, storeProxy.Address())
	require.NoError(s.t, os.WriteFile(n.settings, []byte(settings), 0o600))
	n.log, err = os.Create(filepath.Join(s.dir, n.name+".log"))
	require.NoError(s.t, err)
	s.t.Cleanup(func() {
		n.kill()
		_ = n.log.Close()
	})
	s.nodes = append(s.nodes, n)
}

// reservePorts returns the first of the ports that every node uses at its own address.
// The test listens on the last of them while it runs, so that concurrent soaks use
// different ports even while their nodes are down.
func reservePorts(t *testing.T) int {
	for base := firstPort; base < lastPort; base += portsPerNode {
		held, err := net.Listen("tcp", fmt.Sprintf("127.0.0.20:%d", base+portsPerNode-1))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = held.Close() })
		return base
	}
	t.Fatal("no free ports")
	return 0
}

func (n *node) start(t *testing.T) {
	cmd := exec.Command(binary, "relay", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		t.Errorf("start %s: %v", n.name, err)
		return
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (n *node) process() (*exec.Cmd, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd, n.ended
}

func (n *node) signal(sig syscall.Signal) {
	if cmd, _ := n.process(); cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

func (n *node) kill() {
	cmd, ended := n.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

var opsClient = &http.Client{Timeout: 400 * time.Millisecond}

// ready checks the node's readiness as the platform's load balancer does.
func (n *node) ready() bool {
	response, err := opsClient.Get(fmt.Sprintf("http://%s:%d/redwingshelf/ready", n.ip, n.ports["ready"]))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, n.ports["front"]) }

// recordFault records a fault that lasted until now.
func (s *site) recordFault(from time.Time, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faultWindow{from, time.Now(), kind})
}

// logs returns the end of each node's log, at most max bytes of each.
func (s *site) logs(max int) string {
	var all bytes.Buffer
	for _, n := range s.nodes {
		data, err := os.ReadFile(n.log.Name())
		if err == nil {
			_, _ = fmt.Fprintf(&all, "%s:\n%s\n", n.name, data[len(data)-min(len(data), max):])
		}
	}
	return all.String()
}

// freeAddress returns an address for a leaf endpoint. It stays free between restarts,
// since no other soak and no outgoing connection uses the IP address.
func (s *site) freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", 1+(s.firstPort-firstPort)/portsPerNode))
	require.NoError(s.t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// drain reads and closes the body of a response.
func drain(r *http.Response) ([]byte, error) {
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}
