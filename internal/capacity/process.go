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
	// stopTimeout is how long a process may take to stop gracefully before it is killed.
	stopTimeout = 20 * time.Second
	// tailBytes is the amount of output that is kept of each process.
	tailBytes = 2048
)

// process is one node process.
type process struct {
	settings     *settings.Settings
	settingsFile string
	command      *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
	// output holds the end of the standard error of the process.
	output tailBuffer
	// restarted is set if the node was restarted during the current mode.
	restarted bool
}

func newProcess(dir string, s *settings.Settings) (*process, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", s.Name, err)
	}
	settingsFile := filepath.Join(dir, s.Name+".json")
	if err := os.WriteFile(settingsFile, data, 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", s.Name, err)
	}
	return &process{settings: s, settingsFile: settingsFile}, nil
}

// start starts the process.
func (p *process) start(binary string) error {
	p.command = exec.Command(binary, "run", "--settings", p.settingsFile)
	p.command.Stderr = &p.output
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

// stop stops the process gracefully, and kills it if it does not exit within
// stopTimeout.
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

// tailBuffer keeps the last tailBytes bytes that are written to it.
type tailBuffer struct {
	// mu guards data.
	mu   sync.Mutex
	data []byte
}

// Write implements io.Writer.
func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	t.data = t.data[max(0, len(t.data)-tailBytes):]
	return len(p), nil
}

// String returns the bytes that are kept.
func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

var opsClient = &http.Client{Timeout: 5 * time.Second}

func (p *process) status() (*status.Node, error) {
	response, err := opsClient.Get("http://" + p.settings.OpsListen + "/status")
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
