package peer

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// testTimeout bounds each wait for an event.
const testTimeout = 10 * time.Second

// scriptedHandler is a Handler that does what the first leaf name of a call asks for.
type scriptedHandler struct{ ended chan string }

func (s *scriptedHandler) HandleMessage(wire.Hello, wire.Frame) {}

func (s *scriptedHandler) HandleCall(ctx context.Context, from wire.Hello, frame wire.Frame, reply *Reply) error {
	var m wire.Held
	if err := wire.Decode(frame.Payload, &m); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	switch m.Leaves[0] {
	case "refuse":
		return kind.Errorf(kind.NotHolder, "not mine")
	case "wait":
		_ = reply.Send(ctx, wire.TypeHeldResult, &wire.HeldResult{})
		<-ctx.Done()
		s.ended <- from.Host
		return nil
	case "flood":
		for range 10 {
			_ = reply.Send(ctx, wire.TypeHeldResult, &wire.HeldResult{})
		}
		return nil
	default:
		return reply.Send(ctx, wire.TypeHeldResult, &wire.HeldResult{Leaves: []wire.LeafHeld{{Leaf: m.Leaves[0]}}})
	}
}

// newPair returns a pool, and a server's handler and the proxy through which the pool
// reaches that server.
func newPair(t *testing.T) (*Pool, *scriptedHandler, *faultproxy.Proxy) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	traffic := NewTraffic(tally.NoopScope)
	handler := &scriptedHandler{ended: make(chan string, 1)}
	server := NewServer(listener, wire.Hello{Host: "server", Incarnation: 1}, traffic, handler)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New(listener.Addr().String(), nil)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	pool := NewPool(wire.Hello{Host: "client", Incarnation: 2}, traffic, nil)
	t.Cleanup(pool.Close)
	return pool, handler, proxy
}

// ask makes one call and returns its stream and the first frame of its answer.
func ask(ctx context.Context, p *Pool, address, command string) (*Stream, wire.Frame, bool, error) {
	stream, err := p.Call(ctx, address, wire.TypeHeld, &wire.Held{Leaves: []string{command}}, 1)
	if err != nil {
		return nil, wire.Frame{}, false, err
	}
	frame, ok, err := stream.Recv(ctx)
	return stream, frame, ok, err
}

func TestCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	pool, handler, proxy := newPair(t)
	address := proxy.Address()

	stream, frame, ok, err := ask(ctx, pool, address, "t1-0")
	require.NoError(t, err)
	require.True(t, ok)
	var answer wire.HeldResult
	require.NoError(t, wire.Decode(frame.Payload, &answer))
	require.Equal(t, "t1-0", answer.Leaves[0].Leaf)
	_, ok, err = stream.Recv(ctx)
	require.False(t, ok)
	require.NoError(t, err)

	_, _, _, err = ask(ctx, pool, address, "refuse")
	require.Equal(t, kind.NotHolder, kind.Of(err))

	stream, err = pool.Call(ctx, address, wire.TypeHeld, &wire.Held{Leaves: []string{"flood"}}, 1)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return stream.error() != nil }, testTimeout, time.Millisecond)
	require.ErrorIs(t, stream.error(), ErrOverflow)
	stream.Close()

	stream, _, _, err = ask(ctx, pool, address, "wait")
	require.NoError(t, err)
	stream.Close()
	require.Equal(t, "client", <-handler.ended, "a canceled call ends at the server")

	stream, _, _, err = ask(ctx, pool, address, "wait")
	require.NoError(t, err)
	proxy.CloseConnections()
	_, _, err = stream.Recv(ctx)
	require.ErrorIs(t, err, ErrLost)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, "client", <-handler.ended, "a call whose link is lost ends at the server")
	require.Equal(t, 1, proxy.Accepted())

	_, _, _, err = ask(ctx, pool, address, "t1-1")
	require.NoError(t, err, "a new link is dialled")
}

func TestCallsThatAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faultproxy.Faults
		body   []byte
	}{
		{"connections closed at once", faultproxy.Faults{Refuse: true}, nil},
		{"handshake held back", faultproxy.Faults{StallToClient: true}, nil},
		{"handshake cut short", faultproxy.Faults{TruncateAfter: 5}, nil},
		{"message too large", faultproxy.Faults{}, make([]byte, wire.MaxPayload+1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			pool, _, proxy := newPair(t)
			proxy.SetFaults(c.faults)
			_, err := pool.Call(ctx, proxy.Address(), wire.TypeScatter, &wire.Scatter{Body: c.body}, 1)
			require.ErrorIs(t, err, ErrNotSent)
			require.NoError(t, ctx.Err(), "the call fails before its deadline")
		})
	}
}

// TestBadFrames checks that the server closes a link that violates the protocol.
func TestBadFrames(t *testing.T) {
	_, _, proxy := newPair(t)
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"another protocol", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"another version", []byte{0, 0, 0, 0, wire.Version + 1, 1, 0, 0, 0, 0, 0, 0, 0, 0}},
		{"too large", []byte{0xff, 0, 0, 0, wire.Version, 1, 0, 0, 0, 0, 0, 0, 0, 0}},
		{"no hello first", []byte{0, 0, 0, 0, wire.Version, byte(wire.TypeScatter), 0, 0, 0, 0, 0, 0, 0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", proxy.Address())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = conn.Write(c.data)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, conn)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
		})
	}
}

// failingListener fails to accept the first connections for lack of descriptors.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestServerGoesOnWhenAcceptingFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	traffic := NewTraffic(tally.NoopScope)
	server := NewServer(&failingListener{Listener: listener, failures: 3}, wire.Hello{Host: "server", Incarnation: 1}, traffic, &scriptedHandler{})
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	pool := NewPool(wire.Hello{Host: "client", Incarnation: 2}, traffic, nil)
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, _, ok, err := ask(ctx, pool, listener.Addr().String(), "leaf")
	require.NoError(t, err)
	require.True(t, ok)
	server.Close()
	require.NoError(t, <-served)
}
