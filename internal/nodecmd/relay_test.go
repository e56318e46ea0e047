package nodecmd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// output collects the log lines of a node.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
	line chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.line <- struct{}{}:
	default:
	}
	return o.data.Write(p)
}

// waitFor waits until the output contains a text.
func (o *output) waitFor(t *testing.T, text string) {
	deadline := time.After(20 * time.Second)
	for {
		o.mu.Lock()
		found := bytes.Contains(o.data.Bytes(), []byte(text))
		o.mu.Unlock()
		if found {
			return
		}
		select {
		case <-o.line:
		case <-deadline:
			o.mu.Lock()
			defer o.mu.Unlock()
			require.FailNow(t, "not written: "+text, o.data.String())
		}
	}
}

// listenAddress is a loopback address from which no outgoing connection takes a port.
const listenAddress = "127.0.2.1"

// freePort returns a free port of listenAddress.
func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", listenAddress+":0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// TestReloadNeverEndsTheProcess sends SIGHUP while the settings are read and while the
// node stops. If the node did not catch it then, it would end the test process.
func TestReloadNeverEndsTheProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	out := &output{line: make(chan struct{}, 1)}
	ended := make(chan error, 1)
	go func() { ended <- runRelay(file, out) }()

	// Opening the pipe returns once the node has opened it for reading.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	text := fmt.Sprintf(`node = "a"
ip = "127.0.2.1"
zone = "z"
internalPorts = [%d, %d]
[listen]
front = "127.0.2.1:%d"
ready = "127.0.2.1:%d"
[bounds]
graceS = 0.4
[platform]
address = "127.0.2.1:%d"
`, freePort(t), freePort(t), freePort(t), freePort(t), freePort(t))
	// Later reads find a regular file instead of the pipe.
	regular := file + ".next"
	require.NoError(t, os.WriteFile(regular, []byte(text), 0o600))
	require.NoError(t, os.Rename(regular, file))
	_, err = pipe.WriteString(text)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	out.waitFor(t, "node started")
	out.waitFor(t, "settings reloaded")

	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	out.waitFor(t, "node stopping")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.NoError(t, <-ended)
	out.waitFor(t, "node stopped")
}
