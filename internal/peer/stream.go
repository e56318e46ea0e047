package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Stream is the calling end of one call.
type Stream struct {
	id uint64
	// call is the type of the frame that begins the call.
	call   wire.Type
	link   *clientLink
	frames chan wire.Frame
	// mu guards err and ended.
	mu    sync.Mutex
	err   error
	ended bool
}

// Recv returns the next frame. ok is false once the stream has ended normally.
func (s *Stream) Recv(ctx context.Context) (frame wire.Frame, ok bool, err error) {
	select {
	case frame, open := <-s.frames:
		if open {
			return frame, true, nil
		}
		return wire.Frame{}, false, s.error()
	case <-ctx.Done():
		return wire.Frame{}, false, ctx.Err()
	}
}

// Close abandons the stream and, if it is still open, cancels the call at the other end. A call that
// has not been written yet is not sent.
func (s *Stream) Close() {
	if s.link.remove(s.id) == nil {
		return
	}
	if !s.link.queue.withdraw(s.call, s.id) {
		s.link.queue.append(wire.Frame{Type: wire.TypeCancel, Stream: s.id})
	}
	s.end(context.Canceled)
}

// Control sends a message to the running call at the other end. The message may be lost.
func (s *Stream) Control(t wire.Type, message any) {
	payload, err := wire.Encode(message)
	if err == nil {
		s.link.offer(wire.Frame{Type: t, Stream: s.id, Payload: payload})
	}
}

func (s *Stream) error() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// deliver passes a frame to the stream. Only the link's reader calls it.
func (s *Stream) deliver(frame wire.Frame) {
	switch frame.Type {
	case wire.TypeEnd:
		s.link.remove(s.id)
		s.end(nil)
	case wire.TypeError:
		s.link.remove(s.id)
		s.end(decodeError(frame.Payload))
	default:
		s.push(frame)
	}
}

func (s *Stream) push(frame wire.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	select {
	case s.frames <- frame:
	default:
		s.endLocked(ErrOverflow)
	}
}

func (s *Stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(err)
}

func (s *Stream) endLocked(err error) {
	if s.ended {
		return
	}
	s.ended = true
	s.err = err
	close(s.frames)
}

func decodeError(payload []byte) error {
	var e wire.StreamError
	if err := wire.Decode(payload, &e); err != nil {
		return err
	}
	k, ok := kind.Parse(e.Kind)
	if !ok {
		return fmt.Errorf("peer answered with unknown kind %q: %s", e.Kind, e.Message)
	}
	return kind.Errorf(k, "%s", e.Message)
}
