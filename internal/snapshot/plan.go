package snapshot

import (
	"slices"
	"time"
)

// maxSnapshots is the greatest number of snapshots that one plan compares.
const maxSnapshots = 16

// Shard is one part of the index with the leaves that are its replicas.
type Shard struct {
	Name   string
	Leaves []string
}

// CostFunc returns the cost of calling a leaf now, and false if the leaf can't be
// used.
type CostFunc func(leaf string) (cost float64, usable bool)

// Choice is one leaf of a plan.
type Choice struct {
	Leaf  string
	Shard string
	// Snapshot is the snapshot to request from the leaf; zero if none is pinned.
	Snapshot ID
	// Range is the part that the leaf is expected to cover; zero if unknown.
	Range Range
	// Known reports whether the leaf is known to hold the snapshot. If not, the
	// leaf is called speculatively, since a refusal is cheap and lists the
	// snapshots that the leaf holds.
	Known bool
	// index is the position of the shard in the list of shards.
	index int
}

// Plan is the snapshot of a query and the leaves that serve it.
type Plan struct {
	// Snapshot is the pinned snapshot of the query; zero if no snapshot is known.
	Snapshot ID
	Choices  []Choice
	// Expected is the estimated number of keys that the plan covers. It only
	// serves to compare plans: the coverage of an answer is determined by the
	// leaves' answers.
	Expected uint32
	// Refresh lists one leaf per shard to query for its held snapshots. It is only
	// set if no snapshot is known.
	Refresh []Choice
}

// candidate is a leaf that a plan may use.
type candidate struct {
	name   string
	shard  int
	cost   float64
	usable bool
	// state is nil if there is none or it has expired.
	state *leafState
}

// ranged is a usable candidate with a known range.
type ranged struct {
	index int
	r     Range
}

// planner holds the buffers of a plan. They are reused and are guarded by the lock
// of the Knowledge.
type planner struct {
	now        time.Duration
	candidates []candidate
	ids        []ID
	ranged     []ranged
	unranged   []int
	covered    RangeSet
}

// Plan pins the newest snapshot that usable leaves are known to hold in full, or
// else the snapshot with the greatest expected coverage. It chooses leaves whose
// ranges in that snapshot together cover the key space.
func (k *Inventory) Plan(now time.Duration, shards []Shard, cost CostFunc) Plan {
	return k.planExcluding(now, shards, cost, ID{})
}

// planExcluding is like Plan but does not consider the snapshot excluded.
func (k *Inventory) planExcluding(now time.Duration, shards []Shard, cost CostFunc, excluded ID) Plan {
	p := &k.scratch
	k.collect(now, shards, cost)
	best := Plan{}
	for _, id := range p.ids {
		if id.Same(excluded) {
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
		best.Refresh = p.cheapestPerShard(shards)
		return best
	}
	best.Choices = p.choose(best.Snapshot, shards)
	return best
}

// collect fills the planner with the candidates and with the distinct snapshots that
// usable candidates hold, the newest first.
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
				p.addIDs(c.state.snapshots)
			}
		}
	}
}

// addIDs inserts the snapshots of a list in order, the newest first, and keeps the
// newest maxSnapshots.
func (p *planner) addIDs(list []Held) {
	for i := range list {
		id := list[i].ID
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

// splitByRange fills ranged with the usable leaves that hold id with a known range,
// and unranged with the cheapest one of each shard that hold it with an unknown
// range.
func (p *planner) splitByRange(id ID) {
	p.ranged = p.ranged[:0]
	p.unranged = p.unranged[:0]
	p.covered.Reset()
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		p.splitShardByRange(id, start, end)
		start = end
	}
}

// splitShardByRange does the work of splitByRange for the candidates [start, end) of
// one shard.
func (p *planner) splitShardByRange(id ID, start, end int) {
	shared := p.shardRange(id, start, end)
	unranged := -1
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
			p.ranged = append(p.ranged, ranged{index: i, r: r})
			p.covered.Add(r)
			continue
		}
		if unranged < 0 || c.cost < p.candidates[unranged].cost {
			unranged = i
		}
	}
	if unranged >= 0 {
		p.unranged = append(p.unranged, unranged)
	}
}

// shardRange returns the range that the first replica of a shard with a known range
// reported for id, or zero if there is none.
func (p *planner) shardRange(id ID, start, end int) Range {
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

// expected estimates how many keys the usable leaves that hold id cover. A shard
// with an unknown range counts as an equal part of the key space.
func (p *planner) expected(id ID, shards int) uint32 {
	p.splitByRange(id)
	equalPart := (KeySpace + shards - 1) / shards
	return min(p.covered.Count()+uint32(len(p.unranged)*equalPart), KeySpace)
}

// reachable is like expected but also counts the shards that have a leaf to call
// speculatively.
func (p *planner) reachable(id ID, shards int) uint32 {
	keys := p.expected(id, shards)
	equalPart := (KeySpace + shards - 1) / shards
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		if p.speculativeLeaf(id, start, end) >= 0 {
			keys += uint32(equalPart)
		}
		start = end
	}
	return min(keys, KeySpace)
}
