package relay

import (
	"sync/atomic"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// callBytes is about the memory that a call takes beside the bytes of its request.
const callBytes = 3 << 10

// reservation is the memory for the calls of a query and for the request that they share. It is released
// when neither the query nor a call, which may outlive it, needs the memory any more.
type reservation struct {
	memory  *memlimit.Divided
	bytes   int
	holders atomic.Int32
}

// reserve takes the memory for the calls of the query and for the messages to peers that gather parts. It
// returns an error if there is too little.
func (q *query) reserve() error {
	bytes := len(q.calls)*callBytes + (1+len(q.parts))*q.request.size()
	if !q.handler.callMemory.Reserve(bytes) {
		return kind.Errorf(kind.Overloaded, "no memory for %d calls of a request of %d bytes", len(q.calls), q.request.size())
	}
	q.reserved = &reservation{memory: q.handler.callMemory, bytes: bytes}
	q.reserved.hold()
	return nil
}

// CallBytes returns the memory that calls in progress and their requests take.
func (h *Handler) CallBytes() int64 { return h.callMemory.Used() }

func (r *reservation) hold() { r.holders.Add(1) }

func (r *reservation) release() {
	if r.holders.Add(-1) == 0 {
		r.memory.Release(r.bytes)
	}
}

// size returns about the memory that the request takes.
func (r *request) size() int {
	size := len(r.uri) + len(r.body)
	for name, values := range r.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
