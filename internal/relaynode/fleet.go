package relaynode

import (
	"context"
	"errors"

	"github.com/redwingshelf/redwingshelf/internal/fleet"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/quota"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

func (n *Node) newFleet() *fleet.Controller {
	return fleet.New(fleet.Options{
		Member:   member.Options{Seeds: n.settings.Seeds},
		Self:     n.selfMember(),
		Send:     n.peerPool.Send,
		OnChange: n.membersChanged,
		// The name is unique to this process, so no other can take it.
		OnSuperseded: func() { n.logger.Error("another process uses the name of this one") },
		Logger:       n.logger,
		Scope:        n.scope.SubScope("fleet"),
	})
}

// membersChanged divides the limits of leaves among the live nodes, and updates this
// node's position in the tree that distributes the catalog.
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
	n.setAlivePeers(addresses)
	n.sharing.set(sharing)
	n.quotas.setMembers(members)
	n.updateSharing()
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

// Gather implements relay.GatherClient.
func (n *Node) Gather(ctx context.Context, address string, call *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
	answer := new(relay.GatherAnswer)
	err := n.peerPool.Ask(ctx, address, wire.TypeGather, call, answer)
	return answer, !errors.Is(err, peer.ErrNotSent), err
}

// GatherPart implements relay.GatherClient.
func (n *Node) GatherPart(ctx context.Context, address string, call *relay.GatherCall, receive func(*relay.GatherAnswer)) (bool, error) {
	// The peer sends at most one answer for each shard, or one that declines the call.
	stream, err := n.peerPool.Call(ctx, address, wire.TypeGather, call, len(call.Shards)+1)
	if err != nil {
		return !errors.Is(err, peer.ErrNotSent), err
	}
	defer stream.Close()
	for {
		frame, more, err := stream.Recv(ctx)
		if err != nil || !more {
			return true, err
		}
		answer := new(relay.GatherAnswer)
		if err := wire.Decode(frame.Payload, answer); err != nil {
			return true, err
		}
		receive(answer)
	}
}

// Dialing implements peer.Observer.
func (n *Node) Dialing(string) uint64 { return 0 }

// Refused implements peer.Observer.
func (n *Node) Refused(string, uint64) {}

func (n *Node) self() statesync.Node {
	return statesync.Node{Name: n.process, Address: n.settings.PeerListen, DataCentre: n.settings.DataCentre}
}

// FetchChanges implements statesync.Peers.
func (n *Node) FetchChanges(ctx context.Context, address string, req *statesync.Request) (*statesync.Reply, error) {
	reply := new(statesync.Reply)
	return reply, n.peerPool.Ask(ctx, address, wire.TypeCatalog, req, reply)
}

// FetchTable implements statesync.Peers.
func (n *Node) FetchTable(ctx context.Context, address string, req *statesync.TableRequest) (*statesync.TablePart, error) {
	part := new(statesync.TablePart)
	return part, n.peerPool.Ask(ctx, address, wire.TypeTable, req, part)
}

// HandleCall implements peer.Handler.
func (n *Node) HandleCall(ctx context.Context, _ wire.Hello, frame wire.Frame, reply *peer.Reply) error {
	switch frame.Type {
	case wire.TypeCatalog:
		req := new(statesync.Request)
		if err := wire.Decode(frame.Payload, req); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeCatalogResult, n.watcher.ServeChanges(ctx, req))
	case wire.TypeTable:
		req := new(statesync.TableRequest)
		if err := wire.Decode(frame.Payload, req); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeTableResult, n.watcher.ServeTable(req))
	case wire.TypeGather:
		c := new(relay.GatherCall)
		if err := wire.Decode(frame.Payload, c); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		if len(c.Shards) > 0 {
			return n.handler.ServePart(ctx, c, func(a *relay.GatherAnswer) error {
				return reply.Send(ctx, wire.TypeGatherResult, a)
			})
		}
		return reply.Send(ctx, wire.TypeGatherResult, n.handler.ServeGather(ctx, c))
	case wire.TypeCredit:
		req := new(creditRequest)
		if err := wire.Decode(frame.Payload, req); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeCreditResult, n.quotas.grant(req))
	case wire.TypeCrashes:
		crashReq := new(crashRequest)
		if err := wire.Decode(frame.Payload, crashReq); err != nil {
			return kind.Errorf(kind.BadRequest, "%w", err)
		}
		return reply.Send(ctx, wire.TypeCrashesResult, n.handleCrashes(crashReq))
	}
	return kind.Errorf(kind.BadRequest, "message type %d is not a call", frame.Type)
}

// HandleMessage implements peer.Handler.
func (n *Node) HandleMessage(_ wire.Hello, frame wire.Frame) {
	switch frame.Type {
	case wire.TypeMember:
		n.fleet.Deliver(frame.Payload)
	case wire.TypeAllotment:
		a := new(quota.Allotment)
		if wire.Decode(frame.Payload, a) == nil {
			n.quotas.add(a)
		}
	case wire.TypeCreditReturn:
		r := new(creditReturn)
		if wire.Decode(frame.Payload, r) == nil {
			n.quotas.giveBack(r)
		}
	}
}
