package demo

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// leavesVariable is the environment variable that makes the test binary serve leaves.
const leavesVariable = "REDWINGSHELF_TEST_LEAVES"

// entriesPerShard is the number of entries in each shard of the leaves that
// serveLeaves serves.
const entriesPerShard = 10

// TestMain serves leaves instead of running tests if leavesVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(leavesVariable) != "" {
		os.Exit(serveLeaves())
	}
	os.Exit(m.Run())
}

// serveLeaves serves the leaves of the document on standard input until the input
// ends. It writes their URLs to standard output.
func serveLeaves() int {
	decoder := json.NewDecoder(os.Stdin)
	doc := &document.Document{}
	if err := decoder.Decode(doc); err != nil {
		return 1
	}
	urls := map[string]string{}
	s := &Site{doc: doc, services: map[string]*standin.Snapshot{}, sequence: 1}
	index := document.NewIndex(doc)
	for _, service := range index.Services() {
		s.options.Entries = entriesPerShard * len(service.Shards)
		for _, id := range service.Leaves {
			leaf, err := standin.NewLeaf(standin.LeafOptions{
				Name:       index.Leaf(id).Name,
				Shard:      index.Leaf(id).Shard,
				StartWarm:  true,
				MaxRecords: 1,
			}, s.snapshotOf(service))
			if err != nil {
				return 1
			}
			urls[leaf.Name()] = leaf.URL()
		}
	}
	if err := json.NewEncoder(os.Stdout).Encode(urls); err != nil {
		return 1
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}

// startLeafProcess serves the leaves of a document in a process of their own, so
// that their processor time is not counted with that of the nodes.
func startLeafProcess(tb testing.TB, doc *document.Document) map[string]string {
	tb.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), leavesVariable+"=1")
	stdin, err := command.StdinPipe()
	require.NoError(tb, err)
	stdout, err := command.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, command.Start())
	tb.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Wait()
	})
	require.NoError(tb, json.NewEncoder(stdin).Encode(doc))
	urls := map[string]string{}
	require.NoError(tb, json.NewDecoder(stdout).Decode(&urls))
	return urls
}
