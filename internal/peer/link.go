// Package peer carries frames between nodes: the streams of calls, and one-way
// messages. They are multiplexed over one TCP connection for each direction of a
// pair of nodes.
package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	readBufferSize  = 4 << 10
	writeBufferSize = 64 << 10
	writeTimeout    = 5 * time.Second
	helloTimeout    = 500 * time.Millisecond
	// maxHelloBytes bounds the first frame, whose sender is not known yet.
	maxHelloBytes = 4 << 10
)

// Errors of links and streams.
var (
	// ErrNotSent reports that no byte of the message has left this node.
	ErrNotSent = errors.New("message was not sent")
	// ErrLost reports that the link failed after the message may have left.
	ErrLost = errors.New("link was lost")
	// ErrOverflow reports that a stream received more frames than its buffer holds.
	ErrOverflow = errors.New("stream received too many frames")
)

// writers holds the write buffers that links share.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// link is one end of a TCP connection. The dialling end opens streams, and the
// accepting end answers them.
type link struct {
	conn    net.Conn
	hello   wire.Hello
	traffic *Traffic
	queue   *queue
	done    chan struct{}
	once    sync.Once
	// lastUsed is the time of the last frame, in nanoseconds since 1970.
	lastUsed atomic.Int64
	// peer is the Hello of the remote end, set by handshake.
	peer wire.Hello
}

func newLink(conn net.Conn, hello wire.Hello, traffic *Traffic) *link {
	done := make(chan struct{})
	l := &link{conn: conn, hello: hello, traffic: traffic, queue: newQueue(done), done: done}
	l.touch()
	return l
}

func (l *link) touch() { l.lastUsed.Store(time.Now().UnixNano()) }

// idleFor returns the time since the last frame in either direction.
func (l *link) idleFor() time.Duration {
	return time.Since(time.Unix(0, l.lastUsed.Load()))
}

// handshake exchanges Hello frames.
func (l *link) handshake(r *bufio.Reader) error {
	if err := l.conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	payload, err := wire.Encode(&l.hello)
	if err != nil {
		return err
	}
	if err := l.write([]wire.Frame{{Type: wire.TypeHello, Payload: payload}}); err != nil {
		return err
	}
	frame, err := l.readAtMost(r, maxHelloBytes)
	if err != nil {
		return err
	}
	if frame.Type != wire.TypeHello {
		return fmt.Errorf("first frame has type %s instead of hello", frame.Type)
	}
	if err := wire.Decode(frame.Payload, &l.peer); err != nil {
		return err
	}
	return l.conn.SetDeadline(time.Time{})
}

// close closes the link. It may be called more than once.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

func (l *link) read(r *bufio.Reader) (wire.Frame, error) { return l.readAtMost(r, wire.MaxPayload) }

func (l *link) readAtMost(r *bufio.Reader, maxPayload uint32) (wire.Frame, error) {
	frame, err := wire.ReadAtMost(r, maxPayload)
	if err == nil {
		l.touch()
		l.traffic.countReceived(frame)
	}
	return frame, err
}

// writeLoop writes the queued frames in batches, and flushes after each batch.
func (l *link) writeLoop() {
	defer l.close()
	for {
		select {
		case <-l.done:
			return
		case <-l.queue.ready:
			if err := l.writeQueued(); err != nil {
				return
			}
		}
	}
}

func (l *link) writeQueued() error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return l.write(l.queue.take())
}

func (l *link) write(frames []wire.Frame) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(l.conn)
	defer w.Reset(nil)
	for _, frame := range frames {
		if err := wire.Write(w, frame); err != nil {
			return err
		}
		l.traffic.countSent(frame)
	}
	l.touch()
	return w.Flush()
}

// enqueue queues a frame, waiting for space in the queue until ctx ends.
func (l *link) enqueue(ctx context.Context, frame wire.Frame) error {
	if len(frame.Payload) > wire.MaxPayload {
		return fmt.Errorf("%w: %w", ErrNotSent, wire.ErrTooLarge)
	}
	return l.queue.push(ctx, frame)
}

// offer queues a frame if there is space, and reports whether it did.
func (l *link) offer(frame wire.Frame) bool { return l.queue.offer(frame) }
