package snapshot

import (
	"slices"
	"time"
)

// maxSnapshots bounds the snapshots that one plan compares.
const maxSnapshots = 16

// Shard names the leaves that are replicas of one part of the index.
type Shard struct {
	Name   string
	Leaves []string
}

// CostFunc returns the cost of using a leaf now, and false if it can't be used.
type CostFunc func(leaf string) (cost float64, usable bool)

// Choice is one leaf of a plan.
type Choice struct {
	Leaf  string
	Shard string
	// Snapshot is the one to ask the leaf for; zero if none is pinned.
	Snapshot ID
	// Range is the part that the leaf is expected to cover; zero when unknown.
	Range Range
	// Known reports whether the leaf is known to hold the snapshot. If not, the
	// leaf is tried, since its refusal is cheap and tells what it holds.
	Known bool
	// index is the position of the shard.
	index int
}

// Plan is the snapshot of a query and the leaves that serve it.
type Plan struct {
	// Snapshot is pinned for the query; zero when no snapshot is known.
	Snapshot ID
	Choices  []Choice
	// Expected estimates the keys that Choices cover. It is for comparing
	// plans; the coverage of an answer comes from the leaves' answers alone.
	Expected uint32
	// Ask lists one leaf per shard to ask for its hold list. It is only set
	// when no snapshot is known.
	Ask []Choice
}

// candidate is one leaf while a plan is made.
type candidate struct {
	name   string
	shard  int
	cost   float64
	usable bool
	state  *leafState
}

// placed is a usable candidate with a known range.
type placed struct {
	index int
	r     Range
}

// planner holds the buffers of a plan, which are reused under the lock of the
// Knowledge.
type planner struct {
	now        time.Duration
	candidates []candidate
	ids        []ID
	placed     []placed
	unplaced   []int
	set        RangeSet
}

// Plan pins the newest snapshot of which usable leaves are known to hold the
// whole key space, or else the one with the best coverage, and chooses leaves
// whose ranges in that snapshot tile the key space.
func (k *Inventory) Plan(now time.Duration, shards []Shard, cost CostFunc) Plan {
	return k.planWithout(now, shards, cost, ID{})
}

// planWithout is Plan with one snapshot left out.
func (k *Inventory) planWithout(now time.Duration, shards []Shard, cost CostFunc, without ID) Plan {
	p := &k.scratch
	k.collect(now, shards, cost)
	best := Plan{}
	for _, id := range p.ids {
		if id.Same(without) {
			continue
		}
		expected := p.expected(id, len(shards))
		if expected > best.Expected {
			best.Snapshot = id
			best.Expected = expected
		}
		if best.Expected == KeySpace {
			break
		}
	}
	if best.Snapshot.IsZero() {
		best.Ask = p.cheapestPerShard(shards)
		return best
	}
	best.Choices = p.choose(best.Snapshot, shards)
	return best
}

// collect fills the candidates and the distinct snapshots they hold, the
// newest first.
func (k *Inventory) collect(now time.Duration, shards []Shard, cost CostFunc) {
	p := &k.scratch
	p.now = now
	p.candidates = p.candidates[:0]
	p.ids = p.ids[:0]
	for i, shard := range shards {
		for _, leaf := range shard.Leaves {
			c := candidate{name: leaf, shard: i, state: k.fresh(now, leaf)}
			c.cost, c.usable = cost(leaf)
			p.candidates = append(p.candidates, c)
			if c.usable && c.state != nil {
				p.addIDs(c.state.holds)
			}
		}
	}
}

// addIDs inserts snapshots in order and keeps the newest maxSnapshots.
func (p *planner) addIDs(holds []Held) {
	for i := range holds {
		id := holds[i].ID
		at := 0
		for at < len(p.ids) && p.ids[at].Newer(id) {
			at++
		}
		if at < len(p.ids) && p.ids[at].Same(id) {
			continue
		}
		p.ids = slices.Insert(p.ids, at, id)
		if len(p.ids) > maxSnapshots {
			p.ids = p.ids[:maxSnapshots]
		}
	}
}

// place splits the usable holders of id into those with a known range and one
// per shard without.
func (p *planner) place(id ID) {
	p.placed = p.placed[:0]
	p.unplaced = p.unplaced[:0]
	p.set.Reset()
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		p.placeShard(id, start, end)
		start = end
	}
}

// placeShard places the candidates [start, end) of one shard.
func (p *planner) placeShard(id ID, start, end int) {
	shared := p.sharedRange(id, start, end)
	unplaced := -1
	for i := start; i < end; i++ {
		c := &p.candidates[i]
		if !c.usable || c.state == nil {
			continue
		}
		held := c.state.find(id)
		if held == nil {
			continue
		}
		r := held.Range
		if !r.Valid() {
			r = shared
		}
		if r.Valid() {
			p.placed = append(p.placed, placed{index: i, r: r})
			p.set.Add(r)
			continue
		}
		if unplaced < 0 || c.cost < p.candidates[unplaced].cost {
			unplaced = i
		}
	}
	if unplaced >= 0 {
		p.unplaced = append(p.unplaced, unplaced)
	}
}

// sharedRange returns a range that any replica of a shard reported for id.
func (p *planner) sharedRange(id ID, start, end int) Range {
	for i := start; i < end; i++ {
		state := p.candidates[i].state
		if state == nil {
			continue
		}
		if held := state.find(id); held != nil && held.Range.Valid() {
			return held.Range
		}
	}
	return Range{}
}

// shardEnd returns the index after the last candidate of the shard at start.
func (p *planner) shardEnd(start int) int {
	end := start + 1
	for end < len(p.candidates) && p.candidates[end].shard == p.candidates[start].shard {
		end++
	}
	return end
}

// expected estimates how many keys the usable holders of id cover. A shard
// with an unknown range counts as an equal part of the key space.
func (p *planner) expected(id ID, shards int) uint32 {
	p.place(id)
	equalPart := (KeySpace + shards - 1) / shards
	return min(p.set.Count()+uint32(len(p.unplaced)*equalPart), KeySpace)
}

// possible is expected, counting shards whose leaves may hold id as well.
func (p *planner) possible(id ID, shards int) uint32 {
	keys := p.expected(id, shards)
	equalPart := (KeySpace + shards - 1) / shards
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		if p.trial(id, start, end) >= 0 {
			keys += uint32(equalPart)
		}
		start = end
	}
	return min(keys, KeySpace)
}
