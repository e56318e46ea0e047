package leafpick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const mean = 10 * time.Millisecond

var singleNode = fleetOf("n0", "n0")

func fleetOf(self string, names ...string) *leafpick.Fleet {
	f := leafpick.NewFleet(self, names)
	return &f
}

func entries(dataCentres ...string) []*catalog.Leaf {
	var list []*catalog.Leaf
	for i, z := range dataCentres {
		list = append(list, &catalog.Leaf{ID: fmt.Sprintf("l%d", i), Service: "s", DataCentre: z, Slots: 2, Address: fmt.Sprintf("a%d", i)})
	}
	return list
}

func newGroup(list []*catalog.Leaf) *leafpick.Group {
	g := leafpick.NewGroup(leafpick.Options{DataCentre: "here", ColdRatio: 1.5, ColdSlack: 5})
	g.Set(0, list, &catalog.Service{Name: "s"})
	return g
}

func begin(g *leafpick.Group, now time.Duration, tried ...string) *leafpick.Call {
	return g.Begin(now, leafpick.CallOptions{Mean: mean, Tried: tried}, singleNode, 0.5)
}

func TestPrefersOwnDataCentre(t *testing.T) {
	g := newGroup(entries("far", "here", "far"))
	for i := range 20 {
		now := time.Duration(i) * time.Second
		c := begin(g, now)
		assert.Equal(t, "l1", c.Leaf.Entry.ID)
		g.End(now+mean, c, leafpick.Answered)
	}
}

func TestAvoidsPausedLeafAtOnce(t *testing.T) {
	g := newGroup(entries("here", "far"))
	paused := begin(g, 0)
	require.Equal(t, "l0", paused.Leaf.Entry.ID)
	assert.Equal(t, "l1", begin(g, 50*time.Millisecond).Leaf.Entry.ID)
	g.End(100*time.Millisecond, paused, leafpick.Abandoned)
	assert.Equal(t, "l0", begin(g, 20*time.Second).Leaf.Entry.ID, "used again once the call has ended")
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		outcome leafpick.Outcome
		// ejected is set if one such outcome ejects the leaf.
		ejected bool
	}{
		{leafpick.Answered, false}, {leafpick.Refused, false}, {leafpick.Failed, false}, {leafpick.Lost, false},
		{leafpick.Unreachable, true}, {leafpick.Misdirected, true}, {leafpick.TimedOut, true}, {leafpick.Abandoned, false},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.outcome), func(t *testing.T) {
			g := newGroup(entries("here"))
			g.End(mean, begin(g, 0), c.outcome)
			assert.Equal(t, c.ejected, g.Census(mean).Ejected == 1)
		})
	}
}

func TestFailingLeafIsUsedLast(t *testing.T) {
	for _, outcome := range []leafpick.Outcome{leafpick.Refused, leafpick.Failed, leafpick.Lost} {
		g := newGroup(entries("here", "far"))
		g.End(time.Millisecond, begin(g, 0), outcome)
		assert.Equal(t, "l1", begin(g, 2*time.Millisecond).Leaf.Entry.ID)
		assert.Equal(t, "l0", begin(g, 30*time.Second).Leaf.Entry.ID)
	}
}

func TestEjectedLeafReturnsByOneProbe(t *testing.T) {
	g := newGroup(entries("here", "here"))
	first := begin(g, 0)
	assert.Equal(t, leafpick.Ejected, g.End(0, first, leafpick.Unreachable))
	assert.Equal(t, leafpick.Unchanged, g.End(0, first, leafpick.Unreachable), "ended before")
	assert.Equal(t, leafpick.Census{Warm: 1, Ejected: 1}, g.Census(0))
	for range 5 {
		assert.NotEqual(t, first.Leaf, begin(g, 100*time.Millisecond).Leaf)
	}
	probe := begin(g, time.Second)
	assert.Equal(t, first.Leaf, probe.Leaf)
	assert.NotEqual(t, first.Leaf, begin(g, time.Second).Leaf, "one probe at a time")
	assert.Equal(t, leafpick.Restored, g.End(time.Second+mean, probe, leafpick.Answered))
	assert.Equal(t, leafpick.Census{Warm: 2}, g.Census(time.Second))
}

func TestNonIdempotentCallIsNoProbe(t *testing.T) {
	g := newGroup(entries("here", "far"))
	g.End(0, begin(g, 0), leafpick.Unreachable)
	c := g.Begin(time.Minute, leafpick.CallOptions{Mean: mean, NonIdempotent: true}, singleNode, 0)
	assert.Equal(t, "l1", c.Leaf.Entry.ID)
}

func TestOnlyLeafIsUsedAlthoughEjected(t *testing.T) {
	g := newGroup(entries("here"))
	g.End(0, begin(g, 0), leafpick.Unreachable)
	assert.NotNil(t, begin(g, time.Millisecond))
	assert.Nil(t, begin(g, time.Millisecond, "l0"), "not tried twice for one request")
}

// TestMisdirectedLeafGetsOnlyProbes counts the calls to addresses that other leaves use now,
// while the service has no other leaf. Each call is an extra request for those leaves.
func TestMisdirectedLeafGetsOnlyProbes(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		g := newGroup(entries("here", "here"))
		for range 2 {
			g.End(0, begin(g, 0), leafpick.Misdirected)
		}
		calls := 0
		opts := leafpick.CallOptions{Mean: mean, NonIdempotent: nonIdempotent}
		for now := time.Millisecond; now < 30*time.Second; now += 10 * time.Millisecond {
			if c := g.Begin(now, opts, singleNode, 0); c != nil {
				calls++
				g.End(now, c, leafpick.Misdirected)
			}
		}
		if nonIdempotent {
			assert.Zero(t, calls)
			continue
		}
		assert.Equal(t, 4, calls, "one probe of each leaf every ten seconds")
		probe := begin(g, 31*time.Second)
		assert.Equal(t, leafpick.Restored, g.End(31*time.Second, probe, leafpick.Answered))
		assert.Equal(t, leafpick.Census{Warm: 1, Ejected: 1}, g.Census(31*time.Second))
	}
}

// TestMisdirectedLeafIsCalledOnceItsAddressIsFree checks that the leaf is called without a
// probe interval again once no other process listens at its address.
func TestMisdirectedLeafIsCalledOnceItsAddressIsFree(t *testing.T) {
	g := newGroup(entries("here"))
	g.End(0, begin(g, 0), leafpick.Misdirected)
	assert.Nil(t, begin(g, 9*time.Second))
	g.End(11*time.Second, begin(g, 11*time.Second), leafpick.Unreachable)
	assert.NotNil(t, begin(g, 11*time.Second+time.Millisecond), "a refused connection reaches no leaf")
}

// TestColdLeafBound checks that all nodes together keep the bound of a cold leaf in any
// second.
func TestColdLeafBound(t *testing.T) {
	for _, nodes := range []int{1, 2, 6, 58} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprintf("n%d", i))
			}
			cold := entries("here")
			cold[0].WarmupLeft = time.Minute
			var sent []time.Duration
			for _, name := range names {
				g := newGroup(cold)
				fleet := fleetOf(name, names...)
				for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
					if c := g.Begin(now, leafpick.CallOptions{Mean: mean}, fleet, 0); c != nil {
						sent = append(sent, now)
						g.End(now, c, leafpick.Answered)
					}
				}
			}
			assert.NotEmpty(t, sent)
			for _, from := range sent {
				n := 0
				for _, at := range sent {
					if at >= from && at < from+time.Second {
						n++
					}
				}
				require.LessOrEqual(t, n, 5)
			}
		})
	}
}

func TestPrefersWarmLeaf(t *testing.T) {
	list := entries("here", "far")
	list[0].WarmupLeft = 3 * time.Second
	g := newGroup(list)
	assert.Equal(t, "l1", begin(g, 0).Leaf.Entry.ID)
	assert.Equal(t, "l0", begin(g, 20*time.Second).Leaf.Entry.ID)
}

func TestNewProcessResetsState(t *testing.T) {
	g := newGroup(entries("here"))
	g.End(0, begin(g, 0), leafpick.Unreachable)
	restarted := entries("here")
	restarted[0].Started = 7
	g.Set(0, restarted, &catalog.Service{Name: "s"})
	assert.Zero(t, g.Census(0).Ejected)
}

type conns struct {
	idle, full, transient bool
	// waiting are the priorities of the requests that wait for a connection.
	waiting []int
}

func (c conns) State(priority int) leafpick.ConnState {
	state := leafpick.ConnState{Idle: c.idle, Full: c.full, Persistent: !c.transient, Limit: 2}
	for _, p := range c.waiting {
		if p <= priority {
			state.Waiting++
		}
	}
	return state
}

// TestLeafWithoutPersistentConnectionIsUsedLast has two leaves, to one of which no connection
// is kept open. That one is used only for hedges and retries, and while the other is paused.
func TestLeafWithoutPersistentConnectionIsUsedLast(t *testing.T) {
	g := newGroup(entries("here", "here"))
	g.SetConnections(func(id string) leafpick.Connections { return conns{idle: id == "l0", transient: id == "l1"} })
	first := begin(g, 0)
	assert.Equal(t, "l0", first.ID)
	second := begin(g, 0)
	assert.Equal(t, "l0", second.ID)
	g.End(time.Millisecond, second, leafpick.Answered)
	assert.Equal(t, "l1", begin(g, time.Second).ID, "the other leaf has an overdue call")
}

func TestPrefersOpenConnection(t *testing.T) {
	g := newGroup(entries("here", "here"))
	g.SetConnections(func(id string) leafpick.Connections { return conns{idle: id == "l1"} })
	assert.Equal(t, "l1", begin(g, 0).Leaf.Entry.ID)
	g.SetConnections(func(id string) leafpick.Connections { return conns{idle: id == "l0", full: id == "l1"} })
	assert.Equal(t, "l0", begin(g, 0).Leaf.Entry.ID)
}

// TestSaturated checks whether a call of 10 ms can be answered in time. Each leaf has two
// connections.
func TestSaturated(t *testing.T) {
	full := conns{full: true}
	queued := conns{full: true, waiting: []int{1, 1, 1}}
	for _, c := range []struct {
		name     string
		leaves   []conns
		within   time.Duration
		priority int
		want     bool
	}{
		{"a connection is idle", []conns{{idle: true}}, time.Millisecond, 1, false},
		{"a connection may be opened", []conns{{}}, time.Millisecond, 1, false},
		{"a connection becomes free in time", []conns{full}, 25 * time.Millisecond, 1, false},
		{"a connection becomes free too late", []conns{full}, 12 * time.Millisecond, 1, true},
		{"other calls wait", []conns{queued}, 20 * time.Millisecond, 1, true},
		{"less urgent calls wait", []conns{queued}, 20 * time.Millisecond, 0, false},
		{"another leaf is not saturated", []conns{queued, {}}, 12 * time.Millisecond, 1, false},
		{"all leaves are saturated", []conns{queued, full}, 12 * time.Millisecond, 1, true},
		{"no leaf", nil, 12 * time.Millisecond, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(entries("here", "far")[:len(c.leaves)])
			g.SetConnections(func(id string) leafpick.Connections { return c.leaves[int(id[1]-'0')] })
			opts := leafpick.CallOptions{Mean: mean, Priority: c.priority}
			assert.Equal(t, c.want, g.Saturated(0, opts, c.within, singleNode))
		})
	}
}

// TestSlowLeavesAreSaturatedSooner has calls that take five times as long as expected.
func TestSlowLeavesAreSaturatedSooner(t *testing.T) {
	g := newGroup(entries("here"))
	g.SetConnections(func(string) leafpick.Connections { return conns{full: true} })
	opts := leafpick.CallOptions{Mean: mean}
	assert.False(t, g.Saturated(0, opts, 5*mean, singleNode))
	now := time.Duration(0)
	for range 10 {
		c := begin(g, now)
		now += 5 * mean
		g.End(now, c, leafpick.Answered)
	}
	assert.True(t, g.Saturated(now, opts, 5*mean, singleNode))
	assert.False(t, g.Saturated(now+time.Minute, opts, 5*mean, singleNode))
}

// TestHedgeNeedsAFreeConnection has leaves with and without a free connection. A hedge that
// waits for a connection is answered no sooner than the first call, and delays other calls.
func TestHedgeNeedsAFreeConnection(t *testing.T) {
	g := newGroup(entries("here", "here", "far"))
	g.SetConnections(func(id string) leafpick.Connections { return conns{full: id != "l2"} })
	hedge := leafpick.CallOptions{Mean: mean, Hedge: true}
	c := g.Begin(0, hedge, singleNode, 0.5)
	require.NotNil(t, c)
	assert.Equal(t, "l2", c.ID)
	hedge.Tried = []string{"l2"}
	assert.Nil(t, g.Begin(0, hedge, singleNode, 0.5))
	hedge.Hedge = false
	assert.NotNil(t, g.Begin(0, hedge, singleNode, 0.5), "a retry waits")
}
