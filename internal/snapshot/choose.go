package snapshot

import (
	"cmp"
	"slices"
)

// choose returns leaves whose ranges in id together cover the key space. If the
// known ranges do not cover all of it, one leaf of each shard with an unknown range
// is added, and one of each shard with a leaf to call speculatively.
func (p *planner) choose(id ID, shards []Shard) []Choice {
	p.splitByRange(id)
	choices := make([]Choice, 0, len(shards))
	choices = p.appendTiles(choices, id, shards)
	if p.covered.Full() {
		return choices
	}
	for _, i := range p.unranged {
		choices = append(choices, p.choice(id, i, shards, Range{}, true))
	}
	return p.appendSpeculative(choices, id, shards)
}

// appendTiles covers the key space from the left with a greedy algorithm that takes
// the leaf whose range extends furthest at each step. This uses the fewest leaves,
// and uses each range once if several replicas have the same ranges.
func (p *planner) appendTiles(choices []Choice, id ID, shards []Shard) []Choice {
	slices.SortFunc(p.ranged, func(a, b ranged) int { return cmp.Compare(a.r.From, b.r.From) })
	next := 0
	position := uint32(0)
	furthest := ranged{index: -1}
	for position < KeySpace {
		for next < len(p.ranged) && p.ranged[next].r.From <= position {
			if p.better(p.ranged[next], furthest) {
				furthest = p.ranged[next]
			}
			next++
		}
		if furthest.r.To > position {
			choices = append(choices, p.choice(id, furthest.index, shards, furthest.r, true))
			position = furthest.r.To
			continue
		}
		if next == len(p.ranged) {
			break
		}
		position = p.ranged[next].r.From
	}
	return choices
}

// better reports whether a is preferred to b: because its range extends further,
// then because it overlaps less with the ranges before, then because it costs less.
func (p *planner) better(a, b ranged) bool {
	if b.index < 0 {
		return true
	}
	if a.r.To != b.r.To {
		return a.r.To > b.r.To
	}
	if a.r.From != b.r.From {
		return a.r.From > b.r.From
	}
	return p.candidates[a.index].cost < p.candidates[b.index].cost
}

// appendSpeculative adds the speculative leaf of each shard that has one.
func (p *planner) appendSpeculative(choices []Choice, id ID, shards []Shard) []Choice {
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		if speculativeLeaf := p.speculativeLeaf(id, start, end); speculativeLeaf >= 0 {
			choices = append(choices, p.choice(id, speculativeLeaf, shards, Range{}, false))
		}
		start = end
	}
	return choices
}

// speculativeLeaf returns the cheapest leaf of a shard to call for id although it is
// not known to hold it. It returns -1 if a usable leaf of the shard is known to hold
// id, or if all usable leaves have reported within speculationAge that they do not.
func (p *planner) speculativeLeaf(id ID, start, end int) int {
	speculativeLeaf := -1
	for i := start; i < end; i++ {
		c := &p.candidates[i]
		if !c.usable {
			continue
		}
		if c.state != nil {
			if c.state.find(id) != nil {
				return -1
			}
			if p.now-c.state.lastReport < speculationAge {
				continue
			}
		}
		if speculativeLeaf < 0 || c.cost < p.candidates[speculativeLeaf].cost {
			speculativeLeaf = i
		}
	}
	return speculativeLeaf
}

// cheapestPerShard returns the cheapest usable leaf of each shard.
func (p *planner) cheapestPerShard(shards []Shard) []Choice {
	var choices []Choice
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		best := -1
		for i := start; i < end; i++ {
			c := &p.candidates[i]
			if c.usable && (best < 0 || c.cost < p.candidates[best].cost) {
				best = i
			}
		}
		if best >= 0 {
			choices = append(choices, p.choice(ID{}, best, shards, Range{}, false))
		}
		start = end
	}
	return choices
}

// choice returns the choice of candidate i for a snapshot.
func (p *planner) choice(id ID, i int, shards []Shard, r Range, known bool) Choice {
	c := &p.candidates[i]
	return Choice{
		Leaf: c.name, Shard: shards[c.shard].Name, Snapshot: id, Range: r, Known: known, index: c.shard,
	}
}
