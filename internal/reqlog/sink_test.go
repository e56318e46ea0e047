package reqlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/reqlog"
)

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	sink := reqlog.NewSink(&out)
	for range 100 {
		_, err := sink.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	sink.Close()
	assert.Equal(t, 100, strings.Count(out.String(), "line\n"))
	assert.Zero(t, sink.Dropped())
}

// TestWritesDuringAndAfterClose writes from goroutines that outlive the sink, as happens
// in a process that is stopping. Lines written after Close are dropped.
func TestWritesDuringAndAfterClose(t *testing.T) {
	var out bytes.Buffer
	sink := reqlog.NewSink(&out)
	var wg sync.WaitGroup
	start := make(chan struct{})
	for range 8 {
		wg.Go(func() {
			<-start
			for range 1000 {
				_, err := sink.Write([]byte("line\n"))
				assert.NoError(t, err)
			}
		})
	}
	close(start)
	sink.Close()
	wg.Wait()
	written := strings.Count(out.String(), "line\n")
	_, err := sink.Write([]byte("line\n"))
	require.NoError(t, err)
	assert.Equal(t, written, strings.Count(out.String(), "line\n"))
	assert.Positive(t, sink.Dropped())
}
