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
	// connUse is the part of a leaf's connections that the nodes share out; the
	// rest is room for nodes that were replaced while their connections still count.
	connUse = 0.8
	// maxConnsPerLeaf bounds a node's connections to one leaf.
	maxConnsPerLeaf = 6
	// connsPerSlot bounds the connections of all nodes by a leaf's slots. A leaf
	// queues few requests and rejects others; nodes queue them with the newest first.
	connsPerSlot = 6
	// warmTimeout bounds the time to open a connection ahead of use.
	warmTimeout = time.Second
)

// leafPool is the connections to one start of a leaf. The lock of its backend guards the
// fields but pool.
type leafPool struct {
	entry *catalog.Leaf
	pool  *leafconn.Pool
	// unanswered are the contents that the leaf has not answered, and checks the number of
	// goroutines that find out if the leaf has ended.
	unanswered quarantine.Unanswered
	checks     int
}

// connShare returns a node's share of the connections of a leaf.
func connShare(maxConns, slots int, part float64) int {
	total := min(connUse*float64(maxConns), float64(connsPerSlot*slots))
	return min(max(int(total*part), 1), maxConnsPerLeaf)
}

// updatePools keeps connections to the usable ones of the known leaves.
func (s *backend) updatePools(known, usable []*catalog.Leaf, maxConns int, ahead bool) {
	kept := make(map[string]*leafPool, len(usable))
	homes := s.homes(usable, maxConns)
	for i, e := range usable {
		limit, home := connShare(maxConns, e.Slots, s.part), homes(i)
		p := s.pools[e.ID]
		if p == nil || !p.entry.SameProcess(e) {
			p = s.newPool(e, limit, home)
			if ahead && e.Zone == s.owner.options.DataCentre {
				go s.warm(e, p.pool)
			}
		}
		p.pool.SetLimit(limit, home)
		p.entry = e
		kept[e.ID] = p
	}
	for id, p := range s.pools {
		if kept[id] == p {
			continue
		}
		p.pool.Close()
		if !slices.ContainsFunc(known, p.entry.SameProcess) {
			go s.ended(p, "entry replaced or removed")
		}
	}
	s.pools = kept
}

// newPool returns the connections to a leaf. An idle one that the leaf closes can mean that
// the leaf has ended.
func (s *backend) newPool(e *catalog.Leaf, limit int, home bool) *leafPool {
	p := &leafPool{entry: e, pool: leafconn.NewPool(e.Address, limit, home, s.owner.memory)}
	p.pool.OnIdleEnd(func() { go s.check(p, time.Time{}) })
	return p
}

// connRooms returns the number of nodes that can keep a connection to a leaf.
func connRooms(maxConns int) int {
	if maxConns <= 0 {
		return leafpick.Unbounded
	}
	return max(int(connUse*float64(maxConns)), 1)
}

// MaxGatherers returns the number of nodes that can keep a connection to a leaf of each
// gathered service.
func MaxGatherers(view *catalog.View) int {
	room := leafpick.Unbounded
	for name := range view.Gathered() {
		rooms, usable := 0, 0
		for _, e := range view.Leaves[name] {
			if view.Usable(e) {
				rooms = min(rooms+connRooms(view.Service(name).MaxConns), leafpick.Unbounded)
				usable++
			}
		}
		if usable > 0 {
			room = min(room, rooms)
		}
	}
	return room
}

// homes reports for each leaf whether this node keeps connections to it. One that does not
// share the bounds of the service does where there is room for all nodes. It sorts the
// leaves if there is not.
func (s *backend) homes(usable []*catalog.Leaf, maxConns int) func(i int) bool {
	rooms := connRooms(maxConns)
	if rooms >= s.owner.fleet.Load().All.Size() {
		return func(int) bool { return true }
	}
	slices.SortFunc(usable, func(a, b *catalog.Leaf) int { return cmp.Compare(a.ID, b.ID) })
	return func(i int) bool { return s.sharers.Home(i, rooms) }
}

func (s *backend) warm(e *catalog.Leaf, pool *leafconn.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	if err := pool.Warm(ctx); err != nil {
		s.owner.logger.Info("leaf can't be reached", zap.String("leaf", e.ID),
			zap.String("address", e.Address), zap.Error(err))
	}
}
