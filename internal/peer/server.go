package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	maxCallsPerLink = 8192
	// maxHandshakes is the number of accepted connections whose peer is not known yet. Beyond it the
	// oldest one is closed, so that connections which stay silent do not keep peers out.
	maxHandshakes = 256
	// acceptRetryDelay is the time from a failure to accept a connection, as for lack of descriptors, to
	// the next try.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler serves the calls and one-way messages of peers.
type Handler interface {
	// HandleCall answers a call. The call ends when it returns; an error becomes
	// the stream's error. ctx ends when the caller cancels or its link fails.
	HandleCall(ctx context.Context, from wire.Hello, frame wire.Frame, reply *Reply) error
	// HandleMessage handles a one-way message. It must not block.
	HandleMessage(from wire.Hello, frame wire.Frame)
}

// Reply sends the answers of one call.
type Reply struct {
	link   *link
	stream uint64
	// mu guards control.
	mu      sync.Mutex
	control func(wire.Frame)
}

// OnControl sets the function that handles the messages that the caller sends during
// the call. It must not block.
func (r *Reply) OnControl(f func(wire.Frame)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.control = f
}

func (r *Reply) deliver(frame wire.Frame) {
	r.mu.Lock()
	f := r.control
	r.mu.Unlock()
	if f != nil {
		f(frame)
	}
}

// Send queues one answer frame.
func (r *Reply) Send(ctx context.Context, t wire.Type, message any) error {
	payload, err := wire.Encode(message)
	if err != nil {
		return err
	}
	return r.link.enqueue(ctx, wire.Frame{Type: t, Stream: r.stream, Payload: payload})
}

// Server accepts links from peers and serves their calls and messages.
type Server struct {
	hello    wire.Hello
	traffic  *Traffic
	handler  Handler
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// mu guards the fields below.
	mu    sync.Mutex
	links map[*serverLink]struct{}
	// handshakes are the links whose handshake has not ended, the oldest first.
	handshakes []*serverLink
}

// serverLink is the accepting end of a link, with its running calls.
type serverLink struct {
	*link
	server *Server
	wg     sync.WaitGroup
	// mu guards calls.
	mu    sync.Mutex
	calls map[uint64]runningCall
}

// runningCall is a call that the handler is serving.
type runningCall struct {
	cancel context.CancelFunc
	reply  *Reply
}

// NewServer returns a server on an open listener.
func NewServer(listener net.Listener, hello wire.Hello, traffic *Traffic, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		hello:    hello,
		traffic:  traffic,
		handler:  handler,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		links:    map[*serverLink]struct{}{},
	}
}

// Serve accepts links until Close. It returns nil after Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil && (s.ctx.Err() != nil || errors.Is(err, net.ErrClosed)) {
			return nil
		}
		if err != nil {
			s.traffic.acceptFailures.Inc(1)
			select {
			case <-time.After(acceptRetryDelay):
			case <-s.ctx.Done():
			}
			continue
		}
		l := &serverLink{link: newLink(conn, s.hello, s.traffic), server: s, calls: map[uint64]runningCall{}}
		if !s.add(l) {
			l.close()
			return nil
		}
		s.wg.Go(l.serve)
	}
}

// Close stops accepting links, closes every link and waits for the running calls.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	for l := range s.links {
		l.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) add(l *serverLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.links[l] = struct{}{}
	if len(s.handshakes) >= maxHandshakes {
		s.handshakes[0].close()
		s.handshakes = s.handshakes[1:]
	}
	s.handshakes = append(s.handshakes, l)
	return true
}

// endHandshake removes a link from those whose handshake has not ended.
func (s *Server) endHandshake(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.handshakes, l); i >= 0 {
		s.handshakes = slices.Delete(s.handshakes, i, i+1)
	}
}

func (s *Server) remove(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

func (l *serverLink) serve() {
	defer l.server.remove(l)
	defer l.wg.Wait()
	defer l.close()
	reader := bufio.NewReaderSize(l.conn, readBufferSize)
	err := l.handshake(reader)
	l.server.endHandshake(l)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.server.ctx)
	defer cancel()
	l.wg.Go(l.writeLoop)
	for {
		frame, err := l.read(reader)
		if err != nil {
			return
		}
		l.dispatch(ctx, frame)
	}
}

func (l *serverLink) dispatch(ctx context.Context, frame wire.Frame) {
	switch {
	case frame.Type == wire.TypePing:
		l.offer(wire.Frame{Type: wire.TypePong})
	case frame.Type == wire.TypeCancel:
		l.cancelCall(frame.Stream)
	case frame.Type == wire.TypeCancelLeaf:
		l.control(frame)
	case frame.Stream == 0:
		l.server.handler.HandleMessage(l.peer, frame)
	default:
		l.startCall(ctx, frame)
	}
}

func (l *serverLink) startCall(ctx context.Context, frame wire.Frame) {
	callCtx, cancel := context.WithCancel(ctx)
	reply := &Reply{link: l.link, stream: frame.Stream}
	if err := l.register(frame.Stream, runningCall{cancel: cancel, reply: reply}); err != nil {
		cancel()
		l.finish(ctx, reply, err)
		return
	}
	l.wg.Go(func() {
		defer l.cancelCall(frame.Stream)
		err := l.server.handler.HandleCall(callCtx, l.peer, frame, reply)
		l.finish(ctx, reply, err)
	})
}

// register records a running call. A stream number that is already in use is a
// protocol error and closes the link.
func (l *serverLink) register(stream uint64, call runningCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, duplicate := l.calls[stream]; duplicate {
		l.close()
		return kind.Errorf(kind.BadRequest, "stream %d is already in use", stream)
	}
	if len(l.calls) >= maxCallsPerLink {
		return kind.Errorf(kind.Overloaded, "link already runs %d calls", maxCallsPerLink)
	}
	l.calls[stream] = call
	return nil
}

func (l *serverLink) cancelCall(stream uint64) {
	l.mu.Lock()
	call, running := l.calls[stream]
	delete(l.calls, stream)
	l.mu.Unlock()
	if running {
		call.cancel()
	}
}

func (l *serverLink) control(frame wire.Frame) {
	l.mu.Lock()
	call, running := l.calls[frame.Stream]
	l.mu.Unlock()
	if running {
		call.reply.deliver(frame)
	}
}

func (l *serverLink) finish(ctx context.Context, reply *Reply, err error) {
	if err == nil {
		_ = l.enqueue(ctx, wire.Frame{Type: wire.TypeEnd, Stream: reply.stream})
		return
	}
	message := wire.StreamError{Kind: kind.Of(err).String(), Message: err.Error()}
	_ = reply.Send(ctx, wire.TypeError, &message)
}
