package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/status"
)

const (
	// stopTimeout is the time after which a process that does not end is killed.
	stopTimeout = 20 * time.Second
	// tailBytes is the length of the output that is kept of each process.
	tailBytes = 2048
)

// process is one node process.
type process struct {
	settings *settings.Settings
	file     string
	command  *exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
	// log holds the last output of the process.
	log tail
	// restarted is set once the process has been started again.
	restarted bool
}

func newProcess(dir string, s *settings.Settings) (*process, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", s.Name, err)
	}
	file := filepath.Join(dir, s.Name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", s.Name, err)
	}
	return &process{settings: s, file: file}, nil
}

// start starts the program.
func (p *process) start(binary string) error {
	p.command = exec.Command(binary, "run", "--settings", p.file)
	p.command.Stderr = &p.log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start node %s: %w", p.settings.Name, err)
	}
	command := p.command
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop ends the process as planned, and kills it if it does not end in time.
func (p *process) stop() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Kill()
	<-p.exited
}

// tail keeps the end of what is written to it.
type tail struct {
	// mu guards data.
	mu   sync.Mutex
	data []byte
}

// Write implements io.Writer.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	t.data = t.data[max(0, len(t.data)-tailBytes):]
	return len(p), nil
}

// String returns what is kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

var client = &http.Client{Timeout: 5 * time.Second}

func (p *process) status() (*status.Node, error) {
	response, err := client.Get("http://" + p.settings.OpsListen + "/status")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	s := new(status.Node)
	if err := json.NewDecoder(response.Body).Decode(s); err != nil {
		return nil, fmt.Errorf("status of %s: %w", p.settings.Name, err)
	}
	return s, nil
}
