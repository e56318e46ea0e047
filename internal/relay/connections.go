package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

const (
	// connUseRatio is the part of a leaf's connections that the nodes share out; the
	// rest is room for nodes that were replaced while their connections still count.
	connUseRatio = 0.8
	// maxConnsPerLeaf bounds a node's connections to one leaf.
	maxConnsPerLeaf = 6
	// connsPerSlot bounds the connections of all nodes by a leaf's slots. A leaf
	// queues few requests and rejects others; nodes queue them with the newest first.
	connsPerSlot = 6
	// preconnectTimeout bounds the time to open a connection ahead of use.
	preconnectTimeout = time.Second
)

// leafPool is the connections to one start of a leaf. The lock of its backend guards the
// fields but pool.
type leafPool struct {
	entry *catalog.Leaf
	pool  *leafconn.Pool
	// unanswered are the contents that the leaf has not answered, and checks the number of
	// goroutines that find out if the leaf has ended.
	unanswered    quarantine.Unanswered
	runningChecks int
}

// connShare returns a node's share of the connections of a leaf.
func connShare(maxConns, slots int, share float64) int {
	total := min(connUseRatio*float64(maxConns), float64(connsPerSlot*slots))
	return min(max(int(total*share), 1), maxConnsPerLeaf)
}

// updatePools keeps connections to the usable ones of the known leaves.
func (s *backend) updatePools(known, usable []*catalog.Leaf, maxConns int, preconnect bool) {
	kept := make(map[string]*leafPool, len(usable))
	keeps := s.keepsConnections(usable, maxConns)
	for i, e := range usable {
		limit, keep := connShare(maxConns, e.Slots, s.share), keeps(i)
		p := s.pools[e.ID]
		if p == nil || !p.entry.SameProcess(e) {
			p = s.newPool(e, limit, keep)
			if preconnect && e.Zone == s.owner.options.Zone {
				go s.preconnect(e, p.pool)
			}
		}
		p.pool.SetLimit(limit, keep)
		p.entry = e
		kept[e.ID] = p
	}
	for id, p := range s.pools {
		if kept[id] == p {
			continue
		}
		p.pool.Close()
		if !slices.ContainsFunc(known, p.entry.SameProcess) {
			go s.reportCrash(p, "entry replaced or removed")
		}
	}
	s.pools = kept
}

// newPool returns the connections to a leaf. An idle one that the leaf closes can mean that
// the leaf has ended.
func (s *backend) newPool(e *catalog.Leaf, limit int, keep bool) *leafPool {
	p := &leafPool{entry: e, pool: leafconn.NewPool(e.Address, limit, keep, s.owner.memory)}
	p.pool.OnIdleEnd(func() { go s.checkCrash(p, time.Time{}) })
	return p
}

// maxConnectedNodes returns the number of nodes that can keep a connection to a leaf.
func maxConnectedNodes(maxConns int) int {
	if maxConns <= 0 {
		return leafpick.Unbounded
	}
	return max(int(connUseRatio*float64(maxConns)), 1)
}

// GatherRoom returns the number of nodes that can keep a connection to a leaf of each
// gathered service.
func GatherRoom(view *catalog.View) int {
	lowest := leafpick.Unbounded
	for name := range view.Gathered() {
		nodes, usable := 0, 0
		for _, e := range view.Leaves[name] {
			if view.Usable(e) {
				nodes = min(nodes+maxConnectedNodes(view.Service(name).MaxConns), leafpick.Unbounded)
				usable++
			}
		}
		if usable > 0 {
			lowest = min(lowest, nodes)
		}
	}
	return lowest
}

// keepsConnections reports for each leaf whether this node keeps connections to it. One that does not
// share the bounds of the service does where there is room for all nodes. It sorts the
// leaves if there is not.
func (s *backend) keepsConnections(usable []*catalog.Leaf, maxConns int) func(i int) bool {
	maxNodes := maxConnectedNodes(maxConns)
	if maxNodes >= s.owner.fleet.Load().All.Size() {
		return func(int) bool { return true }
	}
	slices.SortFunc(usable, func(a, b *catalog.Leaf) int { return cmp.Compare(a.ID, b.ID) })
	return func(i int) bool { return s.sharingNodes.Home(i, maxNodes) }
}

func (s *backend) preconnect(e *catalog.Leaf, pool *leafconn.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), preconnectTimeout)
	defer cancel()
	if err := pool.Warm(ctx); err != nil {
		s.owner.logger.Info("leaf can't be reached", zap.String("leaf", e.ID),
			zap.String("address", e.Address), zap.Error(err))
	}
}
