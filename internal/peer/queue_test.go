package peer

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// TestCanceledCallIsNotWritten guards against calls that a peer receives after they have been canceled,
// and against cancellations that are lost because the queue of the link is full.
func TestCanceledCallIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	l := &clientLink{link: newLink(near, wire.Hello{}, NewTraffic(tally.NoopScope)), streams: map[uint64]*Stream{}}
	call := func() *Stream {
		s := l.open(wire.TypeGather, 1)
		require.NoError(t, l.enqueue(t.Context(), wire.Frame{Type: wire.TypeGather, Stream: s.id}))
		return s
	}
	sent := call()
	require.Len(t, l.queue.take(), 1)
	unsent, kept := call(), call()
	for l.offer(wire.Frame{Type: wire.TypeMember}) {
	}
	unsent.Close()
	sent.Close()
	var streams []uint64
	for _, f := range l.queue.take() {
		if f.Stream != 0 {
			streams = append(streams, f.Stream)
			require.Equal(t, f.Type == wire.TypeCancel, f.Stream == sent.id)
		}
	}
	require.Equal(t, []uint64{kept.id, sent.id}, streams)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, l.enqueue(ctx, wire.Frame{Type: wire.TypeGather, Stream: 9}), ErrNotSent)
}
