package relaynode

import (
	"context"
	"errors"

	"github.com/redwingshelf/redwingshelf/internal/fleet"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

func (n *Node) newFleet() *fleet.Controller {
	return fleet.New(fleet.Options{
		Member:   member.Options{Seeds: n.settings.Seeds},
		Self:     n.selfMember(),
		Send:     n.pool.Send,
		OnChange: n.membersChanged,
		// The name is unique to this process, so no other can take it.
		OnSuperseded: func() { n.logger.Error("another process has the name of this one") },
		Logger:       n.logger,
		Scope:        n.scope.SubScope("fleet"),
	})
}

// membersChanged shares the bounds of leaves out among the live nodes, and finds
// this node's place in the tree that spreads the catalog.
func (n *Node) membersChanged(members []member.Member) {
	sharing := []member.Member{n.selfMember()}
	var alive []statesync.Node
	for _, m := range members {
		if m.State != member.Dead {
			sharing = append(sharing, m)
		}
		if m.State == member.Alive {
			alive = append(alive, statesync.Node{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	upstream, root := statesync.Upstream(n.self(), alive)
	n.watcher.SetUpstream(upstream, root)
	addresses := make([]string, 0, len(alive))
	for _, a := range alive {
		addresses = append(addresses, a.Address)
	}
	n.noteAlive(addresses)
	n.sharing.set(sharing)
	n.shareBounds()
}

func (n *Node) selfMember() member.Member {
	return member.Member{
		Name:        n.process,
		Address:     n.settings.PeerListen,
		DataCentre:  n.settings.DataCentre,
		Incarnation: 1,
		State:       member.Alive,
		Record:      member.Record{Capacity: n.settings.capacity()},
	}
}

// Gather implements relay.Gatherer.
func (n *Node) Gather(ctx context.Context, address string, call *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
	answer := new(relay.GatherAnswer)
	err := n.pool.Ask(ctx, address, wire.TypeGather, call, answer)
	return answer, !errors.Is(err, peer.ErrNotSent), err
}

// Dialing implements peer.Observer.
func (n *Node) Dialing(string) uint64 { return 0 }

// Refused implements peer.Observer.
func (n *Node) Refused(string, uint64) {}

func (n *Node) self() statesync.Node {
	return statesync.Node{Name: n.process, Address: n.settings.PeerListen, DataCentre: n.settings.DataCentre}
}

// Ask implements statesync.Peers.
func (n *Node) Ask(ctx context.Context, address string, q *statesync.Question) (*statesync.Reply, error) {
	r := new(statesync.Reply)
	return r, n.pool.Ask(ctx, address, wire.TypeCatalog, q, r)
}

// HandleCall implements peer.Handler.
func (n *Node) HandleCall(ctx context.Context, _ wire.Hello, frame wire.Frame, reply *peer.Reply) error {
	switch frame.Type {
	case wire.TypeCatalog:
		q := new(statesync.Question)
		if err := wire.Decode(frame.Payload, q); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeCatalogResult, n.watcher.Answer(ctx, q))
	case wire.TypeGather:
		c := new(relay.GatherCall)
		if err := wire.Decode(frame.Payload, c); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeGatherResult, n.handler.ServeGather(ctx, c))
	case wire.TypeCrashes:
		notes := new(crashNotes)
		if err := wire.Decode(frame.Payload, notes); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeCrashesResult, n.takeCrashes(notes))
	}
	return kind.Errorf(kind.BadRequest, "message type %d is not a call", frame.Type)
}

// HandleMessage implements peer.Handler.
func (n *Node) HandleMessage(_ wire.Hello, frame wire.Frame) {
	if frame.Type == wire.TypeMember {
		n.fleet.Deliver(frame.Payload)
	}
}
