package coverage

import (
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// Answer is what one leaf returned.
type Answer struct {
	Leaf     string
	Shard    string
	Snapshot snapshot.ID
	// Range is the part of the key space that the leaf covered; zero if the
	// leaf did not say.
	Range snapshot.Range
	Hits  []Hit
}

// partState is how far a leaf call has come.
type partState uint8

const (
	partPending partState = iota
	partAnswered
	partFailed
)

// part is one expected leaf call.
type part struct {
	leaf  string
	shard string
	// expected is the range that the leaf is expected to cover, zero if unknown.
	expected snapshot.Range
	state    partState
	reason   kind.Kind
}

// Collector merges the answers to one query on one pinned snapshot.
type Collector struct {
	pinned  snapshot.ID
	parts   []part
	index   map[string]int
	covered snapshot.RangeSet
	top     topHits
	pending int
	// unplaced counts the answers whose range is not known.
	unplaced int
	// reach is the union of what is covered and what pending calls may cover.
	reach      *snapshot.RangeSet
	reachValid bool
	reachAll   bool
}

// New returns a Collector for a query of about leaves leaf calls that keeps at
// most limit hits.
func New(pinned snapshot.ID, limit, leaves int) *Collector {
	return &Collector{
		pinned: pinned,
		parts:  make([]part, 0, leaves),
		index:  make(map[string]int, leaves),
		top:    newTopHits(limit),
	}
}

// Pinned returns the snapshot of the query.
func (c *Collector) Pinned() snapshot.ID { return c.pinned }

// Expect announces a call of a leaf. A call announced again is pending again.
func (c *Collector) Expect(leaf, shard string, expected snapshot.Range) {
	c.reachValid = false
	if !expected.Valid() {
		expected = snapshot.Range{}
	}
	if i, known := c.index[leaf]; known {
		if c.parts[i].state == partFailed {
			c.parts[i].state = partPending
			c.pending++
		}
		return
	}
	c.index[leaf] = len(c.parts)
	c.parts = append(c.parts, part{leaf: leaf, shard: shard, expected: expected})
	c.pending++
}

// Add merges an answer. It returns a kind.BadAnswer error and changes nothing
// when the answer is of another snapshot, of a leaf that was not called, or
// has a range outside of the key space. A second answer of a leaf is ignored.
func (c *Collector) Add(a Answer) error {
	if err := c.check(a); err != nil {
		return err
	}
	p := &c.parts[c.index[a.Leaf]]
	if p.state == partAnswered {
		return nil
	}
	if p.state == partPending {
		c.pending--
	}
	p.state = partAnswered
	if a.Range != p.expected {
		c.reachValid = false
	}
	if a.Range.Valid() {
		c.covered.Add(a.Range)
	} else {
		c.unplaced++
	}
	for i := range a.Hits {
		c.top.add(a.Hits[i])
	}
	return nil
}

// check reports why an answer can't be merged.
func (c *Collector) check(a Answer) error {
	if c.pinned.IsZero() || !a.Snapshot.Same(c.pinned) {
		return kind.Errorf(kind.BadAnswer, "leaf %q answered from snapshot %q, pinned is %q",
			a.Leaf, a.Snapshot.Name, c.pinned.Name)
	}
	if _, called := c.index[a.Leaf]; !called {
		return kind.Errorf(kind.BadAnswer, "leaf %q answered without a call", a.Leaf)
	}
	if a.Range != (snapshot.Range{}) && !a.Range.Valid() {
		return kind.Errorf(kind.BadAnswer, "leaf %q covers keys [%d,%d) of a key space of %d",
			a.Leaf, a.Range.From, a.Range.To, snapshot.KeySpace)
	}
	return nil
}

// Fail records that a pending call ended without an answer. A caller that
// tries another leaf instead must call Expect for it before the next Decide.
func (c *Collector) Fail(leaf string, reason kind.Kind) {
	i, known := c.index[leaf]
	if !known || c.parts[i].state != partPending {
		return
	}
	c.parts[i].state = partFailed
	c.parts[i].reason = reason
	c.pending--
	c.reachValid = false
}

// reachable returns how many keys can be covered at most by the answers so far
// and the pending calls.
func (c *Collector) reachable() uint32 {
	if !c.reachValid {
		c.updateReach()
		c.reachValid = true
	}
	if c.reachAll {
		return snapshot.KeySpace
	}
	return c.reach.Count()
}

// updateReach recomputes the union of covered and pending ranges.
func (c *Collector) updateReach() {
	if c.reach == nil {
		c.reach = new(snapshot.RangeSet)
	}
	*c.reach = c.covered
	c.reachAll = false
	for i := range c.parts {
		p := &c.parts[i]
		if p.state != partPending {
			continue
		}
		if !p.expected.Valid() {
			c.reachAll = true
			return
		}
		c.reach.Add(p.expected)
	}
}
