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

// fleet is a set of nodes that follow one store.
type fleet struct {
	store    *fakeStore
	mu       sync.Mutex
	catalogs map[string]*catalog.Catalog
	watchers map[string]*statesync.Watcher
	// partitioned reports whether a node can't reach another one.
	partitioned func(from, to string) bool
}

var errUnknownPeer = errors.New("peer is unknown")

// fakePeers implements statesync.Peers for one node.
type fakePeers struct {
	fleet *fleet
	node  string
}

func (a fakePeers) FetchChanges(ctx context.Context, address string, req *statesync.Request) (*statesync.Reply, error) {
	w, err := a.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return w.ServeChanges(ctx, req), nil
}

func (a fakePeers) FetchTable(ctx context.Context, address string, req *statesync.TableRequest) (*statesync.TablePart, error) {
	w, err := a.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return w.ServeTable(req), nil
}

// reach returns the watcher of another node, if the node can be reached before ctx ends.
func (a fakePeers) reach(ctx context.Context, address string) (*statesync.Watcher, error) {
	a.fleet.mu.Lock()
	w := a.fleet.watchers[address]
	partitioned := a.fleet.partitioned
	a.fleet.mu.Unlock()
	if w == nil {
		return nil, errUnknownPeer
	}
	if partitioned(a.node, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return w, nil
}

// nodes returns all nodes of the fleet.
func (f *fleet) nodes() []statesync.Node {
	var nodes []statesync.Node
	for name := range f.watchers {
		nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: "z" + name[1:2]})
	}
	return nodes
}

func startFleet(ctx context.Context, store *fakeStore, dataCentres int, perDataCentre int) *fleet {
	f := &fleet{
		store: store, catalogs: map[string]*catalog.Catalog{}, watchers: map[string]*statesync.Watcher{},
		partitioned: func(string, string) bool { return false },
	}
	var nodes []statesync.Node
	for z := range dataCentres {
		for i := range perDataCentre {
			name := fmt.Sprintf("n%d-%d", z, i)
			nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: fmt.Sprintf("z%d", z)})
		}
	}
	for _, n := range nodes {
		c := catalog.New()
		w := statesync.NewWatcher(statesync.Options{
			Process: n.Name, Store: nodeStore{store, n.Name}, Peers: fakePeers{f, n.Name}, Catalog: c, OnChange: func() {},
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

// nodesWith returns the number of nodes whose catalogs hold exactly the given leaves.
func (f *fleet) nodesWith(ids ...string) int {
	n := 0
	for _, c := range f.catalogs {
		var got []string
		for _, l := range c.View().Leaves["s"] {
			got = append(got, l.ID)
		}
		if assert.ObjectsAreEqual(len(ids), len(got)) && assert.ElementsMatch(discardT{}, ids, got) {
			n++
		}
	}
	return n
}

// discardT drops the messages of an assertion that may fail.
type discardT struct{}

func (discardT) Errorf(string, ...any) {}

// inFleet runs a test in virtual time with a fleet in 3 data centres.
func inFleet(t *testing.T, perDataCentre int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newFakeStore()
		store.put("a", true)
		f := startFleet(ctx, store, 3, perDataCentre)
		time.Sleep(3 * time.Second)
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// maxPropagation is the time within which a change must reach all nodes.
const maxPropagation = 3 * time.Second

func TestChangesReachAllNodes(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		assert.Equal(t, 24, f.nodesWith("a"))
		f.store.put("b", true)
		time.Sleep(maxPropagation)
		assert.Equal(t, 24, f.nodesWith("a", "b"))
		f.store.put("a", false)
		time.Sleep(maxPropagation)
		assert.Equal(t, 24, f.nodesWith("b"))
	})
}

func TestStoreCallsDoNotGrowWithNodes(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		before := f.store.callCount()
		time.Sleep(100 * time.Second)
		// Each of three roots makes at most three calls in four seconds: watching a store
		// without changes costs less than a day's changes do.
		assert.LessOrEqual(t, f.store.callCount()-before, 3*75)
	})
}

// TestChangesReachAllNodesDespiteFaults injects a lasting fault and then makes changes.
func TestChangesReachAllNodesDespiteFaults(t *testing.T) {
	root := func(f *fleet, dataCentre string) string {
		var nodes []statesync.Node
		for name := range f.watchers {
			nodes = append(nodes, statesync.Node{Name: name, Address: name, DataCentre: "z" + name[1:2]})
		}
		for _, n := range nodes {
			if _, isRoot := statesync.Upstream(n, nodes); isRoot && n.DataCentre == dataCentre {
				return n.Name
			}
		}
		return ""
	}
	cases := []struct {
		name  string
		fault func(f *fleet)
		// held is added to the time that a removal may take: nodes that had no
		// confirmation by the store for 3.3 s assume an outage and hold lapsed leaves.
		held time.Duration
	}{
		{"store refuses one root", func(f *fleet) {
			r := root(f, "z0")
			f.store.setFault(func(node string) fault { return faultIf(node == r, refuse) })
		}, 0},
		{"store does not answer two roots", func(f *fleet) {
			r, s := root(f, "z0"), root(f, "z1")
			f.store.setFault(func(node string) fault { return faultIf(node == r || node == s, hang) })
		}, 0},
		{"store does not answer any root", func(f *fleet) {
			roots := map[string]bool{root(f, "z0"): true, root(f, "z1"): true, root(f, "z2"): true}
			f.store.setFault(func(node string) fault { return faultIf(roots[node], hang) })
		}, 2300 * time.Millisecond},
		{"root is unreachable for peers", func(f *fleet) {
			r := root(f, "z2")
			f.mu.Lock()
			defer f.mu.Unlock()
			f.partitioned = func(_, to string) bool { return to == r }
		}, 0},
		{"data centres can't reach each other", func(f *fleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.partitioned = func(from, to string) bool { return from[1] != to[1] }
		}, 0},
		{"history is lost", func(f *fleet) { f.store.forget() }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inFleet(t, 8, func(t *testing.T, f *fleet) {
				c.fault(f)
				f.store.put("b", true)
				time.Sleep(maxPropagation + 1500*time.Millisecond)
				if got := f.nodesWith("a", "b"); got != 24 {
					t.Fatalf("%d of 24 nodes have the change", got)
				}
				f.store.put("a", false)
				time.Sleep(maxPropagation + 1500*time.Millisecond + c.held)
				assert.Equal(t, 24, f.nodesWith("b"))
			})
		})
	}
}

func faultIf(affected bool, f fault) fault {
	if affected {
		return f
	}
	return none
}

// TestLapsedEntriesReturn covers an outage of the store in which entries lapse: no node
// drops a leaf whose entry is written again within two seconds of the end of the outage.
func TestLapsedEntriesReturn(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		f.store.setFault(func(string) fault { return refuse })
		time.Sleep(5 * time.Second)
		f.store.put("a", false)
		f.store.setFault(func(string) fault { return none })
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, 24, f.nodesWith("a"))
		f.store.put("a", true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, 24, f.nodesWith("a"))
	})
}

// TestStartWithoutStore covers a node that starts while the store refuses it.
func TestStartWithoutStore(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		f.store.setFault(func(node string) fault { return faultIf(node == "late", refuse) })
		c := catalog.New()
		w := statesync.NewWatcher(statesync.Options{
			Process: "late", Store: nodeStore{f.store, "late"}, Peers: fakePeers{f, "late"}, Catalog: c, OnChange: func() {},
			Logger: zap.NewNop(), Scope: tally.NoopScope, Random: func() float64 { return 0.5 },
		})
		w.SetUpstream([]string{"no such node", "n0-0"}, true)
		go func() { _ = w.Run(t.Context()) }()
		time.Sleep(time.Second)
		assert.Len(t, c.View().Leaves["s"], 1)
	})
}

// TestFleetStartsSoonAfterTheStoreReturns starts all nodes while the store does not answer.
// No node has a catalog, so that no request can be served until one of them has read the
// store.
func TestFleetStartsSoonAfterTheStoreReturns(t *testing.T) {
	for _, outage := range []time.Duration{100 * time.Millisecond, time.Second, 1700 * time.Millisecond, 4 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := newFakeStore()
				store.put("a", true)
				store.setFault(func(string) fault { return hang })
				f := startFleet(ctx, store, 3, 8)
				time.Sleep(outage)
				// Each node calls the store once at the start and again whenever all of its
				// peers have failed. The three roots call it more often.
				assert.LessOrEqual(t, store.callCount(), 24*(1+int(outage/(2500*time.Millisecond)))+3*int(outage/(500*time.Millisecond)))
				store.setFault(func(string) fault { return none })
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, 24, f.nodesWith("a"))
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

// TestNoHoldWhereOnlyOneNodeWasRefused covers a root that the store refused while it served
// the others. A leaf that is removed afterwards must not be held.
func TestNoHoldWhereOnlyOneNodeWasRefused(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *fleet) {
		nodes := f.nodes()
		refused := ""
		for _, n := range nodes {
			if _, isRoot := statesync.Upstream(n, nodes); isRoot && n.DataCentre == "z0" {
				refused = n.Name
			}
		}
		f.store.setFault(func(node string) fault { return faultIf(node == refused, refuse) })
		time.Sleep(6 * time.Second)
		f.store.setFault(func(string) fault { return none })
		time.Sleep(1400 * time.Millisecond)
		f.store.put("a", false)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, 24, f.nodesWith())
	})
}

// TestNoHoldWhereOnlyTheRootsAreCutOff covers a store that does not answer the root of each
// data centre but serves the other nodes. These switch to the store before the silence of
// their roots looks like an outage, so that a leaf that is removed meanwhile is gone within
// 3 s.
func TestNoHoldWhereOnlyTheRootsAreCutOff(t *testing.T) {
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
				f.store.setFault(func(node string) fault { return faultIf(roots[node], hang) })
				time.Sleep(after)
				f.store.put("a", false)
				time.Sleep(2900 * time.Millisecond)
				for name, c := range f.catalogs {
					if !roots[name] {
						assert.Empty(t, c.View().Leaves["s"], "%s still has the leaf", name)
					}
				}
			})
		})
	}
}
