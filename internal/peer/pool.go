package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// idleAfter is the time without a frame after which a link is closed.
	idleAfter         = 30 * time.Second
	idleCheckInterval = 5 * time.Second
	dialTimeout       = 500 * time.Millisecond
	redialBackoff     = 50 * time.Millisecond
)

// Observer is notified of dials.
type Observer interface {
	// Dialing is called before each dial. It returns the incarnation of the
	// process last known at the address, or zero if none is known.
	Dialing(address string) (incarnation uint64)
	// Refused reports that the address refused a connection, which proves that
	// the process with the given incarnation has ended.
	Refused(address string, incarnation uint64)
}

// Pool keeps one outgoing link for each peer address.
type Pool struct {
	hello    wire.Hello
	traffic  *Traffic
	observer Observer
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// mu guards peers.
	mu    sync.Mutex
	peers map[string]*remote
}

// remote is one address with its current link.
type remote struct {
	address string
	// failing is set if the last dial failed.
	failing atomic.Bool
	// mu guards the fields below and is held while dialling.
	mu       sync.Mutex
	link     *clientLink
	failedAt time.Time
	err      error
}

// clientLink is the dialling end of a link, with its open streams.
type clientLink struct {
	*link
	liveness liveness
	// mu guards the fields below.
	mu      sync.Mutex
	streams map[uint64]*Stream
	next    uint64
	// failed is set once the link has ended; no stream can be opened after that.
	failed bool
}

// NewPool returns a pool that sends hello on each new link. observer may be nil.
func NewPool(hello wire.Hello, traffic *Traffic, observer Observer) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		hello:    hello,
		traffic:  traffic,
		observer: observer,
		ctx:      ctx,
		cancel:   cancel,
		peers:    map[string]*remote{},
	}
	p.wg.Go(p.closeIdleLoop)
	p.wg.Go(func() { periodic.Run(p.ctx, pingInterval, p.closeUnresponsive) })
	return p
}

// closeIdleLoop closes idle links periodically, since gossip eventually opens a link to
// every host of a large fleet.
func (p *Pool) closeIdleLoop() {
	periodic.Run(p.ctx, idleCheckInterval, p.closeIdle)
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, r := range p.peers {
		if !r.mu.TryLock() {
			continue
		}
		if r.liveLink() == nil || r.link.closeIfIdle() {
			delete(p.peers, address)
		}
		r.mu.Unlock()
	}
}

// closeIfIdle closes a link that has no stream, no queued frame, and no frame within
// idleAfter. It reports whether it did.
func (l *clientLink) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) > 0 || !l.queue.empty() || l.idleFor() < idleAfter {
		return false
	}
	l.failed = true
	l.close()
	return true
}

// Close closes every link and waits for their goroutines.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	for _, r := range p.peers {
		r.mu.Lock()
		if r.link != nil {
			r.link.close()
		}
		r.mu.Unlock()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Call sends a request and returns the stream of its answers. buffer bounds the
// number of answer frames. An error that wraps ErrNotSent proves that nothing
// of the request has left this node.
func (p *Pool) Call(ctx context.Context, address string, t wire.Type, message any, buffer int) (*Stream, error) {
	payload, err := wire.Encode(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	l, err := p.remote(address).get(ctx, p)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	l.liveness.sent.Store(true)
	s := l.open(t, buffer)
	if s == nil {
		return nil, ErrNotSent
	}
	if err := l.enqueue(ctx, wire.Frame{Type: t, Stream: s.id, Payload: payload}); err != nil {
		l.remove(s.id)
		return nil, err
	}
	return s, nil
}

// Ask makes a call with one answer frame and decodes it into answer. An error that
// wraps ErrNotSent proves that nothing of the request has left this node.
func (p *Pool) Ask(ctx context.Context, address string, t wire.Type, request, answer any) error {
	stream, err := p.Call(ctx, address, t, request, 1)
	if err != nil {
		return err
	}
	defer stream.Close()
	frame, ok, err := stream.Recv(ctx)
	if err != nil {
		return err
	}
	if !ok {
		return ErrLost
	}
	return wire.Decode(frame.Payload, answer)
}

// Send queues a one-way message. It returns false if the message can't be encoded,
// the queue of the link is full, or the pool is closed. Without a link that can be used
// at once, it returns true and dials in the background; the message is lost if the
// dial fails or the queue is full.
func (p *Pool) Send(address string, t wire.Type, message any) bool {
	payload, err := wire.Encode(message)
	if err != nil {
		return false
	}
	r := p.remote(address)
	if l := r.current(); l != nil {
		l.liveness.sent.Store(true)
		return l.offer(wire.Frame{Type: t, Payload: payload})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.wg.Go(func() {
		l, err := r.get(p.ctx, p)
		if err == nil {
			l.offer(wire.Frame{Type: t, Payload: payload})
		}
	})
	return true
}

func (p *Pool) remote(address string) *remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.peers[address]
	if r == nil {
		r = &remote{address: address}
		p.peers[address] = r
	}
	return r
}

// current returns the live link, or nil if there is none. It does not wait for a dial
// in progress.
func (r *remote) current() *clientLink {
	if !r.mu.TryLock() {
		return nil
	}
	defer r.mu.Unlock()
	return r.liveLink()
}

func (r *remote) liveLink() *clientLink {
	if r.link == nil {
		return nil
	}
	select {
	case <-r.link.done:
		return nil
	default:
		return r.link
	}
}

// get returns the live link, and dials if there is none. After a failed dial, callers do
// not wait for another one that is in progress, and none starts within redialBackoff.
func (r *remote) get(ctx context.Context, p *Pool) (*clientLink, error) {
	if !r.failing.Load() {
		r.mu.Lock()
	} else if !r.mu.TryLock() {
		return nil, fmt.Errorf("peer %s: an earlier dial failed and another is under way", r.address)
	}
	defer r.mu.Unlock()
	if l := r.liveLink(); l != nil {
		return l, nil
	}
	if r.err != nil && time.Since(r.failedAt) < redialBackoff {
		return nil, r.err
	}
	l, err := p.dial(ctx, r.address)
	if err != nil {
		r.err = err
		r.failedAt = time.Now()
		r.failing.Store(true)
		return nil, err
	}
	r.err = nil
	r.failing.Store(false)
	r.link = l
	return l, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*clientLink, error) {
	if err := p.ctx.Err(); err != nil {
		return nil, err
	}
	var incarnation uint64
	if p.observer != nil {
		incarnation = p.observer.Dialing(address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && incarnation != 0 {
			p.observer.Refused(address, incarnation)
		}
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	l := &clientLink{link: newLink(conn, p.hello, p.traffic), streams: map[uint64]*Stream{}}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	if err := l.handshake(reader); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handshake with peer %s: %w", address, err)
	}
	l.liveness.lastCheck = time.Now()
	p.wg.Go(l.writeLoop)
	p.wg.Go(func() { l.readLoop(reader) })
	return l, nil
}

// open registers a new stream. It returns nil if the link has failed.
func (l *clientLink) open(call wire.Type, buffer int) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return nil
	}
	l.next++
	s := &Stream{id: l.next, call: call, link: l, frames: make(chan wire.Frame, buffer)}
	l.streams[s.id] = s
	return s
}

func (l *clientLink) remove(id uint64) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[id]
	delete(l.streams, id)
	return s
}

func (l *clientLink) stream(id uint64) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[id]
}

func (l *clientLink) readLoop(r *bufio.Reader) {
	defer l.failAll()
	defer l.close()
	for {
		frame, err := l.read(r)
		if err != nil {
			return
		}
		l.liveness.received.Store(true)
		if s := l.stream(frame.Stream); s != nil {
			s.deliver(frame)
		}
	}
}

func (l *clientLink) failAll() {
	l.mu.Lock()
	l.failed = true
	streams := l.streams
	l.streams = map[uint64]*Stream{}
	l.mu.Unlock()
	for _, s := range streams {
		s.end(ErrLost)
	}
}
