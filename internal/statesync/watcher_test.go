package statesync_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
)

// history is a store in memory with faults.
type history struct {
	mu       sync.Mutex
	entries  map[string]catalog.Change
	log      []catalog.Change
	revision uint64
	oldest   uint64
	news     chan struct{}
	calls    int
	// fault decides on each call of a node.
	fault func(node string) fault
}

type fault uint8

const (
	none fault = iota
	refuse
	silent
)

var errRefused = errors.New("status 503")

func newHistory() *history {
	return &history{entries: map[string]catalog.Change{}, news: make(chan struct{}), fault: func(string) fault { return none }}
}

func (h *history) setFault(f func(node string) fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
}

func (h *history) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

// put writes a leaf, or removes it.
func (h *history) put(id string, present bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision++
	c := catalog.Change{Key: id, Revision: h.revision}
	if present {
		c.Leaf = &catalog.Leaf{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "z", Slots: 1, Sequence: int64(h.revision)}
		h.entries[id] = c
	} else {
		delete(h.entries, id)
	}
	h.log = append(h.log, c)
	close(h.news)
	h.news = make(chan struct{})
}

// forget drops the history.
func (h *history) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log, h.oldest = nil, h.revision
}

// view is the store as one node reaches it.
type view struct {
	history *history
	node    string
}

func (v view) enter(ctx context.Context) error {
	v.history.mu.Lock()
	v.history.calls++
	f := v.history.fault(v.node)
	v.history.mu.Unlock()
	switch f {
	case refuse:
		return errRefused
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (v view) Snapshot(ctx context.Context) (*catalog.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	v.history.mu.Lock()
	defer v.history.mu.Unlock()
	s := &catalog.Snapshot{AsOf: v.history.revision}
	for _, e := range v.history.entries {
		s.Entries = append(s.Entries, e)
	}
	return s, nil
}

func (v view) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+600*time.Millisecond)
	defer cancel()
	if err := v.enter(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		u, news, err := v.history.since(after)
		if err != nil || len(u.Changes) > 0 {
			return u, err
		}
		select {
		case <-news:
		case <-timer.C:
			return u, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (h *history) since(after uint64) (*catalog.Update, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after < h.oldest {
		return nil, nil, statesync.ErrHistoryLost
	}
	u := &catalog.Update{From: after, AsOf: h.revision}
	for _, c := range h.log {
		if c.Revision > after {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, h.news, nil
}

// fleet is a number of nodes that follow one store.
type fleet struct {
	store    *history
	mu       sync.Mutex
	catalogs map[string]*catalog.Catalog
	watchers map[string]*statesync.Watcher
	// cut says that two nodes can't reach each other.
	cut func(from, to string) bool
}

var errCut = errors.New("no route")

// asker reaches peers for one node.
type asker struct {
	fleet *fleet
	node  string
}

func (a asker) Ask(ctx context.Context, address string, q *statesync.Question) (*statesync.Reply, error) {
	a.fleet.mu.Lock()
	w := a.fleet.watchers[address]
	cut := a.fleet.cut
	a.fleet.mu.Unlock()
	if w == nil {
		return nil, errCut
	}
	if cut(a.node, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w.Answer(ctx, q), nil
}

// nodes returns all nodes.
func (f *fleet) nodes() []statesync.Node {
	var nodes []statesync.Node
	for name := range f.watchers {
		nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: "z" + name[1:2]})
	}
	return nodes
}

func startFleet(ctx context.Context, store *history, zones int, perZone int) *fleet {
	f := &fleet{
		store: store, catalogs: map[string]*catalog.Catalog{}, watchers: map[string]*statesync.Watcher{},
		cut: func(string, string) bool { return false },
	}
	var nodes []statesync.Node
	for z := range zones {
		for i := range perZone {
			name := fmt.Sprintf("n%d-%d", z, i)
			nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: fmt.Sprintf("z%d", z)})
		}
	}
	for _, n := range nodes {
		c := catalog.New()
		w := statesync.NewWatcher(statesync.Options{
			Process: n.Name, Store: view{store, n.Name}, Peers: asker{f, n.Name}, Catalog: c, OnChange: func() {},
			Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
		})
		upstream, root := statesync.Upstream(n, nodes)
		w.SetUpstream(upstream, root)
		f.mu.Lock()
		f.catalogs[n.Name], f.watchers[n.Name] = c, w
		f.mu.Unlock()
	}
	for _, w := range f.watchers {
		go func() { _ = w.Run(ctx) }()
	}
	return f
}

// have returns the number of nodes whose catalogs hold exactly the leaves.
func (f *fleet) have(ids ...string) int {
	n := 0
	for _, c := range f.catalogs {
		var got []string
		for _, l := range c.View().Leaves["s"] {
			got = append(got, l.ID)
		}
		if assert.ObjectsAreEqual(len(ids), len(got)) && assert.ElementsMatch(quiet{}, ids, got) {
			n++
		}
	}
	return n
}

// quiet drops the messages of an assertion that may fail.
type quiet struct{}

func (quiet) Errorf(string, ...any) {}

// inFleet runs a test with a fleet of 3 zones on virtual time.
func inFleet(t *testing.T, perZone int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newHistory()
		store.put("a", true)
		f := startFleet(ctx, store, 3, perZone)
		time.Sleep(3 * time.Second)
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// applyWithin is the time in which a change must be known everywhere.
const applyWithin = 3 * time.Second

func TestChangesReachAllNodes(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		assert.Equal(t, 24, f.have("a"))
		f.store.put("b", true)
		time.Sleep(applyWithin)
		assert.Equal(t, 24, f.have("a", "b"))
		f.store.put("a", false)
		time.Sleep(applyWithin)
		assert.Equal(t, 24, f.have("b"))
	})
}

func TestStoreCallsDoNotGrowWithNodes(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		before := f.store.count()
		time.Sleep(100 * time.Second)
		// At most three calls in four seconds by each of three roots: a quiet store
		// costs less than the changes of a day.
		assert.LessOrEqual(t, f.store.count()-before, 3*75)
	})
}

// TestChangesReachAllNodesDespite plays a fault that lasts, and then a change.
func TestChangesReachAllNodesDespite(t *testing.T) {
	root := func(f *fleet, zone string) string {
		var nodes []statesync.Node
		for name := range f.watchers {
			nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: "z" + name[1:2]})
		}
		for _, n := range nodes {
			if _, isRoot := statesync.Upstream(n, nodes); isRoot && n.DataCentre == zone {
				return n.Name
			}
		}
		return ""
	}
	cases := []struct {
		name  string
		fault func(f *fleet)
		// held is added to the time of a removal: nodes that had no word of the
		// store for 3.5 s take it for an outage and hold what lapsed.
		held time.Duration
	}{
		{"a root that the store refuses", func(f *fleet) {
			r := root(f, "z0")
			f.store.setFault(func(node string) fault { return pick(node == r, refuse) })
		}, 0},
		{"two roots that hear nothing of the store", func(f *fleet) {
			r, s := root(f, "z0"), root(f, "z1")
			f.store.setFault(func(node string) fault { return pick(node == r || node == s, silent) })
		}, 0},
		{"all roots without the store", func(f *fleet) {
			roots := map[string]bool{root(f, "z0"): true, root(f, "z1"): true, root(f, "z2"): true}
			f.store.setFault(func(node string) fault { return pick(roots[node], silent) })
		}, 2300 * time.Millisecond},
		{"a root that no node reaches", func(f *fleet) {
			r := root(f, "z2")
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cut = func(_, to string) bool { return to == r }
		}, 0},
		{"zones that can't reach each other", func(f *fleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.cut = func(from, to string) bool { return from[1] != to[1] }
		}, 0},
		{"history that is lost", func(f *fleet) { f.store.forget() }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, 8, func(t *testing.T, f *fleet) {
				c.fault(f)
				f.store.put("b", true)
				time.Sleep(applyWithin + 1500*time.Millisecond)
				if got := f.have("a", "b"); got != 24 {
					t.Fatalf("%d of 24 nodes know the change", got)
				}
				f.store.put("a", false)
				time.Sleep(applyWithin + 1500*time.Millisecond + c.held)
				assert.Equal(t, 24, f.have("b"))
			})
		})
	}
}

func pick(hit bool, f fault) fault {
	if hit {
		return f
	}
	return none
}

// TestLapsedEntriesReturn covers an outage in which entries lapse: no node loses a
// leaf that is back within two seconds of the store's return.
func TestLapsedEntriesReturn(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		f.store.setFault(func(string) fault { return refuse })
		time.Sleep(5 * time.Second)
		f.store.put("a", false)
		f.store.setFault(func(string) fault { return none })
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, 24, f.have("a"))
		f.store.put("a", true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 24, f.have("a"))
	})
}

// TestStartWithoutStore covers a node that starts while the store refuses it.
func TestStartWithoutStore(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		f.store.setFault(func(node string) fault { return pick(node == "late", refuse) })
		c := catalog.New()
		w := statesync.NewWatcher(statesync.Options{
			Process: "late", Store: view{f.store, "late"}, Peers: asker{f, "late"}, Catalog: c, OnChange: func() {},
			Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
		})
		w.SetUpstream([]string{"no such node", "n0-0"}, true)
		go func() { _ = w.Run(t.Context()) }()
		time.Sleep(time.Second)
		assert.Len(t, c.View().Leaves["s"], 1)
	})
}

// TestFleetStartsSoonAfterTheStoreReturns starts all nodes while the store is silent. What
// nodes know is lost, so that no request can be served until one of them has read it.
func TestFleetStartsSoonAfterTheStoreReturns(t *testing.T) {
	for _, away := range []time.Duration{100 * time.Millisecond, time.Second, 1700 * time.Millisecond, 4 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := newHistory()
				store.put("a", true)
				store.setFault(func(string) fault { return silent })
				f := startFleet(ctx, store, 3, 8)
				time.Sleep(away)
				// Each node turns to the store by itself at first and once all peers have
				// failed, and three roots more often.
				assert.LessOrEqual(t, store.count(), 24*(1+int(away/(2500*time.Millisecond)))+3*int(away/(500*time.Millisecond)))
				store.setFault(func(string) fault { return none })
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, 24, f.have("a"))
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

func TestUpstreamIsATree(t *testing.T) {
	var nodes []statesync.Node
	for i := range 60 {
		name := fmt.Sprintf("n%d", i)
		nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: fmt.Sprintf("z%d", i%3)})
	}
	roots, followers := map[string]int{}, map[string]int{}
	for _, n := range nodes {
		addresses, root := statesync.Upstream(n, nodes)
		if root {
			roots[n.DataCentre]++
		} else {
			followers[addresses[0]]++
		}
		assert.NotContains(t, addresses, n.Address)
		assert.LessOrEqual(t, len(addresses), 6)
	}
	assert.Equal(t, map[string]int{"z0": 1, "z1": 1, "z2": 1}, roots)
	for name, n := range followers {
		assert.LessOrEqual(t, n, 4, name)
	}
}

// TestNoHoldWhereOnlyOneNodeWasRefused covers a root that the store turned away while
// it served the others: what leaves meanwhile leaves at once.
func TestNoHoldWhereOnlyOneNodeWasRefused(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		nodes := f.nodes()
		refused := ""
		for _, n := range nodes {
			if _, isRoot := statesync.Upstream(n, nodes); isRoot && n.DataCentre == "z0" {
				refused = n.Name
			}
		}
		f.store.setFault(func(node string) fault { return pick(node == refused, refuse) })
		time.Sleep(6 * time.Second)
		f.store.setFault(func(string) fault { return none })
		time.Sleep(1400 * time.Millisecond)
		f.store.put("a", false)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, 24, f.have())
	})
}

// TestNoHoldWhereOnlyTheRootsAreCut cuts the root of each zone from the store, which
// serves the other nodes. They turn to it before they can take the silence of their
// roots for an outage, so that a leaf that leaves meanwhile is gone within 3 s.
func TestNoHoldWhereOnlyTheRootsAreCut(t *testing.T) {
	for after := 500 * time.Millisecond; after < 5*time.Second; after += 250 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			inFleet(t, 2, func(t *testing.T, f *fleet) {
				time.Sleep(7 * time.Second)
				nodes := f.nodes()
				roots := map[string]bool{}
				for _, n := range nodes {
					_, isRoot := statesync.Upstream(n, nodes)
					roots[n.Name] = isRoot
				}
				f.store.setFault(func(node string) fault { return pick(roots[node], silent) })
				time.Sleep(after)
				f.store.put("a", false)
				time.Sleep(2900 * time.Millisecond)
				for name, c := range f.catalogs {
					if !roots[name] {
						assert.Empty(t, c.View().Leaves["s"], "%s knows the leaf still", name)
					}
				}
			})
		})
	}
}
