// Package peer carries frames between nodes: streams of calls and one-way
// messages, multiplexed over one TCP connection for each direction of a pair.
package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	sendQueueFrames = 4096
	writeBufferSize = 64 << 10
	writeTimeout    = 5 * time.Second
	helloTimeout    = 2 * time.Second
)

// Errors of links and streams.
var (
	// ErrNotSent reports that no byte of the message has left this node.
	ErrNotSent = errors.New("message was not sent")
	// ErrLost reports that the link failed after the message may have left.
	ErrLost = errors.New("link was lost")
	// ErrOverflow reports that a stream received more frames than it asked for.
	ErrOverflow = errors.New("stream received too many frames")
)

// link is one TCP connection with its reader and writer. It is used by both
// ends: the dialling end opens streams and the accepting end answers them.
type link struct {
	conn  net.Conn
	hello wire.Hello
	out   chan wire.Frame
	done  chan struct{}
	once  sync.Once
	// peer is the remote end's Hello, set before the link is used.
	peer wire.Hello
}

func newLink(conn net.Conn, hello wire.Hello) *link {
	return &link{
		conn:  conn,
		hello: hello,
		out:   make(chan wire.Frame, sendQueueFrames),
		done:  make(chan struct{}),
	}
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
	w := bufio.NewWriter(l.conn)
	if err := wire.Write(w, wire.Frame{Type: wire.TypeHello, Payload: payload}); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	frame, err := wire.Read(r)
	if err != nil {
		return err
	}
	if frame.Type != wire.TypeHello {
		return fmt.Errorf("first frame has type %d instead of hello", frame.Type)
	}
	if err := wire.Decode(frame.Payload, &l.peer); err != nil {
		return err
	}
	return l.conn.SetDeadline(time.Time{})
}

// close ends the link. It may be called more than once.
func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// writeLoop writes queued frames, flushing whenever the queue is empty.
func (l *link) writeLoop() {
	defer l.close()
	w := bufio.NewWriterSize(l.conn, writeBufferSize)
	for {
		select {
		case <-l.done:
			return
		case frame := <-l.out:
			if err := l.writeBatch(w, frame); err != nil {
				return
			}
		}
	}
}

func (l *link) writeBatch(w *bufio.Writer, frame wire.Frame) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if err := wire.Write(w, frame); err != nil {
			return err
		}
		select {
		case frame = <-l.out:
		default:
			return w.Flush()
		}
	}
}

// enqueue queues a frame, waiting for room until ctx ends.
func (l *link) enqueue(ctx context.Context, frame wire.Frame) error {
	if len(frame.Payload) > wire.MaxPayload {
		return fmt.Errorf("%w: %w", ErrNotSent, wire.ErrTooLarge)
	}
	select {
	case <-l.done:
		return ErrNotSent
	default:
	}
	select {
	case l.out <- frame:
		return nil
	case <-l.done:
		return ErrNotSent
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
}

// offer queues a frame if there is room.
func (l *link) offer(frame wire.Frame) bool {
	select {
	case <-l.done:
		return false
	case l.out <- frame:
		return true
	default:
		return false
	}
}
