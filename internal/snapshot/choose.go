package snapshot

import (
	"cmp"
	"slices"
)

// choose returns leaves whose ranges in id tile the key space. Where ranges
// are not known to cover all of it, one leaf of each shard with an unknown
// range is added.
func (p *planner) choose(id ID, shards []Shard) []Choice {
	p.place(id)
	choices := make([]Choice, 0, len(shards))
	choices = p.appendTiles(choices, id, shards)
	if p.set.Full() {
		return choices
	}
	for _, i := range p.unplaced {
		choices = append(choices, p.choice(id, i, shards, Range{}, true))
	}
	return p.appendTrials(choices, id, shards)
}

// appendTiles covers the key space from the left, each time with the leaf that
// reaches furthest. This takes the fewest leaves, and of a set of tiles with
// replicas it takes each tile once.
func (p *planner) appendTiles(choices []Choice, id ID, shards []Shard) []Choice {
	slices.SortFunc(p.placed, func(a, b placed) int { return cmp.Compare(a.r.From, b.r.From) })
	next := 0
	position := uint32(0)
	furthest := placed{index: -1}
	for position < KeySpace {
		for next < len(p.placed) && p.placed[next].r.From <= position {
			if p.better(p.placed[next], furthest) {
				furthest = p.placed[next]
			}
			next++
		}
		if furthest.r.To > position {
			choices = append(choices, p.choice(id, furthest.index, shards, furthest.r, true))
			position = furthest.r.To
			continue
		}
		if next == len(p.placed) {
			break
		}
		position = p.placed[next].r.From
	}
	return choices
}

// better reports whether a reaches further than b, or overlaps less, or costs
// less.
func (p *planner) better(a, b placed) bool {
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

// appendTrials adds one leaf of each shard of which no usable leaf is known to
// hold id, if what a leaf of it holds now is not known.
func (p *planner) appendTrials(choices []Choice, id ID, shards []Shard) []Choice {
	for start := 0; start < len(p.candidates); {
		end := p.shardEnd(start)
		if trial := p.trial(id, start, end); trial >= 0 {
			choices = append(choices, p.choice(id, trial, shards, Range{}, false))
		}
		start = end
	}
	return choices
}

// trial returns the cheapest leaf of a shard to try, or -1 when a usable leaf
// is known to hold id or every leaf was just known not to.
func (p *planner) trial(id ID, start, end int) int {
	trial := -1
	for i := start; i < end; i++ {
		c := &p.candidates[i]
		if !c.usable {
			continue
		}
		if c.state != nil {
			if c.state.find(id) != nil {
				return -1
			}
			if p.now-c.state.learnt < trialAge {
				continue
			}
		}
		if trial < 0 || c.cost < p.candidates[trial].cost {
			trial = i
		}
	}
	return trial
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

// choice describes candidate i for a snapshot.
func (p *planner) choice(id ID, i int, shards []Shard, r Range, known bool) Choice {
	c := &p.candidates[i]
	return Choice{
		Leaf: c.name, Shard: shards[c.shard].Name, Snapshot: id, Range: r, Known: known, index: c.shard,
	}
}
