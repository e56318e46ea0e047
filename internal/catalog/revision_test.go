package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRevisionsAreOrderedByEra(t *testing.T) {
	assert.Less(t, NewRevision(0, 900), NewRevision(1, 3))
	assert.Less(t, NewRevision(1, 3), NewRevision(1, 4))
	assert.Less(t, NewRevision(1, 1<<60), NewRevision(2, 0))
	era, number := SplitRevision(NewRevision(7, 412))
	assert.EqualValues(t, 7, era)
	assert.EqualValues(t, 412, number)
	assert.EqualValues(t, 412, NewRevision(0, 412), "a history without eras")
}

func eraTable(version int64) *Table { return &Table{Version: version} }

func eraLeaf(id string, sequence int64, draining bool) *Leaf {
	return &Leaf{ID: id, Service: "s", Address: "127.0.0.1:9", DataCentre: "z", Slots: 1, Sequence: sequence, Started: 1, Draining: draining}
}

// ids returns the IDs of the usable leaves.
func ids(v *View) (list []string) {
	for _, l := range v.Leaves["s"] {
		if v.Usable(l) {
			list = append(list, l.ID)
		}
	}
	return list
}

// TestNothingGoesBackInANewEra has the history return as a copy from before a configuration, a drain,
// the end of a leaf, a data centre that was taken out, and a start.
func TestNothingGoesBackInANewEra(t *testing.T) {
	copied := []Change{
		{Key: "t", Revision: 1, Table: eraTable(1)},
		{Key: "draining", Revision: 2, Leaf: eraLeaf("draining", 1, false)},
		{Key: "left", Revision: 3, Leaf: eraLeaf("left", 1, false)},
		{Key: "stays", Revision: 4, Leaf: eraLeaf("stays", 1, false)},
	}
	setUp := func() *Catalog {
		c := New()
		c.Replace(0, &Snapshot{AsOf: 4, Entries: copied})
		c.Apply(0, &Update{From: 4, AsOf: 20, Changes: []Change{
			{Key: "t", Revision: 15, Table: eraTable(2)},
			{Key: "draining", Revision: 16, Leaf: eraLeaf("draining", 2, true)},
			{Key: "left", Revision: 17},
			{Key: "zone", Revision: 18, TakenOut: "y"},
			{Key: "new", Revision: 19, Leaf: eraLeaf("new", 1, false)},
			{Key: "lost", Revision: 20, Leaf: eraLeaf("lost", 1, false)},
		}})
		return c
	}
	inEra := func(era uint64, changes []Change) []Change {
		var list []Change
		for _, change := range changes {
			change.Revision = NewRevision(era, change.Revision)
			list = append(list, change)
		}
		return list
	}
	check := func(t *testing.T, c *Catalog, want ...string) {
		t.Helper()
		v := c.View()
		assert.EqualValues(t, 2, v.Table.Version)
		assert.True(t, v.TakenOut["y"])
		assert.ElementsMatch(t, want, ids(v))
	}
	c := setUp()
	check(t, c, "stays", "new", "lost")
	now := time.Second
	c.Replace(now, &Snapshot{AsOf: NewRevision(1, 4), Entries: inEra(1, copied)})
	check(t, c, "stays", "new", "lost")
	require.EqualValues(t, NewRevision(1, 4), c.View().AsOf)
	// The history returns a second time before all is written again.
	now += time.Second
	c.Replace(now, &Snapshot{AsOf: NewRevision(2, 4), Entries: inEra(2, copied)})
	check(t, c, "stays", "new", "lost")
	// Revisions are given out again.
	now += time.Second
	_, complete := c.Apply(now, &Update{From: NewRevision(2, 4), AsOf: NewRevision(2, 8), Changes: inEra(2, []Change{
		{Key: "t", Revision: 5, Table: eraTable(2)},
		{Key: "new", Revision: 6, Leaf: eraLeaf("new", 2, false)},
		{Key: "zone", Revision: 7, TakenOut: "y"},
		{Key: "left", Revision: 8, Leaf: eraLeaf("left", 5, false)},
	})})
	require.True(t, complete)
	check(t, c, "stays", "new", "lost", "left")
	now += lapseHoldTime
	c.Expire(now)
	check(t, c, "stays", "new", "left")
	c.Apply(now, &Update{From: NewRevision(2, 8), AsOf: NewRevision(2, 10), Changes: inEra(2, []Change{
		{Key: "t", Revision: 9, Table: eraTable(3)}, {Key: "zone", Revision: 10},
	})})
	assert.EqualValues(t, 3, c.View().Table.Version)
	assert.False(t, c.View().TakenOut["y"], "what is written in the new era is in force at once")

	t.Run("zone not written again", func(t *testing.T) {
		c := setUp()
		c.Replace(time.Second, &Snapshot{AsOf: NewRevision(1, 4), Entries: inEra(1, copied)})
		c.Expire(time.Second + lapseHoldTime)
		assert.False(t, c.View().TakenOut["y"])
		assert.ElementsMatch(t, []string{"stays"}, ids(c.View()))
	})
	t.Run("peer of the old era has a newer table", func(t *testing.T) {
		c := New()
		c.Replace(0, &Snapshot{AsOf: NewRevision(1, 4), Entries: inEra(1, copied)})
		c.Merge(0, []Change{{Key: "t", Revision: 15, Table: eraTable(2)}}, 0)
		assert.EqualValues(t, 2, c.View().Table.Version)
		c.Merge(0, []Change{{Key: "left", Revision: 17}}, 0)
		assert.Contains(t, ids(c.View()), "left", "a removal of the old era does not apply to the new one")
	})
	t.Run("peer of the old era is not complete", func(t *testing.T) {
		c := setUp()
		c.Replace(time.Second, &Snapshot{AsOf: NewRevision(1, 4), Entries: inEra(1, copied)})
		c.Apply(time.Second, &Update{From: NewRevision(1, 4), AsOf: NewRevision(1, 5), Changes: inEra(1, []Change{{Key: "fresh", Revision: 5, Leaf: eraLeaf("fresh", 1, false)}})})
		c.Replace(time.Second, &Snapshot{AsOf: 20, Entries: copied})
		check(t, c, "stays", "new", "lost", "fresh")
	})
}
