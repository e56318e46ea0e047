package hostile

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// process is a node process with the limits that it must keep.
type process struct {
	t        *testing.T
	cmd      *exec.Cmd
	ended    chan struct{}
	log      string
	memoryMB int
	// sockets is the number of descriptors that the process may use for sockets.
	sockets int
}

// The ports of nodes are below the ephemeral range, so that no caller's connection takes one.
const (
	firstPort = 10000
	lastPort  = 32000
)

// nextPort is the port that freeAddresses tries next.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddresses returns n loopback addresses with adjacent ports on which nothing listens.
func freeAddresses(n int) []string {
	for {
		if nextPort+n > lastPort {
			nextPort = firstPort
		}
		addresses, free := make([]string, n), true
		for i := range addresses {
			addresses[i] = fmt.Sprintf("127.0.0.1:%d", nextPort+i)
			l, err := net.Listen("tcp", addresses[i])
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		nextPort += n
		if free {
			return addresses
		}
	}
}

// start starts the command of the process. The process ends with the test.
func (p *process) start(cmd *exec.Cmd) {
	p.log = filepath.Join(p.t.TempDir(), "log")
	log, err := os.Create(p.log)
	require.NoError(p.t, err)
	p.cmd, p.ended = cmd, make(chan struct{})
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(p.t, cmd.Start())
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
		_ = log.Close()
	})
}

// waitReady waits until a URL is answered with a status of success.
func (p *process) waitReady(url string) {
	require.Eventually(p.t, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode < http.StatusMultipleChoices
	}, 20*time.Second, 20*time.Millisecond)
}

// peakMemoryMB returns the highest resident memory of the process so far.
func (p *process) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			require.NoError(p.t, err)
			return kb / 1024
		}
	}
	return 0
}

// queuedMB returns the bytes that the system holds for the sockets at an address: those that the process has
// not read and those that its callers have not acknowledged.
func queuedMB(t *testing.T, address string) int {
	data, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	port, err := strconv.Atoi(portOf(address))
	require.NoError(t, err)
	local, total := fmt.Sprintf("0100007F:%04X", port), int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local {
			continue
		}
		for queue := range strings.SplitSeq(fields[4], ":") {
			bytes, err := strconv.ParseInt(queue, 16, 64)
			require.NoError(t, err)
			total += bytes
		}
	}
	return int(total >> 20)
}

func (p *process) openFiles() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watch returns the largest number of open descriptors until stop is closed.
func (p *process) watch(stop <-chan struct{}) int {
	most := 0
	for {
		most = max(most, p.openFiles())
		select {
		case <-stop:
			return most
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// underPressure runs press, and checks that the process lives within its limits and serves an ordinary
// request afterwards.
func (p *process) underPressure(press func(), ordinaryRequest func() int) {
	stop := make(chan struct{})
	files := make(chan int, 1)
	go func() { files <- p.watch(stop) }()
	press()
	assert.Equal(p.t, http.StatusOK, ordinaryRequest(), "an ordinary request while the crowd stays")
	close(stop)
	most := <-files
	peak := p.peakMemoryMB()
	p.t.Logf("%d MB and %d descriptors at most", peak, most)
	assert.Less(p.t, most, p.sockets, "open descriptors")
	assert.Less(p.t, peak, p.memoryMB, "memory in MB")
	select {
	case <-p.ended:
		p.t.Error("the process has ended")
	default:
	}
	if p.t.Failed() {
		data, _ := os.ReadFile(p.log)
		p.t.Logf("%s", data[max(len(data)-2000, 0):])
	}
}

// node is a process that relays requests.
type node struct {
	*process
	front, ready, metrics, peers string
}

// relayLimits are the limits of a node process.
type relayLimits struct {
	memoryMB int
	// files is the number of descriptors, reservedFiles included.
	files int
	// bodyBytes is the largest body of a request.
	bodyBytes int
}

// site is what the nodes of a test share: the platform's store, with the routes and the leaves, and the
// ports of the nodes, each of which has an address of its own.
type site struct {
	t      *testing.T
	limits relayLimits
	store  *platformtest.Store
	ports  []string
	nodes  int
}

// newSite returns a site with the routes, services and leaves that configure adds to those of the ordinary
// requests.
func newSite(t *testing.T, l relayLimits, configure func(*platformtest.Store, *platformtest.Config)) *site {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	config := &platformtest.Config{
		Version:  1,
		Limits:   map[string]int{"maxHeaderBytes": headBytes, "maxBodyBytes": l.bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Services: []platformtest.Service{{Name: "s", MaxConns: 20}},
		Routes: []platformtest.Route{
			{Name: "one", Host: "shop.example", Prefix: "/", Kind: "non_idempotent", TimeoutMS: 60000, TargetLatencyMS: 400, Service: "s", MaxAttempts: 1},
		},
	}
	if configure != nil {
		configure(store, config)
	}
	store.PutConfig(config)
	leaf, err := platformtest.StartLeaf(platformtest.LeafOptions{ID: "i-1", Service: "s", Zone: "z", Listen: "127.0.0.1:0"}, store, new(platformtest.Journal))
	require.NoError(t, err)
	t.Cleanup(leaf.Kill)
	s := &site{t: t, limits: l, store: store}
	for _, address := range freeAddresses(4) {
		s.ports = append(s.ports, portOf(address))
	}
	return s
}

// start starts a node with a number of cores and waits until it is ready.
func (s *site) start(cores float64) *node {
	s.nodes++
	ip := fmt.Sprintf("127.0.0.%d", s.nodes)
	at := func(i int) string { return net.JoinHostPort(ip, s.ports[i]) }
	n := &node{
		process: &process{t: s.t, memoryMB: s.limits.memoryMB, sockets: s.limits.files - reservedFiles},
		front:   at(0), ready: at(1), peers: at(2), metrics: at(3),
	}
	settings := fmt.Sprintf(`node = "n%d"
ip = %q
zone = "z"
internalPorts = [%s, %s]
seeds = ["127.0.0.1:1"]
[listen]
front = %q
ready = %q
[limits]
memoryMb = %d
maxFds = %d
cpuShare = %g
[bounds]
graceS = 2
[platform]
address = %q
`, s.nodes, ip, s.ports[2], s.ports[3], n.front, n.ready, s.limits.memoryMB, s.limits.files, cores, s.store.Address())
	file := filepath.Join(s.t.TempDir(), "node.toml")
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	n.process.start(exec.Command(binary, "relay", "--settings", file))
	n.waitReady("http://" + n.ready + "/redwingshelf/ready")
	return n
}

// startRelay starts the only node of a site.
func startRelay(t *testing.T, l relayLimits, configure func(*platformtest.Store, *platformtest.Config)) *node {
	return newSite(t, l, configure).start(0)
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// startNode starts a node that serves only ordinary requests.
func startNode(t *testing.T) *node {
	return startRelay(t, relayLimits{memoryMB: memoryMB, files: maxFiles, bodyBytes: bodyBytes}, nil)
}

// ordinaryRequest sends a small request on a new connection, and again if it was refused.
func (n *node) ordinaryRequest(body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	status := 0
	for range 20 {
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/x", strings.NewReader(body))
		require.NoError(n.t, err)
		request.Host = "shop.example"
		request.Header.Set(platformtest.HeaderAttempt, fmt.Sprintf("%016x", time.Now().UnixNano()))
		request.Header.Set(platformtest.HeaderDeadline, "4000")
		response, err := client.Do(request)
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		if status == http.StatusOK {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}
