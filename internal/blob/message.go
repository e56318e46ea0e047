package blob

import (
	"fmt"

	"github.com/redwingshelf/redwingshelf/internal/confsync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// messageKind is the type of the message in an envelope.
type messageKind uint8

const (
	kindQuery messageKind = iota + 1
	kindAnnounce
	kindFetch
	kindDelta
	kindChunk
)

// envelope carries one message between two controllers.
type envelope struct {
	// From is the peer address at which the sender receives answers.
	From string
	Blob string
	Kind messageKind
	Body []byte
}

func encodeEnvelope(from string, m confsync.Message) (*envelope, error) {
	e := &envelope{From: from, Blob: m.BlobName()}
	switch m.(type) {
	case *confsync.Query:
		e.Kind = kindQuery
	case *confsync.Announce:
		e.Kind = kindAnnounce
	case *confsync.Fetch:
		e.Kind = kindFetch
	case *confsync.Delta:
		e.Kind = kindDelta
	case *confsync.Chunk:
		e.Kind = kindChunk
	default:
		return nil, fmt.Errorf("unknown message type %T", m)
	}
	body, err := wire.Encode(m)
	e.Body = body
	return e, err
}

func (e *envelope) decode() (confsync.Message, error) {
	var m confsync.Message
	switch e.Kind {
	case kindQuery:
		m = new(confsync.Query)
	case kindAnnounce:
		m = new(confsync.Announce)
	case kindFetch:
		m = new(confsync.Fetch)
	case kindDelta:
		m = new(confsync.Delta)
	case kindChunk:
		m = new(confsync.Chunk)
	default:
		return nil, fmt.Errorf("unknown message kind %d", e.Kind)
	}
	return m, wire.Decode(e.Body, m)
}
