package coverage

import (
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// Answer is the answer of one leaf.
type Answer struct {
	Leaf     string
	Shard    string
	Snapshot snapshot.ID
	// Range is the part of the key space that the leaf covered; zero if the
	// leaf did not report it.
	Range snapshot.Range
	Hits  []Hit
}

// partState is the state of a leaf call.
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
	// expected is the range that the leaf is expected to cover; zero if unknown.
	expected snapshot.Range
	state    partState
	reason   kind.Kind
}

// Collector merges the leaves' answers to one query on one pinned snapshot.
type Collector struct {
	pinned  snapshot.ID
	parts   []part
	index   map[string]int
	covered snapshot.RangeSet
	top     topHits
	pending int
	// withoutRange counts the answers whose range is unknown.
	withoutRange int
	// reachableKeys is the union of the covered ranges and the ranges that pending
	// calls are expected to cover. It is up to date if reachableValid is set.
	reachableKeys  *snapshot.RangeSet
	reachableValid bool
	// allReachable is set if a pending call has an unknown range.
	allReachable bool
}

// New returns a Collector that keeps at most limit hits. The expected number of
// leaf calls, leaves, determines the space that is allocated in advance.
func New(pinned snapshot.ID, limit, leaves int) *Collector {
	return &Collector{
		pinned: pinned,
		parts:  make([]part, 0, leaves),
		index:  make(map[string]int, leaves),
		top:    newTopHits(limit),
	}
}

// Pinned returns the pinned snapshot of the query.
func (c *Collector) Pinned() snapshot.ID { return c.pinned }

// Expect registers a call to a leaf as pending. A failed call that is registered
// again becomes pending again; otherwise a second registration has no effect.
func (c *Collector) Expect(leaf, shard string, expected snapshot.Range) {
	c.reachableValid = false
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

// Add merges an answer. It returns a kind.BadAnswer error and changes nothing if
// the answer is from another snapshot, comes from a leaf that was not called, or
// has a range outside the key space. A second answer of a leaf is ignored.
func (c *Collector) Add(a Answer) error {
	if err := c.validate(a); err != nil {
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
		c.reachableValid = false
	}
	if a.Range.Valid() {
		c.covered.Add(a.Range)
	} else {
		c.withoutRange++
	}
	for i := range a.Hits {
		c.top.add(a.Hits[i])
	}
	return nil
}

// validate returns an error if an answer can't be merged.
func (c *Collector) validate(a Answer) error {
	if c.pinned.IsZero() || !a.Snapshot.Same(c.pinned) {
		return kind.Errorf(kind.BadAnswer, "leaf %q answered from snapshot %q instead of the pinned snapshot %q",
			a.Leaf, a.Snapshot.Name, c.pinned.Name)
	}
	if _, called := c.index[a.Leaf]; !called {
		return kind.Errorf(kind.BadAnswer, "leaf %q answered but was not called", a.Leaf)
	}
	if a.Range != (snapshot.Range{}) && !a.Range.Valid() {
		return kind.Errorf(kind.BadAnswer, "leaf %q reported the invalid key range [%d,%d) in a key space of %d keys",
			a.Leaf, a.Range.From, a.Range.To, snapshot.KeySpace)
	}
	return nil
}

// Fail records that a pending call ended without an answer. A caller that retries
// on another leaf must call Expect for that leaf before the next Decide.
func (c *Collector) Fail(leaf string, reason kind.Kind) {
	i, known := c.index[leaf]
	if !known || c.parts[i].state != partPending {
		return
	}
	c.parts[i].state = partFailed
	c.parts[i].reason = reason
	c.pending--
	c.reachableValid = false
}

// reachable returns the greatest number of keys that the answers so far and the
// pending calls can cover.
func (c *Collector) reachable() uint32 {
	if !c.reachableValid {
		c.updateReachable()
		c.reachableValid = true
	}
	if c.allReachable {
		return snapshot.KeySpace
	}
	return c.reachableKeys.Count()
}

// updateReachable recomputes reachableKeys and allReachable.
func (c *Collector) updateReachable() {
	if c.reachableKeys == nil {
		c.reachableKeys = new(snapshot.RangeSet)
	}
	*c.reachableKeys = c.covered
	c.allReachable = false
	for i := range c.parts {
		p := &c.parts[i]
		if p.state != partPending {
			continue
		}
		if !p.expected.Valid() {
			c.allReachable = true
			return
		}
		c.reachableKeys.Add(p.expected)
	}
}
