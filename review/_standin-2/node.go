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

// machine is a machine of the system with its one process, which the platform starts again after
// it has ended.
type machine struct {
	name, zone, ip string
	dir            string
	ports          ports
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
	stopped        bool
	startedAt      time.Time
}

// ports are the same on all machines.
type ports struct{ front, ready, control, internal int }

// freePorts returns ports that are free at all the addresses.
func freePorts(ips []string) ports {
	for first := 20000 + os.Getpid()%20000; ; first += 17 {
		free := true
		for _, ip := range ips {
			for p := first; p < first+6; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return ports{first, first + 1, first + 2, first + 3}
		}
		if first > 60000 {
			unable("no free ports")
		}
	}
}

var zones = []string{"accra-tema", "accra-kaneshie", "accra-madina"}

// startMachines starts machines in turn in the three zones, with the settings of a machine of the small
// deployments.
func startMachines(n int, s *store) []*machine {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		unable("%v", err)
	}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 20+i, 1+os.Getpid()%200))
	}
	p := freePorts(ips)
	var seeds []string
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, p.control)))
	}
	var machines []*machine
	for i, ip := range ips {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: ip, dir: dir, ports: p}
		m.writeSettings(seeds, s.address)
		machines = append(machines, m)
	}
	atExit(func() {
		for _, m := range machines {
			m.end()
		}
		_ = os.RemoveAll(dir)
	})
	for _, m := range machines {
		m.start()
	}
	for _, m := range machines {
		until := time.Now().Add(15 * time.Second)
		for !m.isReady() {
			if time.Now().After(until) {
				unable("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return machines
}

func (m *machine) file(suffix string) string { return filepath.Join(m.dir, m.name+suffix) }

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.front) }

func (m *machine) writeSettings(seeds []string, storeAddress string) {
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
`, m.name, m.ip, m.zone, m.ports.internal, m.ports.internal+2, strings.Join(seeds, ","),
		m.ip, m.ports.front, m.ip, m.ports.ready, m.ip, m.ports.control, storeAddress)
	if err := os.WriteFile(m.file(".toml"), []byte(text), 0o600); err != nil {
		unable("%v", err)
	}
}

// start runs the command of the deploy file.
func (m *machine) start() {
	log, err := os.OpenFile(m.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	cmd := exec.Command("target/redwingshelf", "relay")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGSHELF_CONFIG=" + m.file(".toml")}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	if err := cmd.Start(); err != nil {
		unable("%v", err)
	}
	m.cmd, m.ended, m.startedAt = cmd, make(chan struct{}), time.Now()
	ended := m.ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// end ends the machine for good.
func (m *machine) end() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
	if m.cmd != nil {
		m.wait()
	}
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/redwingshelf/ready", m.ip, m.ports.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// killAll kills the processes at the same moment, and starts them again after down.
func killAll(machines []*machine, down time.Duration) {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.wait()
	}
	time.Sleep(down)
	for _, m := range machines {
		m.start()
	}
}
