package peer

import (
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Traffic counts the frames and bytes of all links by message type.
type Traffic struct {
	sent     [wire.NumTypes]counters
	received [wire.NumTypes]counters
	// acceptFailures counts the failures to accept a connection.
	acceptFailures tally.Counter
}

type counters struct {
	messages tally.Counter
	bytes    tally.Counter
}

// NewTraffic returns a Traffic with its counters in a scope.
func NewTraffic(scope tally.Scope) *Traffic {
	t := &Traffic{acceptFailures: scope.Counter("accept_failures")}
	for i := range wire.NumTypes {
		tagged := scope.Tagged(map[string]string{"type": i.String()})
		t.sent[i] = counters{tagged.Counter("messages_sent"), tagged.Counter("bytes_sent")}
		t.received[i] = counters{tagged.Counter("messages_received"), tagged.Counter("bytes_received")}
	}
	return t
}

func (t *Traffic) countSent(f wire.Frame) { t.sent[countedType(f.Type)].count(f) }

func (t *Traffic) countReceived(f wire.Frame) { t.received[countedType(f.Type)].count(f) }

// countedType maps unknown types, which a newer peer may send, to type zero.
func countedType(t wire.Type) wire.Type {
	if t >= wire.NumTypes {
		return 0
	}
	return t
}

func (c counters) count(f wire.Frame) {
	c.messages.Inc(1)
	c.bytes.Inc(int64(wire.HeaderSize + len(f.Payload)))
}
