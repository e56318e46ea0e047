package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/once"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// handoverBatch is the maximum number of tickets and outcomes in one message.
	handoverBatch    = 1000
	handoverTimeout  = 2 * time.Second
	handoverAttempts = 3
)

// newProcess returns the identity under which this process issues tickets. Its
// incarnation is random, since one taken from a clock could repeat.
func (n *Node) newProcess() once.Process {
	return once.Process{Host: n.settings.Name, Incarnation: rand.Uint64()}
}

// Forward implements entry.Forwarder.
func (h *holders) Forward(ctx context.Context, to once.Process, m *wire.Forward) (*wire.ForwardResult, error) {
	address, found := h.node.table.Address(to.Host)
	if !found {
		return nil, fmt.Errorf("host %q is not in the host list", to.Host)
	}
	result := new(wire.ForwardResult)
	return result, h.node.pool.Ask(ctx, address, wire.TypeForward, m, result)
}

func (p *peerHandler) handleForward(ctx context.Context, frame wire.Frame, reply *peer.Reply) error {
	m := new(wire.Forward)
	if err := wire.Decode(frame.Payload, m); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	r := &entry.Request{
		ID:       m.RequestID,
		Customer: m.Customer,
		Service:  m.Service,
		Class:    m.Class,
		Key:      m.Key,
		Ticket:   m.Ticket,
		Body:     m.Body,
		Received: time.Now(),
		Timeout:  time.Duration(m.BudgetMicros) * time.Microsecond,
	}
	answer, err := p.node.forwardHandler(ctx, r)
	return reply.Send(ctx, wire.TypeForwardResult, entry.NewForwardResult(answer, err))
}

func (p *peerHandler) handleHandover(ctx context.Context, frame wire.Frame, reply *peer.Reply) error {
	var h once.Handover
	if err := wire.Decode(frame.Payload, &h); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	if err := p.node.tickets.Import(h); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	return reply.Send(ctx, wire.TypeHandoverResult, &wire.HandoverNote{})
}

// handOverTickets hands the tickets of a stopping node over to one successor and
// notifies the peers.
func (n *Node) handOverTickets(ctx context.Context) {
	successor, address, found := n.successor(ctx)
	if !found {
		n.logger.Warn("no peer available to take over the tickets")
		return
	}
	for {
		h, more, err := n.tickets.Export(successor, handoverBatch)
		if err != nil || !more {
			break
		}
		if err := n.sendHandover(ctx, address, &h); err != nil {
			n.logger.Warn("ticket handover failed", zap.String("to", successor.Host), zap.Error(err))
			return
		}
	}
	note := &wire.HandoverNote{
		FromHost:        n.self.Host,
		FromIncarnation: n.self.Incarnation,
		ToHost:          successor.Host,
		ToIncarnation:   successor.Incarnation,
	}
	for _, address := range n.table.PeerAddresses() {
		n.pool.Send(address, wire.TypeHandoverNote, note)
	}
}

func (n *Node) sendHandover(ctx context.Context, address string, h *once.Handover) error {
	var err error
	for range handoverAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err = n.pool.Ask(attemptCtx, address, wire.TypeHandover, h, new(wire.HandoverNote))
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// successor returns a peer that answers and is not stopping, to take over this
// node's tickets.
func (n *Node) successor(ctx context.Context) (once.Process, string, bool) {
	for _, address := range n.table.PeerAddresses() {
		attemptCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		var process wire.Process
		err := n.pool.Ask(attemptCtx, address, wire.TypeProcess, &wire.Process{}, &process)
		cancel()
		if err == nil && !process.Stopping {
			return once.Process{Host: process.Host, Incarnation: process.Incarnation}, address, true
		}
	}
	return once.Process{}, "", false
}

func (p *peerHandler) handleProcess(ctx context.Context, reply *peer.Reply) error {
	return reply.Send(ctx, wire.TypeProcessResult, &wire.Process{
		Host:        p.node.self.Host,
		Incarnation: p.node.self.Incarnation,
		Stopping:    p.node.stopping.Load(),
	})
}

func (n *Node) receiveHandoverNote(payload []byte) {
	var note wire.HandoverNote
	if err := wire.Decode(payload, &note); err != nil {
		return
	}
	n.tickets.RecordSuccessor(
		once.Process{Host: note.FromHost, Incarnation: note.FromIncarnation},
		once.Process{Host: note.ToHost, Incarnation: note.ToIncarnation},
	)
}
