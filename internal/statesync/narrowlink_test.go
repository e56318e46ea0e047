package statesync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// linkBytesPerSecond is the rate of a link of 20 Mbit/s.
	linkBytesPerSecond = 20_000_000 / 8
	linkDelay          = time.Millisecond
	// tableApplyTime is the time within which an accepted table must be in force.
	tableApplyTime = 5 * time.Second
	// leavesPerService is the number of leaves of one service.
	leavesPerService = 3
)

// segmentBytes is what one connection sends before it is the turn of the next.
const segmentBytes = 16 << 10

// uplink is the sending side of a node's link. The connections that send share it equally.
// Bytes are sent also if nobody waits for them any longer.
type uplink struct {
	mu        sync.Mutex
	busyUntil time.Time
	sent      int
}

// send returns once the bytes have arrived, or ctx has ended.
func (u *uplink) send(ctx context.Context, bytes int) error {
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		for ; bytes > 0; bytes -= segmentBytes {
			time.Sleep(time.Until(u.sendSegment(min(bytes, segmentBytes))))
		}
		time.Sleep(linkDelay)
	}()
	select {
	case <-arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendSegment returns when the link has sent the segment.
func (u *uplink) sendSegment(bytes int) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); u.busyUntil.Before(now) {
		u.busyUntil = now
	}
	u.busyUntil = u.busyUntil.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	u.sent += bytes
	return u.busyUntil
}

// narrowFleet is a fleet whose nodes have links of linkBytesPerSecond.
type narrowFleet struct {
	store    *fakeStore
	mu       sync.Mutex
	links    map[string]*uplink
	catalogs map[string]*catalog.Catalog
	watchers map[string]*statesync.Watcher
}

// narrowPeers implements statesync.Peers for one node.
type narrowPeers struct {
	fleet *narrowFleet
	node  string
}

func (p narrowPeers) FetchChanges(ctx context.Context, address string, req *statesync.Request) (*statesync.Reply, error) {
	reply := new(statesync.Reply)
	return reply, p.call(ctx, address, req, reply, func(w *statesync.Watcher) any { return w.ServeChanges(ctx, req) })
}

func (p narrowPeers) FetchTable(ctx context.Context, address string, req *statesync.TableRequest) (*statesync.TablePart, error) {
	part := new(statesync.TablePart)
	return part, p.call(ctx, address, req, part, func(w *statesync.Watcher) any { return w.ServeTable(req) })
}

// call sends a request to a node and decodes its answer.
func (p narrowPeers) call(ctx context.Context, address string, req, answer any, serve func(*statesync.Watcher) any) error {
	p.fleet.mu.Lock()
	w, own, remote := p.fleet.watchers[address], p.fleet.links[p.node], p.fleet.links[address]
	p.fleet.mu.Unlock()
	if w == nil {
		return errUnknownPeer
	}
	request, err := wire.Encode(req)
	if err != nil {
		return err
	}
	if err := own.send(ctx, wire.HeaderSize+len(request)); err != nil {
		return err
	}
	payload, err := wire.Encode(serve(w))
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := remote.send(ctx, wire.HeaderSize+len(payload)); err != nil {
		return err
	}
	return wire.Decode(payload, answer)
}

// narrowStore is the store as seen by one node: its answers take the time that they need
// on the node's link.
type narrowStore struct {
	nodeStore
	fleet *narrowFleet
}

// storeBytesPerRoute is the size of a route in an answer of the store, in base64.
const storeBytesPerRoute = 235

func (s narrowStore) receive(changes []catalog.Change) {
	for i := range changes {
		if t := changes[i].Table; t != nil {
			time.Sleep(time.Duration(len(t.Routes)*storeBytesPerRoute) * time.Second / linkBytesPerSecond)
			changes[i].Table = copyTable(t)
		}
	}
}

// copyTable returns a copy of a table, as each node decodes its own.
func copyTable(t *catalog.Table) *catalog.Table {
	c := &catalog.Table{Version: t.Version, Services: t.Services, Limits: t.Limits}
	for _, r := range t.Routes {
		route := *r
		c.Routes = append(c.Routes, &route)
	}
	return c
}

func (s narrowStore) Snapshot(ctx context.Context, answerWithin time.Duration) (*catalog.Snapshot, error) {
	snapshot, err := s.nodeStore.Snapshot(ctx, answerWithin)
	if err == nil {
		snapshot.Answered = time.Now()
		s.receive(snapshot.Entries)
	}
	return snapshot, err
}

func (s narrowStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error) {
	u, err := s.nodeStore.Watch(ctx, after, wait)
	if err == nil {
		u.Answered = time.Now()
		s.receive(u.Changes)
	}
	return u, err
}

func startNarrowFleet(ctx context.Context, store *fakeStore, nodes []statesync.Node) *narrowFleet {
	f := &narrowFleet{
		store: store, links: map[string]*uplink{}, catalogs: map[string]*catalog.Catalog{}, watchers: map[string]*statesync.Watcher{},
	}
	for _, n := range nodes {
		c := catalog.New()
		w := statesync.NewWatcher(statesync.Options{
			Process: n.Name, Store: narrowStore{nodeStore{store, n.Name}, f}, Peers: narrowPeers{f, n.Name}, Catalog: c, OnChange: func() {},
			Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
		})
		w.SetUpstream(statesync.Upstream(n, nodes))
		f.links[n.Name], f.catalogs[n.Name], f.watchers[n.Name] = new(uplink), c, w
	}
	for _, w := range f.watchers {
		go func() { _ = w.Run(ctx) }()
	}
	return f
}

// at returns the number of nodes at which a version or a later one is in force.
func (f *narrowFleet) at(version int64) int {
	n := 0
	for _, c := range f.catalogs {
		if t := c.View().Table; t != nil && t.Version >= version {
			n++
		}
	}
	return n
}

// sent returns the bytes that all nodes have sent.
func (f *narrowFleet) sent() int {
	total := 0
	for _, l := range f.links {
		l.mu.Lock()
		total += l.sent
		l.mu.Unlock()
	}
	return total
}

// inNarrowFleet runs a test in virtual time with a fleet of 58 nodes in 3 data centres, which
// start at the same time.
func inNarrowFleet(t *testing.T, leaves int, test func(t *testing.T, f *narrowFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		for i := range leaves {
			store.putLeaf(fmt.Sprintf("servers/i-%010x", i), fmt.Sprintf("service-%d", i/leavesPerService), true)
		}
		store.putTable(1, 50)
		var nodes []statesync.Node
		for i := range 58 {
			name := fmt.Sprintf("n%d", i)
			nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: fmt.Sprintf("z%d", i%3)})
		}
		f := startNarrowFleet(ctx, store, nodes)
		time.Sleep(5 * time.Second)
		require.Equal(t, 58, f.at(1), "nodes with the first table")
		test(t, f)
		cancel()
		time.Sleep(20 * time.Second)
	})
}

// TestLargeTablesReachNodesOnNarrowLinks guards against a table that is not in force at some
// nodes after the time allowed, since its transfers time out and start over until they fill
// the links.
func TestLargeTablesReachNodesOnNarrowLinks(t *testing.T) {
	for _, routes := range []int{1450, 4250, 6000} {
		t.Run(fmt.Sprintf("%d routes", routes), func(t *testing.T) {
			inNarrowFleet(t, 150, func(t *testing.T, f *narrowFleet) {
				f.store.putTable(2, routes)
				time.Sleep(3100 * time.Millisecond)
				f.store.putTable(3, routes+1)
				time.Sleep(tableApplyTime)
				assert.Equal(t, 58, f.at(3), "nodes with the newest table")
				before := f.sent()
				time.Sleep(tableApplyTime)
				// Nothing has changed, so that no node sends more than short replies.
				assert.Less(t, f.sent()-before, 58*linkBytesPerSecond/100)
			})
		})
	}
}

// TestManyLeavesReachNodesOnNarrowLinks guards against a directory of leaves whose transfers time
// out and start over when all nodes of a large fleet start at the same time.
func TestManyLeavesReachNodesOnNarrowLinks(t *testing.T) {
	const leaves = 4700
	inNarrowFleet(t, leaves, func(t *testing.T, f *narrowFleet) {
		complete := 0
		for _, c := range f.catalogs {
			known := 0
			for _, list := range c.View().Leaves {
				known += len(list)
			}
			if known == leaves {
				complete++
			}
		}
		assert.Equal(t, 58, complete, "nodes that know all leaves")
		before := f.sent()
		time.Sleep(tableApplyTime)
		assert.Less(t, f.sent()-before, 58*linkBytesPerSecond/100)
	})
}
