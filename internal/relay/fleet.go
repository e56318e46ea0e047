package relay

import (
	"math"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// nonGathererShare is the fraction of the repeats and connections of gathered services that
	// the nodes that are not gatherers share; they gather themselves when no gatherer answers.
	nonGathererShare = 0.15
	// shardCost is the processor time that a gather takes for each shard, on one core.
	shardCost = 60 * time.Microsecond
	// maxGatherWork is the processor time of a gather, as it passes on a host with a fraction of
	// a core, above which the gather is divided among several nodes.
	maxGatherWork = 6 * time.Millisecond
	// minPartShards is the minimum number of shards for which a part of a gather is worth a
	// message to another node.
	minPartShards = 4
)

// Fleet is the set of live nodes that share the limits of leaves.
type Fleet struct {
	// All holds all nodes; they share the limits of services that are not gathered.
	All leafpick.Fleet
	// Gatherers holds the nodes that gather answers, also for other nodes that are much
	// smaller. They share the limits of gathered services, except for the part in
	// nonGathererShare.
	Gatherers leafpick.Fleet
	// Groups holds each gatherer once. It may be empty if no gather is divided.
	Groups []GatherGroup
}

// GatherGroup is a set of gatherers of one data centre. They divide a gather among each other if
// it would take one of them too long.
type GatherGroup struct {
	Members []Helper
	// Capacity is the capacity of the smallest member in hundredths of a core, or zero if it is
	// not known.
	Capacity uint32
}

// Parts returns the number of parts into which nodes of a capacity, in hundredths of a core,
// divide a gather from a number of shards.
func Parts(capacity uint32, shards int) int {
	if capacity == 0 || shards == 0 {
		return 1
	}
	work := time.Duration(shards) * shardCost * 100 / time.Duration(capacity)
	parts := int(math.Ceil(float64(work) / float64(maxGatherWork)))
	return max(min(parts, shards/minPartShards), 1)
}

// parts returns the number of parts into which the group divides a gather.
func (g *GatherGroup) parts(shards int) int { return min(Parts(g.Capacity, shards), len(g.Members)) }

// owner returns the index of the member that gathers from the shard at a position, if the gather
// is divided into parts.
func owner(position catalog.ShardPosition, parts int) int { return position.Rank % parts }

// equal reports whether two fleets consist of the same nodes and groups.
func (f *Fleet) equal(other *Fleet) bool {
	return slices.Equal(f.All.Names, other.All.Names) && slices.Equal(f.Gatherers.Names, other.Gatherers.Names) &&
		slices.EqualFunc(f.Groups, other.Groups, func(a, b GatherGroup) bool {
			return a.Capacity == b.Capacity && slices.Equal(a.Members, b.Members)
		})
}

// sharingNodes returns the nodes that share the limits of a service, and this node's fraction of
// the limits. position is the position of the service among the shards of a route, or nil if it is
// not gathered.
func (f *Fleet) sharingNodes(position *catalog.ShardPosition) (*leafpick.Fleet, float64) {
	if position == nil {
		return &f.All, 1 / float64(f.All.Size())
	}
	owners := f.owners(*position)
	others := len(f.All.Names) - len(owners.Names)
	switch {
	case others <= 0:
		return &f.All, 1 / float64(f.All.Size())
	case owners.IsMember():
		return owners, (1 - nonGathererShare) / float64(owners.Size())
	}
	return owners, nonGathererShare / float64(others)
}

// owners returns the gatherers that call the leaves of the shard at a position: one of each group
// that divides the gather, and all of the other groups.
func (f *Fleet) owners(position catalog.ShardPosition) *leafpick.Fleet {
	divided := func(g GatherGroup) bool { return g.parts(position.Of) > 1 }
	if !slices.ContainsFunc(f.Groups, divided) {
		return &f.Gatherers
	}
	owns := make(map[string]bool, len(f.Groups))
	for i := range f.Groups {
		g := &f.Groups[i]
		parts := g.parts(position.Of)
		if parts > 1 {
			owns[g.Members[owner(position, parts)].Name] = true
			continue
		}
		for _, m := range g.Members {
			owns[m.Name] = true
		}
	}
	// The order of the names must be the same on all nodes, and alternate between data centres.
	names := make([]string, 0, len(owns))
	for _, name := range f.Gatherers.Names {
		if owns[name] {
			names = append(names, name)
		}
	}
	owners := leafpick.NewFleet(f.Gatherers.Self, names)
	return &owners
}
