// Package e2e tests whole fleets of real node processes against stand-ins.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	_ "github.com/redwingshelf/redwingshelf/internal/nodecmd" // makes the test depend on the program
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/standin"
	"github.com/redwingshelf/redwingshelf/internal/status"
)

// waitLimit ends a wait for an event that never comes.
const waitLimit = 30 * time.Second

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

// cluster is a fleet of node processes with the stand-ins around it.
type cluster struct {
	t        *testing.T
	platform *standin.Platform
	doc      *document.Document
	leaves   map[string]*standin.Leaf
	nodes    []*process
	hosts    hostlist.List
}

// process is one node process.
type process struct {
	settings settings.Settings
	command  *exec.Cmd
	// exited is closed once the process has ended; result is set before.
	exited chan struct{}
	result error
	log    bytes.Buffer
}

// start runs n nodes over the leaves of a document.
func start(t *testing.T, n int, doc *document.Document, leafOptions standin.LeafOptions, held ...*standin.Snapshot) *cluster {
	t.Helper()
	platform, err := standin.NewPlatform()
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	c := &cluster{t: t, platform: platform, doc: doc, leaves: map[string]*standin.Leaf{}}
	c.hosts.Revision = 1
	c.hosts.Targets = map[string]string{}
	c.startLeaves(leafOptions, held)
	c.publish(doc)
	for i := range n {
		c.addHost(i)
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

func (c *cluster) startLeaves(options standin.LeafOptions, held []*standin.Snapshot) {
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
		leaf, err := standin.NewLeaf(o, held...)
		require.NoError(c.t, err)
		c.t.Cleanup(leaf.Close)
		c.leaves[entry.Name] = leaf
		c.hosts.Targets[entry.Name] = leaf.URL()
	}
}

// publish puts a document on the configuration service.
func (c *cluster) publish(doc *document.Document) {
	data, err := document.Encode(doc)
	require.NoError(c.t, err)
	c.platform.SetDocument(doc.Revision, data)
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (c *cluster) addHost(i int) {
	centre := c.doc.DataCentres[i%len(c.doc.DataCentres)]
	s := settings.Defaults()
	s.Name = fmt.Sprintf("%s-%d", centre.Name, i)
	s.DataCentre = centre.Name
	s.HTTPListen = freeAddress(c.t)
	s.OpsListen = freeAddress(c.t)
	s.PeerListen = freeAddress(c.t)
	s.PeerAdvertise = s.PeerListen
	s.ConfigurationService = c.platform.URL() + standin.PathConfig
	s.HostList = c.platform.URL() + standin.PathHosts
	s.Stop.BalancerLagMS = 200
	s.Targets = settings.Targets{"unused": "http://127.0.0.1:1"}
	c.nodes = append(c.nodes, &process{settings: *s})
	c.hosts.Hosts = append(c.hosts.Hosts, hostlist.Host{
		Name: s.Name, Address: s.PeerListen, HTTPAddress: s.HTTPListen,
		DataCentre: centre.Name, Region: centre.Region, Cell: s.Cell, State: hostlist.StateLive,
	})
	for _, p := range c.nodes {
		p.settings.Peers = nil
		for _, other := range c.nodes {
			p.settings.Peers = append(p.settings.Peers, settings.Peer{Name: other.settings.Name, Address: other.settings.PeerListen})
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
	end := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(end) {
			require.FailNow(c.t, "waited in vain", what)
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
	response, err := http.Get("http://" + p.settings.OpsListen + "/status")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	s := new(status.Node)
	return s, json.NewDecoder(response.Body).Decode(s)
}

// answer is what a caller received.
type answer struct {
	Status    int
	Snapshot  string `json:"snapshot"`
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	Run       string `json:"run"`
	Ticket    string `json:"ticket"`
	Replayed  bool   `json:"replayed"`
	MayResend bool   `json:"may_resend"`
	Coverage  struct {
		Known   bool
		Covered uint32
		Total   uint32
		Missing []struct{ Leaf, Reason string }
	} `json:"coverage"`
	Hits []struct {
		ID   string
		Body string
	} `json:"hits"`
}

// post sends a caller's request to one node.
func (p *process) post(path string, body string, headers map[string]string) (*answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.settings.HTTPListen+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	a := &answer{Status: response.StatusCode}
	return a, json.Unmarshal(data, a)
}
