package main

import (
	"fmt"
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

// node is one process of the system on a loopback address of its own.
type node struct {
	name, ip, zone string
	front, ready   string
	file           string
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
}

const nodeProgram = "target/redwingshelf"

// newNode writes the settings of the i-th node. ports are those for clients, for the readiness check, the first of
// those between nodes, and the one of control.
func newNode(dir string, i int, zone string, ports [4]int, seeds []string, storeAddress string) (*node, error) {
	n := &node{name: fmt.Sprintf("front-%d", i+1), ip: nodeIP(i), zone: zone}
	n.front = fmt.Sprintf("%s:%d", n.ip, ports[0])
	n.ready = fmt.Sprintf("%s:%d", n.ip, ports[1])
	n.file = filepath.Join(dir, n.name+".toml")
	settings := fmt.Sprintf(`node = %q
role = "relay"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
failureCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = %q
ready = %q
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 52
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
`, n.name, n.ip, n.zone, ports[2], ports[2]+3, quoted(seeds), n.front, n.ready, n.ip, ports[3], storeAddress)
	return n, os.WriteFile(n.file, []byte(settings), 0o644)
}

func nodeIP(i int) string { return fmt.Sprintf("127.3.0.%d", i+1) }

func quoted(list []string) string {
	q := make([]string, len(list))
	for i, s := range list {
		q[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(q, ",")
}

// start starts the process with the command of the deploy file.
func (n *node) start(log *os.File) error {
	cmd := exec.Command(nodeProgram, "relay")
	cmd.Env = []string{"REDWINGSHELF_CONFIG=" + n.file, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + n.ready + "/redwingshelf/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *node) waitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}

// freePorts returns ports that are free on all addresses of the nodes; the third begins a range of four.
func freePorts(nodes int) ([4]int, error) {
	for try := 0; try < 50; try++ {
		l, err := net.Listen("tcp", nodeIP(0)+":0")
		if err != nil {
			return [4]int{}, err
		}
		base := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if base > 60000 || !allFree(nodes, base, 8) {
			continue
		}
		return [4]int{base, base + 1, base + 2, base + 6}, nil
	}
	return [4]int{}, fmt.Errorf("no free ports")
}

func allFree(nodes, base, n int) bool {
	for i := range nodes {
		for p := base; p < base+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(i), p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
