package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	settingsVariable = "REDWINGSHELF_CONFIG"
	readyPath        = "/redwingshelf/ready"
	readyTimeout     = 20 * time.Second
	// contact is at least contactMs of the deployments.
	contact = 5 * time.Second
)

// errNotRun means that a case can't run here.
var errNotRun = errors.New("the case could not run")

// site is a store, leaves and nodes on loopback addresses.
type site struct {
	root, dir string
	log       *record
	store     *store
	leaves    map[string]*leaf
	nodes     []*node
	config    *config
	port      int
}

// node is one machine of the system with its process.
type node struct {
	name, zone, ip, settings string
	port                     int
	output                   *os.File
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

type config struct {
	Version  int64          `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"prefix"`
	Kind            string   `json:"kind"`
	TimeoutMS       int      `json:"timeoutMs"`
	TargetLatencyMS int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	MaxAttempts     int      `json:"maxAttempts"`
	TopK            int      `json:"topK,omitempty"`
	MinCoverage     float64  `json:"minCoverage,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

func newConfig() *config {
	return &config{Version: 1, Limits: map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
}

func (c *config) addService(name string, maxConns int) {
	c.Services = append(c.Services, service{Name: name, HealthPath: "/health", MaxConns: maxConns, Protocol: "h1", WarmupS: 3})
}

func newSite(log *record) (*site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "redwingshelf")); err != nil {
		return nil, fmt.Errorf("the system is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{root: root, dir: dir, log: log, leaves: map[string]*leaf{}, config: newConfig()}
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	s.port, err = freePort()
	return s, err
}

// freePort returns the first of 40 ports that are free on the addresses of the nodes.
func freePort() (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		free := true
		for i := 1; i <= maxNodes && free; i++ {
			for p := base; p < base+40 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(i), p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// maxNodes bounds the nodes of a site.
const maxNodes = 8

func nodeIP(i int) string { return fmt.Sprintf("127.77.1.%d", i) }

func (s *site) addLeaf(o leafOptions) error {
	l, err := startLeaf(o, s.store, s.log)
	if err == nil {
		s.leaves[o.id] = l
	}
	return err
}

// machine describes the class of a node's machine and the bounds of its deployment that the nodes
// use.
type machine struct {
	cpuShare float64
	memoryMB int
	linkMbps int
	// contactMS and the others are bounds of the settings with the same names.
	contactMS, drainMS, configApplyMS, retryBudgetSlack int
}

var (
	// shelfMachine is a machine of adom-shelf.
	shelfMachine = machine{cpuShare: 0.4, memoryMB: 284, linkMbps: 1000, contactMS: 4000, drainMS: 3000, configApplyMS: 3000, retryBudgetSlack: 52}
	// grownMachine is a small machine of adom-shelf-grown.
	grownMachine = machine{cpuShare: 0.192, memoryMB: 184, linkMbps: 20, contactMS: 5000, drainMS: 5000, configApplyMS: 5000, retryBudgetSlack: 156}
)

// addNode writes the settings of a node. The seeds are the first three nodes.
func (s *site) addNode(zone string, m machine) {
	i := len(s.nodes) + 1
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: nodeIP(i), port: s.port}
	n.settings = filepath.Join(s.dir, n.name+".toml")
	var seeds []string
	for j := 1; j <= 3; j++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", nodeIP(j), s.port+2)))
	}
	text := fmt.Sprintf(`node = %q
role = "relay"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "accra"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
failureCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
accra-tema = "accra"
accra-kaneshie = "accra"
accra-madina = "accra"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = %v
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = %d.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = %d
ackMs = 5000
catchUpS = 4
drainMs = %d
graceS = 6
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = %d
warmupOverage = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, n.name, n.ip, zone, s.port+10, s.port+25, strings.Join(seeds, ","),
		n.ip, s.port, n.ip, s.port+1, n.ip, s.port+2, m.cpuShare, m.memoryMB, m.linkMbps,
		m.contactMS, m.drainMS, m.configApplyMS, m.retryBudgetSlack, s.store.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	s.nodes = append(s.nodes, n)
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, n.port) }
func (n *node) ready() string { return fmt.Sprintf("%s:%d", n.ip, n.port+1) }

// startNode starts the process of a node with the command of the deploy file.
func (s *site) startNode(n *node) error {
	if n.output == nil {
		f, err := os.Create(filepath.Join(s.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.output = f
	}
	cmd := exec.Command("target/redwingshelf", "relay")
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.output, n.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	s.log.addf("%s starts, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		s.log.addf("%s has ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// start starts all nodes and waits until they are ready.
func (s *site) start() error {
	s.store.put("op/config", s.config)
	s.log.addf("configuration %d is written", s.config.Version)
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.log.sayf("all %d nodes are ready", len(s.nodes))
	return nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + n.ready() + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes of the site. logs names where the logs of the nodes are kept if set.
func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		if n.ended != nil {
			<-n.ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}

// client is one client with one kept connection at a time.
type client struct {
	node *node
	conn net.Conn
	in   *bufio.Reader
	// served is the number of answers on the connection.
	served int
}

// call is one client attempt and what the client has seen of it.
type call struct {
	attempt, route, node string
	sent                 time.Time
	// kept is set if the connection had served a request before.
	kept bool
	took time.Duration
	// status is zero if there was no complete answer; err tells why.
	status int
	header http.Header
	body   []byte
	err    error
	// closed is set if the node has closed the connection without a complete answer.
	closed bool
}

// do sends one request and waits for its answer until the deadline.
func (c *client) do(r *route, method, path string, body []byte, deadline time.Duration) *call {
	k := &call{attempt: fmt.Sprintf("%016x", rand.Uint64()), route: r.Name, node: c.node.name}
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", c.node.front())
		if err != nil {
			k.sent, k.err = time.Now(), err
			return k
		}
		c.conn, c.in, c.served = conn, bufio.NewReader(conn), 0
	}
	k.kept = c.served > 0
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, r.Host, k.attempt, deadline.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	k.sent = time.Now()
	_ = c.conn.SetDeadline(k.sent.Add(deadline))
	_, err := c.conn.Write(append([]byte(head+"\r\n"), body...))
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.in, &http.Request{Method: method})
	}
	if err == nil {
		k.body, err = io.ReadAll(response.Body)
	}
	k.took = time.Since(k.sent)
	if err != nil {
		var timeout net.Error
		k.err = err
		k.closed = !errors.As(err, &timeout) || !timeout.Timeout()
		c.close()
		return k
	}
	k.status, k.header = response.StatusCode, response.Header
	c.served++
	if response.Close {
		c.close()
	}
	return k
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// String describes the attempt for the record.
func (k *call) String() string {
	outcome := fmt.Sprintf("answered %d", k.status)
	switch {
	case k.closed:
		outcome = fmt.Sprintf("connection closed without an answer (%v)", k.err)
	case k.err != nil:
		outcome = fmt.Sprintf("no answer (%v)", k.err)
	case k.header.Get("Missing-Parts") != "":
		outcome += fmt.Sprintf(", %s parts missing", k.header.Get("Missing-Parts"))
	}
	kept := "new"
	if k.kept {
		kept = "kept"
	}
	return fmt.Sprintf("request %s (%s) to %s on a %s connection: %s after %d ms", k.attempt, k.route, k.node, kept, outcome, k.took.Milliseconds())
}

// load sends requests from a number of clients to each node, one after the other with a pause,
// until ctx ends, and passes the attempts to seen.
func (s *site) load(ctx context.Context, nodes []*node, clients int, pause time.Duration, send func(c *client, i int) *call, seen func(*call)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, n := range nodes {
		for range clients {
			wg.Go(func() {
				c := &client{node: n}
				defer c.close()
				for i := 0; ctx.Err() == nil; i++ {
					k := send(c, i)
					s.log.addf("%v", k)
					seen(k)
					time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
				}
			})
		}
	}
	return &wg
}
