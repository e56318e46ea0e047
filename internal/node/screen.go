package node

import (
	"context"
	"fmt"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/screen"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

func (n *Node) newScreen() *screen.Controller {
	return screen.New(screen.Options{
		Host:     n.settings.Name,
		Peers:    &screenPeers{node: n},
		Isolated: func() bool { return !n.permits.Attached() },
		Logger:   n.logger,
		Scope:    n.scope.SubScope("screen"),
	})
}

// screenPeers implements screen.Peers.
type screenPeers struct {
	node *Node
}

// Hosts implements screen.Peers.
func (p *screenPeers) Hosts() []string { return p.node.table.PeerHosts() }

func (p *screenPeers) send(host string, t wire.Type, m any) {
	if address, found := p.node.table.Address(host); found {
		p.node.pool.Send(address, t, m)
	}
}

// SendBatch implements screen.Peers.
func (p *screenPeers) SendBatch(host string, b *screen.Batch) { p.send(host, wire.TypeQuarantine, b) }

// SendAck implements screen.Peers.
func (p *screenPeers) SendAck(host string, a *screen.Ack) { p.send(host, wire.TypeQuarantineAck, a) }

// SendEnd implements screen.Peers.
func (p *screenPeers) SendEnd(host string, e *screen.End) { p.send(host, wire.TypeQuarantineEnd, e) }

// RequestPermit implements screen.Peers.
func (p *screenPeers) RequestPermit(ctx context.Context, host string, known *quarantine.Record) (*screen.Answer, error) {
	answer := new(screen.Answer)
	return answer, p.ask(ctx, host, wire.TypePermit, known, answer)
}

// Records implements screen.Peers.
func (p *screenPeers) Records(ctx context.Context, host string) ([]quarantine.Record, error) {
	var list screen.RecordList
	err := p.ask(ctx, host, wire.TypeRecords, &screen.RecordList{}, &list)
	return list.Records, err
}

func (p *screenPeers) ask(ctx context.Context, host string, t wire.Type, m, answer any) error {
	address, found := p.node.table.Address(host)
	if !found {
		return fmt.Errorf("host %q is not in the host list", host)
	}
	return p.node.pool.Ask(ctx, address, t, m, answer)
}

// handleScreenCall answers the calls of peers' screens.
func (p *peerHandler) handleScreenCall(ctx context.Context, frame wire.Frame, reply *peer.Reply) error {
	if frame.Type == wire.TypeRecords {
		return reply.Send(ctx, wire.TypeRecordsResult, &screen.RecordList{Records: p.node.screen.Records()})
	}
	var known quarantine.Record
	if err := wire.Decode(frame.Payload, &known); err != nil {
		return kind.Errorf(kind.BadRequest, "%w", err)
	}
	return reply.Send(ctx, wire.TypePermitResult, p.node.screen.Decide(&known))
}

// handleScreenMessage takes the one-way messages of peers' screens.
func (p *peerHandler) handleScreenMessage(frame wire.Frame) {
	switch frame.Type {
	case wire.TypeQuarantine:
		var b screen.Batch
		if wire.Decode(frame.Payload, &b) == nil {
			p.node.screen.HandleBatch(&b)
		}
	case wire.TypeQuarantineAck:
		var a screen.Ack
		if wire.Decode(frame.Payload, &a) == nil {
			p.node.screen.HandleAck(&a)
		}
	case wire.TypeQuarantineEnd:
		var e screen.End
		if wire.Decode(frame.Payload, &e) == nil {
			p.node.screen.HandleEnd(&e)
		}
	}
}
