package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// preconnectTimeout bounds the time to open a connection before it is needed.
const preconnectTimeout = time.Second

// leafPool holds the connections to one process of a leaf. The mu of its serviceState guards
// all fields except process and pool.
type leafPool struct {
	process catalog.Process
	entry   *catalog.Leaf
	pool    *leafconn.Pool
	// unanswered holds the contents that the leaf has not answered, and runningChecks is the
	// number of goroutines that check whether the process of the leaf has ended.
	unanswered    quarantine.Unanswered
	runningChecks int
}

// updatePools keeps a connection pool for each usable leaf and closes the pools of all others.
// It reports a crash for each closed pool whose process is not among the known leaves. If
// connectEarly is set, it opens a connection to each new leaf in the same data centre.
func (s *serviceState) updatePools(known, usable []*catalog.Leaf, maxConns int, connectEarly bool) {
	kept := make(map[string]*leafPool, len(usable))
	keepsConnections := s.keepsConnections(usable, maxConns)
	for i, e := range usable {
		limit, keep := dispatch.ConnShare(maxConns, e.Slots, s.share), keepsConnections(i)
		p := s.pools[e.ID]
		if p == nil || !p.entry.SameProcess(e) {
			p = s.newPool(e, limit, keep)
			if connectEarly && e.DataCentre == s.owner.options.DataCentre {
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

// newPool returns the connection pool of a leaf. When the leaf closes an idle connection, the
// pool's owner checks whether the leaf's process has ended.
func (s *serviceState) newPool(e *catalog.Leaf, limit int, keep bool) *leafPool {
	p := &leafPool{process: e.Process(), entry: e, pool: leafconn.NewPool(e.Address, limit, keep, s.owner.memory)}
	p.pool.OnIdleClosed(func() { go s.checkCrash(p, time.Time{}) })
	return p
}

// MaxGatherers returns the number of nodes that can keep a connection to a leaf of every
// gathered service.
func MaxGatherers(view *catalog.View) int {
	lowest := leafpick.Unbounded
	for name := range view.Shards() {
		nodes, usable := 0, 0
		for _, e := range view.Leaves[name] {
			if view.Usable(e) {
				nodes = min(nodes+dispatch.MaxConnectedNodes(view.Service(name).MaxConns), leafpick.Unbounded)
				usable++
			}
		}
		if usable > 0 {
			lowest = min(lowest, nodes)
		}
	}
	return lowest
}

// keepsConnections returns a function that reports whether this node keeps connections to the
// i-th usable leaf. If each leaf accepts connections from all nodes, every node keeps them, also
// one that does not share the limits of the service. Otherwise the usable leaves are sorted by ID.
func (s *serviceState) keepsConnections(usable []*catalog.Leaf, maxConns int) func(i int) bool {
	maxNodes := dispatch.MaxConnectedNodes(maxConns)
	if maxNodes >= s.owner.fleet.Load().All.Size() {
		return func(int) bool { return true }
	}
	slices.SortFunc(usable, func(a, b *catalog.Leaf) int { return cmp.Compare(a.ID, b.ID) })
	return func(i int) bool { return s.sharingNodes.Assigned(i, maxNodes) }
}

func (s *serviceState) preconnect(e *catalog.Leaf, pool *leafconn.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), preconnectTimeout)
	defer cancel()
	if err := pool.Preconnect(ctx); err != nil {
		s.owner.logger.Info("failed to connect to leaf", zap.String("leaf", e.ID),
			zap.String("address", e.Address), zap.Error(err))
	}
}
