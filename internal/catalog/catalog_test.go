package catalog_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
)

func leaf(id string, revision uint64, sequence, started int64, draining bool) catalog.Change {
	return catalog.Change{Key: "leaf/" + id, Revision: revision, Leaf: &catalog.Leaf{
		ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 1,
		Sequence: sequence, Started: started, Draining: draining,
	}}
}

func table(version int64, revision uint64) catalog.Change {
	return catalog.Change{Key: "table", Revision: revision, Table: &catalog.Table{Version: version}}
}

func removal(id string, revision uint64) catalog.Change {
	return catalog.Change{Key: "leaf/" + id, Revision: revision}
}

func update(from uint64, changes ...catalog.Change) *catalog.Update {
	u := &catalog.Update{From: from, AsOf: from, Changes: changes}
	for _, c := range changes {
		u.AsOf = max(u.AsOf, c.Revision)
	}
	return u
}

func ids(v *catalog.View) []string {
	var list []string
	for _, l := range v.Leaves["s"] {
		list = append(list, l.ID)
	}
	return list
}

func TestApplyIgnoresOlderChanges(t *testing.T) {
	cases := []struct {
		name    string
		changes []catalog.Change
		check   func(t *testing.T, v *catalog.View)
	}{
		{"lower revision of a leaf", []catalog.Change{leaf("a", 5, 5, 0, true), leaf("a", 4, 4, 0, false)},
			func(t *testing.T, v *catalog.View) { assert.True(t, v.Leaves["s"][0].Draining) }},
		{"older entry of the same process", []catalog.Change{leaf("a", 5, 5, 9, true), leaf("a", 6, 4, 9, false)},
			func(t *testing.T, v *catalog.View) { assert.True(t, v.Leaves["s"][0].Draining) }},
		{"entry of an earlier process", []catalog.Change{leaf("a", 5, 1, 9, false), leaf("a", 6, 40, 3, true)},
			func(t *testing.T, v *catalog.View) { assert.False(t, v.Leaves["s"][0].Draining) }},
		{"new process with the same ID", []catalog.Change{leaf("a", 5, 40, 3, true), leaf("a", 6, 1, 9, false)},
			func(t *testing.T, v *catalog.View) { assert.False(t, v.Leaves["s"][0].Draining) }},
		{"entry older than its removal", []catalog.Change{leaf("a", 5, 1, 0, false), removal("a", 7), leaf("a", 6, 2, 0, false)},
			func(t *testing.T, v *catalog.View) { assert.Empty(t, ids(v)) }},
		{"return after a removal", []catalog.Change{leaf("a", 5, 1, 0, false), removal("a", 7), leaf("a", 8, 2, 0, false)},
			func(t *testing.T, v *catalog.View) { assert.Equal(t, []string{"a"}, ids(v)) }},
		{"lower version of the table", []catalog.Change{table(7, 5), table(6, 6)},
			func(t *testing.T, v *catalog.View) { assert.EqualValues(t, 7, v.Table.Version) }},
		{"removal of the table", []catalog.Change{table(7, 5), {Key: "table", Revision: 6}},
			func(t *testing.T, v *catalog.View) { assert.EqualValues(t, 7, v.Table.Version) }},
		{"taken out and restored", []catalog.Change{{Key: "out/z", Revision: 5, TakenOut: "z"}, {Key: "out/z", Revision: 6}},
			func(t *testing.T, v *catalog.View) { assert.Empty(t, v.TakenOut) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, each := catalog.New(), catalog.New()
			_, ok := one.Apply(0, update(0, c.changes...))
			require.True(t, ok)
			c.check(t, one.View())
			for _, change := range c.changes {
				each.Merge(0, []catalog.Change{change}, change.Revision)
			}
			c.check(t, each.View())
		})
	}
}

// TestLeafReturnsAfterEntryOfAnotherWriter guards against an entry that another writer has put in the
// place of a leaf's own hiding all entries that the leaf writes later.
func TestLeafReturnsAfterEntryOfAnotherWriter(t *testing.T) {
	own := func(revision uint64, sequence int64) catalog.Change { return leaf("a", revision, sequence, 9, false) }
	for name, spoil := range map[string]func(l *catalog.Leaf){
		"other service, later start": func(l *catalog.Leaf) { l.Service, l.Started, l.Sequence = "other", 40, 1 },
		"other service, no start":    func(l *catalog.Leaf) { l.Service, l.Started, l.Sequence = "other", 0, 40 },
		"other service, same start":  func(l *catalog.Leaf) { l.Service, l.Sequence = "other", 40 },
		"no start":                   func(l *catalog.Leaf) { l.Started, l.Sequence = 0, 40 },
		"invalid":                    func(l *catalog.Leaf) { l.Slots, l.Started, l.Sequence = 0, 40, 40 },
	} {
		t.Run(name, func(t *testing.T) {
			foreign := own(6, 5)
			spoil(foreign.Leaf)
			c := catalog.New()
			c.Apply(0, update(0, own(5, 4)))
			c.Apply(0, update(5, foreign))
			assert.Empty(t, ids(c.View()), "the entry names no leaf")
			c.Apply(0, update(6, own(7, 5)))
			require.Equal(t, []string{"a"}, ids(c.View()))
			c.Apply(0, update(7, own(8, 4)))
			assert.EqualValues(t, 5, c.View().Leaves["s"][0].Sequence, "the leaf's entries keep their order")
		})
	}
}

func TestApplyRejectsGap(t *testing.T) {
	c := catalog.New()
	_, ok := c.Apply(0, update(3, leaf("a", 4, 1, 0, false)))
	assert.False(t, ok)
	assert.Empty(t, ids(c.View()))
}

func TestReplaceRemovesMissing(t *testing.T) {
	c := catalog.New()
	c.Apply(0, update(0, leaf("a", 1, 1, 0, false), leaf("b", 2, 1, 0, false), leaf("c", 9, 1, 0, false)))
	c.Replace(0, &catalog.Snapshot{AsOf: 5, Entries: []catalog.Change{leaf("a", 1, 1, 0, false)}})
	assert.ElementsMatch(t, []string{"a", "c"}, ids(c.View()), "c changed after the snapshot")
	assert.EqualValues(t, 9, c.View().AsOf, "the view does not go back")
}

// TestLapsedLeafIsHeld checks that leaves whose entries lapse while the store is unreachable
// are kept until running leaves must have written their entries again.
func TestLapsedLeafIsHeld(t *testing.T) {
	c := catalog.New()
	c.Apply(0, update(0, leaf("gone", 1, 1, 0, false), leaf("back", 2, 1, 0, false), leaf("leaving", 3, 1, 0, true)))
	c.HoldLapsed(10 * time.Second)
	c.Apply(10*time.Second, update(3, removal("gone", 4), removal("back", 5), removal("leaving", 6)))
	assert.ElementsMatch(t, []string{"gone", "back"}, ids(c.View()))
	c.Apply(11*time.Second, update(6, leaf("back", 7, 2, 0, false)))
	assert.Empty(t, c.Expire(12*time.Second))
	assert.Len(t, c.Expire(12500*time.Millisecond), 1)
	assert.Equal(t, []string{"back"}, ids(c.View()))
	c.Apply(13*time.Second, update(7, removal("back", 8)))
	assert.Empty(t, ids(c.View()), "a later removal takes effect at once")
}

// TestSinceKeepsFollowerInSync checks that a follower that asks for changes ends with the same
// view, including held leaves.
func TestSinceKeepsFollowerInSync(t *testing.T) {
	c, follower := catalog.New(), catalog.New()
	var at uint64
	follow := func() {
		p := c.Since(at, math.MaxInt)
		changes, sequence, asOf := p.Changes, p.Sequence, p.AsOf
		follower.Merge(0, changes, asOf)
		at = sequence
		assert.ElementsMatch(t, ids(c.View()), ids(follower.View()))
		assert.Equal(t, c.View().AsOf, follower.View().AsOf)
	}
	c.Apply(0, update(0, leaf("a", 1, 1, 0, false), leaf("b", 2, 1, 0, false), leaf("c", 3, 1, 0, false)))
	follow()
	c.Apply(0, update(3, removal("a", 4)))
	follow()
	c.HoldLapsed(0)
	c.Apply(0, update(4, removal("b", 5)))
	follow()
	c.Expire(time.Minute)
	follow()
	assert.Equal(t, []string{"c"}, ids(follower.View()))
	changes := c.Since(at, math.MaxInt).Changes
	assert.Empty(t, changes)
}

func TestMatch(t *testing.T) {
	r := func(name, host, prefix string) *catalog.Route {
		return &catalog.Route{Name: name, Host: host, Prefix: prefix, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}}}
	}
	tab := &catalog.Table{Routes: []*catalog.Route{r("short", "a.example", "/x/"), r("long", "a.example", "/x/y/"), r("other", "b.example", "/")}}
	require.NoError(t, tab.Prepare())
	for path, want := range map[string]string{"/x/": "short", "/x/y/z": "long", "/x/yz": "short", "/x": "", "/": ""} {
		got := tab.Match("A.example", path)
		if want == "" {
			assert.Nil(t, got, path)
			continue
		}
		assert.Equal(t, want, got.Name, path)
	}
	assert.Equal(t, "other", tab.Match("b.example", "/q").Name)
	assert.Nil(t, tab.Match("c.example", "/x/"))
}

func TestPrepareRejects(t *testing.T) {
	for name, r := range map[string]catalog.Route{
		"no host":     {Prefix: "/", Shards: []string{"s"}},
		"no slash":    {Host: "h", Prefix: "x/", Shards: []string{"s"}},
		"no services": {Host: "h", Prefix: "/"},
	} {
		assert.Error(t, (&catalog.Table{Routes: []*catalog.Route{&r}}).Prepare(), name)
	}
}

// TestForgottenRemovalsAreNotPassedOver guards against a follower that keeps a removed leaf,
// since it comes back with a cursor from before removals that are not known any more.
func TestForgottenRemovalsAreNotPassedOver(t *testing.T) {
	c := catalog.New()
	revision := uint64(0)
	change := func(id string, l *catalog.Leaf) {
		revision++
		c.Apply(0, &catalog.Update{From: revision - 1, AsOf: revision, Changes: []catalog.Change{{Key: id, Revision: revision, Leaf: l}}})
	}
	add := func(id string) {
		change(id, &catalog.Leaf{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 1})
	}
	add("a")
	cursor := c.Since(0, math.MaxInt).Sequence
	change("a", nil)
	require.Len(t, c.Since(cursor, math.MaxInt).Changes, 1)
	for i := range 9000 {
		id := fmt.Sprint("b", i)
		add(id)
		change(id, nil)
	}
	require.True(t, c.Since(cursor, math.MaxInt) == nil, "the removal of a is not known any more")
	p := c.Difference(1, math.MaxInt)
	require.False(t, slices.Contains(p.LeftOut, "a"))
	require.NotNil(t, c.Since(p.Sequence, math.MaxInt))
}

// TestInvalidLeafFromPeerIsNotUsed guards against entries that a peer passes on although they
// do not describe a leaf that can be used.
func TestInvalidLeafFromPeerIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(*catalog.Leaf){
		"port zero":    func(l *catalog.Leaf) { l.Address = "10.0.0.1:0" },
		"large port":   func(l *catalog.Leaf) { l.Address = "10.0.0.1:70000" },
		"large slots":  func(l *catalog.Leaf) { l.Slots = 1 << 40 },
		"long warm-up": func(l *catalog.Leaf) { l.WarmupLeft = 1 << 62 },
		"broken line":  func(l *catalog.Leaf) { l.ID = "a\r\nb" },
	} {
		c := catalog.New()
		c.Merge(0, []catalog.Change{leaf("a", 1, 1, 1, false), leaf("b", 1, 1, 1, false)}, 1)
		odd := leaf("a", 2, 2, 1, false)
		spoil(odd.Leaf)
		events := c.Merge(0, []catalog.Change{odd, leaf("b", 3, 2, 1, true)}, 3)
		require.NotEmpty(t, events[0].Ignored, name)
		require.Len(t, c.View().Leaves["s"], 1, name)
		require.True(t, c.View().Leaves["s"][0].Draining, "the valid entry is applied: %s", name)
		changes := c.Since(0, math.MaxInt).Changes
		require.Len(t, changes, 1, name)
	}
}
