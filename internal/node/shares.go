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
	drainInterval = 20 * time.Millisecond
	// handOverLinger is the time for which a node that has handed its shares over
	// goes on telling its peers so.
	handOverLinger = time.Second
)

// processes remembers which process was last heard of at each host.
type processes struct {
	// mu guards incarnations.
	mu           sync.Mutex
	incarnations map[string]uint64
}

func (p *processes) set(host string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnations == nil {
		p.incarnations = map[string]uint64{}
	}
	p.incarnations[host] = incarnation
}

func (p *processes) get(host string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations[host]
}

// processWatch turns refused connections into proof that a process has ended.
type processWatch struct {
	node *Node
}

// Dialing implements peer.Observer.
func (w *processWatch) Dialing(address string) uint64 {
	host, found := w.node.table.HostAt(address)
	if !found {
		return 0
	}
	return w.node.beats.get(host)
}

// Refused implements peer.Observer.
func (w *processWatch) Refused(address string, incarnation uint64) {
	if host, found := w.node.table.HostAt(address); found {
		w.node.permits.ReportEnded(host, incarnation)
		w.node.fleet.Refused(host, address)
	}
}

func (n *Node) newPermits() (*permit.Controller, error) {
	return permit.New(permit.Options{
		Share: share.Options{
			Host:        n.settings.Name,
			Cell:        n.settings.Cell,
			Incarnation: n.incarnation,
		},
		Send:   n.sendBeat,
		Logger: n.logger,
		Scope:  n.scope.SubScope("shares"),
	})
}

func (n *Node) sendBeat(host string, b *share.Heartbeat) {
	if address, found := n.table.Address(host); found {
		n.pool.Send(address, wire.TypeBeat, b)
	}
}

func (n *Node) receiveBeat(payload []byte) {
	b := new(share.Heartbeat)
	if err := wire.Decode(payload, b); err != nil {
		return
	}
	n.beats.set(b.From, b.Incarnation)
	n.permits.Receive(b)
}

// handOverShares passes the shares to their deputies and waits until no leaf
// call is running.
func (n *Node) handOverShares(ctx context.Context) {
	n.permits.StartHandOver()
	ticker := time.NewTicker(drainInterval)
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
