package node

import (
	"context"

	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/holder"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// holders calls the holder role of this node directly and that of its peers over
// the network.
type holders struct {
	node *Node
}

// Scatter implements entry.Holders.
func (h *holders) Scatter(ctx context.Context, host entry.Host, m *wire.Scatter, to entry.Receiver) error {
	if host.Address == "" {
		cancels := new(holder.Cancels)
		to.Started(cancels.Cancel)
		h.node.holder.Scatter(ctx, m, cancels, to.Result)
		return nil
	}
	stream, err := h.node.pool.Call(ctx, host.Address, wire.TypeScatter, m, len(m.Leaves))
	if err != nil {
		return err
	}
	defer stream.Close()
	to.Started(func(leaf string) { stream.Control(wire.TypeCancelLeaf, &wire.CancelLeaf{Leaf: leaf}) })
	for {
		frame, ok, err := stream.Recv(ctx)
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		result := new(wire.LeafResult)
		if err := wire.Decode(frame.Payload, result); err != nil {
			return err
		}
		to.Result(result)
	}
}

// Held implements entry.Holders.
func (h *holders) Held(ctx context.Context, host entry.Host, m *wire.Held) (*wire.HeldResult, error) {
	if host.Address == "" {
		return h.node.holder.HandleHeld(ctx, m), nil
	}
	stream, err := h.node.pool.Call(ctx, host.Address, wire.TypeHeld, m, 1)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	frame, ok, err := stream.Recv(ctx)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, peer.ErrLost
	}
	result := new(wire.HeldResult)
	return result, wire.Decode(frame.Payload, result)
}

// peerHandler serves the calls and messages of peers.
type peerHandler struct {
	node *Node
}

// HandleCall implements peer.Handler.
func (p *peerHandler) HandleCall(ctx context.Context, _ wire.Hello, frame wire.Frame, reply *peer.Reply) error {
	switch frame.Type {
	case wire.TypeScatter:
		return p.handleScatter(ctx, frame, reply)
	case wire.TypeHeld:
		return p.handleHeld(ctx, frame, reply)
	case wire.TypeForward:
		return p.handleForward(ctx, frame, reply)
	case wire.TypePermit, wire.TypeRecords:
		return p.handleScreenCall(ctx, frame, reply)
	case wire.TypeProcess:
		return p.handleProcess(ctx, reply)
	case wire.TypeHandover:
		return p.handleHandover(ctx, frame, reply)
	default:
		return kind.Errorf(kind.BadRequest, "message type %d is not a call", frame.Type)
	}
}

// HandleMessage implements peer.Handler.
func (p *peerHandler) HandleMessage(_ wire.Hello, frame wire.Frame) {
	switch frame.Type {
	case wire.TypeBlob:
		p.node.config.Deliver(frame.Payload)
		p.node.hosts.Deliver(frame.Payload)
	case wire.TypeQuarantine, wire.TypeQuarantineAck, wire.TypeQuarantineEnd:
		p.handleScreenMessage(frame)
	case wire.TypeMember:
		p.node.fleet.Deliver(frame.Payload)
	case wire.TypeHeartbeat:
		p.node.receiveHeartbeat(frame.Payload)
	case wire.TypeHandoverNote:
		p.node.receiveHandoverNote(frame.Payload)
	}
}

func (p *peerHandler) handleScatter(ctx context.Context, frame wire.Frame, reply *peer.Reply) error {
	m := new(wire.Scatter)
	if err := wire.Decode(frame.Payload, m); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	cancels := new(holder.Cancels)
	reply.OnControl(func(control wire.Frame) {
		var c wire.CancelLeaf
		if wire.Decode(control.Payload, &c) == nil {
			cancels.Cancel(c.Leaf)
		}
	})
	p.node.holder.Scatter(ctx, m, cancels, func(result *wire.LeafResult) {
		_ = reply.Send(ctx, wire.TypeLeafResult, result)
	})
	return nil
}

func (p *peerHandler) handleHeld(ctx context.Context, frame wire.Frame, reply *peer.Reply) error {
	m := new(wire.Held)
	if err := wire.Decode(frame.Payload, m); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	return reply.Send(ctx, wire.TypeHeldResult, p.node.holder.HandleHeld(ctx, m))
}
