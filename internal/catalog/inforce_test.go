package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

// gatheringTable returns a change of the table to one with a route over the given services.
func gatheringTable(version int64, revision uint64, shards ...string) catalog.Change {
	return catalog.Change{Key: "table", Revision: revision, Table: &catalog.Table{
		Version: version, Routes: []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", Shards: shards}},
	}}
}

// shardLeaf returns a change that adds a leaf that is in a cold start for the given time.
func shardLeaf(id, service string, revision uint64, coldFor time.Duration) catalog.Change {
	c := leaf(id, revision, 1, 0, false)
	c.Leaf.Service, c.Leaf.WarmupLeft = service, coldFor
	return c
}

// TestTableIsDeferredWhileLeavesAreCold replaces the table of an index by one over other
// services, whose leaves are in a cold start.
func TestTableIsDeferredWhileLeavesAreCold(t *testing.T) {
	const until = 2100 * time.Millisecond
	for name, c := range map[string]struct {
		// later are changes that arrive one second after the new table.
		later []catalog.Change
		// cold is the remaining cold start of the new leaves when the table arrives.
		cold time.Duration
		// inForce is when the newest table must be in force.
		inForce time.Duration
	}{
		"warm already":                        {nil, 0, 0},
		"warm soon":                           {nil, time.Second, time.Second},
		"cold for longer":                     {nil, time.Minute, until},
		"leaf of the old service is removed":  {[]catalog.Change{removal("a", 9)}, time.Minute, time.Second},
		"newer table with the same service":   {[]catalog.Change{gatheringTable(9, 9, "new")}, time.Minute, until},
		"newer table without the new service": {[]catalog.Change{gatheringTable(9, 9, "old")}, time.Minute, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			k := catalog.New()
			k.Apply(0, update(0, shardLeaf("a", "old", 1, 0), gatheringTable(5, 2, "old")))
			assert.EqualValues(t, 5, k.View().Table.Version, "no table was in force before")
			k.DeferTables(until)
			k.Apply(0, update(2, shardLeaf("b", "new", 3, c.cold), gatheringTable(7, 4, "new")))
			assert.EqualValues(t, 7, k.View().Newest.Version)
			for now := time.Duration(0); now <= 3*time.Second; now += 50 * time.Millisecond {
				if now == time.Second {
					k.DeferTables(now + until)
					k.Apply(now, update(4, c.later...))
				}
				k.Expire(now)
				if now < c.inForce {
					assert.EqualValues(t, 5, k.View().Table.Version, "at %v", now)
				} else {
					assert.Same(t, k.View().Newest, k.View().Table, "at %v", now)
				}
			}
		})
	}
}

// TestTableIsNotDeferred has tables that are put in force at once: the first one, and one that
// arrives after the time up to which tables may be deferred.
func TestTableIsNotDeferred(t *testing.T) {
	k := catalog.New()
	k.DeferTables(time.Minute)
	k.Apply(0, update(0, shardLeaf("b", "new", 1, time.Minute), gatheringTable(5, 2, "new")))
	assert.EqualValues(t, 5, k.View().Table.Version)
	k.DeferTables(0)
	events, _ := k.Apply(time.Second, update(2, shardLeaf("c", "newer", 3, time.Minute), gatheringTable(7, 4, "newer")))
	assert.EqualValues(t, 7, k.View().Table.Version)
	assert.Len(t, events, 2)
}

// TestDeferredTableIsReportedOnce checks the events of a deferred table, which are logged.
func TestDeferredTableIsReportedOnce(t *testing.T) {
	k := catalog.New()
	k.Apply(0, update(0, shardLeaf("a", "old", 1, 0), gatheringTable(5, 2, "old")))
	k.DeferTables(time.Second)
	events, _ := k.Apply(0, update(2, shardLeaf("b", "new", 3, time.Minute), gatheringTable(7, 4, "new")))
	assert.Len(t, events, 2)
	assert.True(t, events[1].Deferred)
	assert.Empty(t, k.Expire(500*time.Millisecond), "reported once")
	events = k.Expire(time.Second)
	if assert.Len(t, events, 1) {
		assert.False(t, events[0].Deferred)
		assert.EqualValues(t, 7, events[0].Change.Table.Version)
	}
}
