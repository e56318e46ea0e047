package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// maxQueuedFrames bounds the queue of one link.
const maxQueuedFrames = 4096

// queue holds the frames that are to be written to one link. It allocates memory only
// for queued frames, so that an idle link costs little.
type queue struct {
	// ready receives a value when frames have been queued.
	ready chan struct{}
	done  <-chan struct{}
	// mu guards the fields below.
	mu     sync.Mutex
	frames []wire.Frame
	// space is closed when frames have been taken. It is nil unless a push waits for
	// that.
	space chan struct{}
}

func newQueue(done <-chan struct{}) *queue {
	return &queue{ready: make(chan struct{}, 1), done: done}
}

// push adds a frame, waiting for space until ctx ends.
func (q *queue) push(ctx context.Context, frame wire.Frame) error {
	for {
		select {
		case <-q.done:
			return ErrNotSent
		default:
		}
		pushed, space := q.tryPush(frame, true)
		if pushed {
			return nil
		}
		select {
		case <-space:
		case <-q.done:
			return ErrNotSent
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
	}
}

// offer adds a frame if there is space, and reports whether it did.
func (q *queue) offer(frame wire.Frame) bool {
	select {
	case <-q.done:
		return false
	default:
	}
	pushed, _ := q.tryPush(frame, false)
	return pushed
}

// tryPush adds a frame if there is space. Otherwise, if wait is set, it returns a channel
// that is closed once frames have been taken.
func (q *queue) tryPush(frame wire.Frame, wait bool) (pushed bool, space <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= maxQueuedFrames {
		if wait && q.space == nil {
			q.space = make(chan struct{})
		}
		return false, q.space
	}
	q.frames = append(q.frames, frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true, nil
}

// take removes and returns all queued frames.
func (q *queue) take() []wire.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	if q.space != nil {
		close(q.space)
		q.space = nil
	}
	return frames
}

// empty reports whether no frame is queued.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames) == 0
}
