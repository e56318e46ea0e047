package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// maxQueuedFrames bounds the frames that wait to be written to one link.
const maxQueuedFrames = 4096

// queue holds the frames that wait to be written to one link. It grows with what
// it holds, so that an idle link costs little.
type queue struct {
	// ready receives when frames wait.
	ready chan struct{}
	done  <-chan struct{}
	// mu guards the fields below.
	mu     sync.Mutex
	frames []wire.Frame
	// room is closed when frames have been taken, if someone waits for room.
	room chan struct{}
}

func newQueue(done <-chan struct{}) *queue {
	return &queue{ready: make(chan struct{}, 1), done: done}
}

// push adds a frame, waiting for room until ctx ends.
func (q *queue) push(ctx context.Context, frame wire.Frame) error {
	for {
		select {
		case <-q.done:
			return ErrNotSent
		default:
		}
		pushed, room := q.tryPush(frame, true)
		if pushed {
			return nil
		}
		select {
		case <-room:
		case <-q.done:
			return ErrNotSent
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
	}
}

// offer adds a frame if there is room.
func (q *queue) offer(frame wire.Frame) bool {
	select {
	case <-q.done:
		return false
	default:
	}
	pushed, _ := q.tryPush(frame, false)
	return pushed
}

// tryPush adds a frame, or returns a channel that is closed when there is room.
func (q *queue) tryPush(frame wire.Frame, wait bool) (pushed bool, room <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= maxQueuedFrames {
		if wait && q.room == nil {
			q.room = make(chan struct{})
		}
		return false, q.room
	}
	q.frames = append(q.frames, frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true, nil
}

// take returns all waiting frames.
func (q *queue) take() []wire.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	if q.room != nil {
		close(q.room)
		q.room = nil
	}
	return frames
}

// empty reports whether no frame waits.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames) == 0
}
