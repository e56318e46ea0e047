package node

import (
	"errors"
	"slices"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/confsync"
	"github.com/redwingshelf/redwingshelf/internal/fleet"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/member"
)

// errSuperseded stops a node when a newer process with the same host name is running.
var errSuperseded = errors.New("a newer process with this host's name is running")

func (n *Node) newFleet() *fleet.Controller {
	return fleet.New(fleet.Options{
		Member: member.Options{Seeds: n.seeds()},
		Self: member.Member{
			Name:        n.settings.Name,
			Address:     n.settings.PeerAdvertise,
			DataCentre:  n.settings.DataCentre,
			Cell:        n.settings.Cell,
			Incarnation: n.incarnation,
			State:       member.Alive,
		},
		Send:         n.pool.Send,
		OnChange:     n.membersChanged,
		OnSuperseded: func() { n.fail(errSuperseded) },
		Logger:       n.logger,
		Scope:        n.scope.SubScope("fleet"),
	})
}

// fail stops the node with an error.
func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
		n.logger.Error("another error after the node failed", zap.Error(err))
	}
}

// membersChanged passes the members of the fleet to routing and to the controllers
// that distribute the configuration and the host list.
func (n *Node) membersChanged(members []member.Member) {
	down := map[string]bool{}
	dead := map[string]bool{}
	var peers []confsync.Peer
	for _, m := range members {
		if m.State != member.Alive {
			down[m.Name] = true
		}
		if m.State == member.Dead {
			dead[m.Name] = true
		}
		if m.State == member.Dead {
			continue
		}
		peers = append(peers, confsync.Peer{
			Name:        m.Name,
			Address:     m.Address,
			DataCentre:  m.DataCentre,
			Incarnation: m.Incarnation,
			Ready:       m.Record.Ready,
			Revision:    m.Record.ConfigRevision,
		})
	}
	n.table.SetDown(down, dead)
	n.config.SetMembers(peers)
	n.hosts.SetMembers(withoutRevisions(peers))
}

// withoutRevisions returns a copy of peers without their revisions, which are those
// of the document.
func withoutRevisions(peers []confsync.Peer) []confsync.Peer {
	plain := slices.Clone(peers)
	for i := range plain {
		plain[i].Revision = 0
	}
	return plain
}

// announce publishes the revisions in force at this node, and whether it is ready,
// to the fleet.
func (n *Node) announce() {
	n.fleet.SetRecord(member.Record{
		ConfigRevision: n.config.State().Identity.Revision,
		HostsRevision:  n.hosts.State().Identity.Revision,
		Ready:          n.ready.Load() && !n.stopping.Load(),
	})
}

func memberHosts(list *hostlist.List) []member.Host {
	hosts := make([]member.Host, len(list.Hosts))
	for i, h := range list.Hosts {
		hosts[i] = member.Host{Name: h.Name, Address: h.Address}
	}
	return hosts
}
