package peer

import (
	"context"
	"fmt"
	"slices"
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
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
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
	q.appendLocked(frame)
	return true, nil
}

// append adds a frame even if there is no space. It is for the cancellation of calls that have been
// taken, whose number is bounded by that of the calls.
func (q *queue) append(frame wire.Frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.appendLocked(frame)
}

func (q *queue) appendLocked(frame wire.Frame) {
	q.frames = append(q.frames, frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// withdraw removes the frame of a type and stream that has not been taken, and reports whether there
// was one.
func (q *queue) withdraw(t wire.Type, stream uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.frames, func(f wire.Frame) bool { return f.Type == t && f.Stream == stream })
	if i < 0 {
		return false
	}
	q.frames = slices.Delete(q.frames, i, i+1)
	q.freeLocked()
	return true
}

// freeLocked wakes up the pushes that wait for space.
func (q *queue) freeLocked() {
	if q.space != nil {
		close(q.space)
		q.space = nil
	}
}

// take removes and returns all queued frames.
func (q *queue) take() []wire.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames = nil
	q.freeLocked()
	return frames
}

// empty reports whether no frame is queued.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames) == 0
}
