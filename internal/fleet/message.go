package fleet

import (
	"fmt"

	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// messageKind is the type of the message in an envelope.
type messageKind uint8

const (
	kindPing messageKind = iota + 1
	kindPingRequest
	kindAck
	kindGossip
	kindSyncRequest
	kindSyncState
)

// envelope carries one message between two Controllers.
type envelope struct {
	Kind messageKind
	Body []byte
}

func encodeEnvelope(m member.Message) (*envelope, error) {
	e := &envelope{}
	switch m.(type) {
	case *member.Ping:
		e.Kind = kindPing
	case *member.PingRequest:
		e.Kind = kindPingRequest
	case *member.Ack:
		e.Kind = kindAck
	case *member.Gossip:
		e.Kind = kindGossip
	case *member.SyncRequest:
		e.Kind = kindSyncRequest
	case *member.SyncState:
		e.Kind = kindSyncState
	default:
		return nil, fmt.Errorf("unknown message type %T", m)
	}
	body, err := wire.Encode(m)
	e.Body = body
	return e, err
}

func (e *envelope) decode() (member.Message, error) {
	var m member.Message
	switch e.Kind {
	case kindPing:
		m = new(member.Ping)
	case kindPingRequest:
		m = new(member.PingRequest)
	case kindAck:
		m = new(member.Ack)
	case kindGossip:
		m = new(member.Gossip)
	case kindSyncRequest:
		m = new(member.SyncRequest)
	case kindSyncState:
		m = new(member.SyncState)
	default:
		return nil, fmt.Errorf("unknown message kind %d", e.Kind)
	}
	return m, wire.Decode(e.Body, m)
}
