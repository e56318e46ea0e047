package node

import (
	"context"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/permit"
	"github.com/redwingshelf/redwingshelf/internal/share"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// handOverLinger is the time for which a node that has handed its shares over
	// keeps announcing this to its peers.
	handOverLinger = time.Second
)

// incarnationTable holds the incarnation in the last heartbeat from each host.
type incarnationTable struct {
	// mu guards byHost.
	mu     sync.Mutex
	byHost map[string]uint64
}

func (t *incarnationTable) set(host string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost == nil {
		t.byHost = map[string]uint64{}
	}
	t.byHost[host] = incarnation
}

func (t *incarnationTable) get(host string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byHost[host]
}

// dialObserver reports refused connections as proof that a process has ended.
type dialObserver struct {
	node *Node
}

// Dialing implements peer.Observer.
func (o *dialObserver) Dialing(address string) uint64 {
	host, found := o.node.table.HostAt(address)
	if !found {
		return 0
	}
	return o.node.lastIncarnations.get(host)
}

// Refused implements peer.Observer.
func (o *dialObserver) Refused(address string, incarnation uint64) {
	if host, found := o.node.table.HostAt(address); found {
		o.node.permits.ReportEnded(host, incarnation)
		o.node.fleet.Refused(host, address)
	}
}

func (n *Node) newPermits() (*permit.Controller, error) {
	return permit.New(permit.Options{
		Share: share.Options{
			Host:        n.settings.Name,
			Cell:        n.settings.Cell,
			Incarnation: n.incarnation,
		},
		Send:   n.sendHeartbeat,
		Logger: n.logger,
		Scope:  n.scope.SubScope("shares"),
	})
}

func (n *Node) sendHeartbeat(host string, b *share.Heartbeat) {
	if address, found := n.table.Address(host); found {
		n.pool.Send(address, wire.TypeHeartbeat, b)
	}
}

func (n *Node) receiveHeartbeat(payload []byte) {
	b := new(share.Heartbeat)
	if err := wire.Decode(payload, b); err != nil {
		return
	}
	n.lastIncarnations.set(b.From, b.Incarnation)
	n.permits.Receive(b)
}

// handOverShares hands the shares over to their deputies, waits until no leaf call
// is in flight, and lingers so that the peers learn of it.
func (n *Node) handOverShares(ctx context.Context) {
	n.permits.StartHandOver()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for n.holder.Busy() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(handOverLinger):
	}
}
