package nodecmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRunLogsToStandardOutput starts a node with an address that this host does not
// have, so that the node fails to start.
func TestRunLogsToStandardOutput(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "settings", "adom-tema-1.jsonc"))
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	broken := bytes.ReplaceAll(data, []byte("127.0.1.1"), []byte("192.0.2.1"))
	require.NotEqual(t, data, broken)
	require.NoError(t, os.WriteFile(file, broken, 0o600))
	var stdout, stderr bytes.Buffer
	assert.Equal(t, exitFailure, Execute([]string{"run", "--settings", file}, &stdout, &stderr))
	assert.Contains(t, stdout.String(), `"msg":"node can't start"`)
	assert.Contains(t, stderr.String(), "192.0.2.1")
}
