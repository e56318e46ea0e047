package relaynode

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

// delegationRatio is how many times the capacity of a node the largest node of its data
// centre must have for the node to delegate gathers.
const delegationRatio = 2

// sharing holds what determines how the limits of leaves are divided among the nodes.
type sharing struct {
	// updateMu serializes updates, each from its computation until it is applied.
	updateMu sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// nodes are the nodes that share the limits, this one first.
	nodes []member.Member
	// maxGatherers is the number of nodes that can keep connections to leaves of all
	// shards.
	maxGatherers int
	// maxShards is the largest number of shards of a route.
	maxShards int
}

func (s *sharing) set(nodes []member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = nodes
}

// setMaxGatherers sets maxGatherers, and reports whether that can change which nodes gather.
func (s *sharing) setMaxGatherers(maxGatherers int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := min(maxGatherers, len(s.nodes)) != min(s.maxGatherers, len(s.nodes))
	s.maxGatherers = maxGatherers
	return changed
}

func (s *sharing) get() (nodes []member.Member, maxGatherers, maxShards int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes, s.maxGatherers, s.maxShards
}

// setMaxShards sets maxShards, and reports whether it has changed.
func (s *sharing) setMaxShards(maxShards int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.maxShards != maxShards
	s.maxShards = maxShards
	return changed
}

// updateSharing divides the limits of leaves among the nodes.
func (n *Node) updateSharing() {
	n.sharing.updateMu.Lock()
	defer n.sharing.updateMu.Unlock()
	nodes, maxGatherers, maxShards := n.sharing.get()
	fleet, delegation := assignGatherers(nodes, maxGatherers, maxShards)
	n.logger.Info("bounds shared out", zap.Int("nodes", len(fleet.All.Names)), zap.Int("gatherers", len(fleet.Gatherers.Names)),
		zap.Int("groups", len(fleet.Groups)), zap.Int("room", maxGatherers), zap.Int("helpers", delegation.Helpers()))
	n.services.SetFleet(fleet)
	n.handler.SetDelegation(delegation)
}

// assignGatherers returns the nodes that share the limits of leaves, and the groups of gatherers
// to which the first node delegates gathers. Nodes delegate if they are much smaller than the
// largest node of their data centre, or if there are more groups than can keep connections to
// leaves of all shards. They delegate to gatherers of their own data centre, or to all gatherers if
// it has none. Gatherers delegate parts to the other members of their group if gathers are
// divided.
func assignGatherers(nodes []member.Member, maxGroups, maxShards int) (*relay.Fleet, relay.Delegation) {
	self := &nodes[0]
	maxCapacities := map[string]uint32{}
	for _, m := range nodes {
		maxCapacities[m.DataCentre] = max(maxCapacities[m.DataCentre], m.Record.Capacity)
	}
	nodes = interleaved(nodes)
	large := slices.DeleteFunc(slices.Clone(nodes), func(m member.Member) bool {
		maxCapacity := maxCapacities[m.DataCentre]
		return delegationRatio*m.Record.Capacity <= maxCapacity && maxCapacity > 0
	})
	groups := gatherGroups(large, maxShards)
	groups = groups[:min(len(groups), maxGroups)]
	fleet := &relay.Fleet{All: leafpick.NewFleet(self.Name, nodeNames(nodes))}
	var gatherers []member.Member
	var own []relay.GatherGroup
	for _, g := range groups {
		gatherers = append(gatherers, g...)
		fleet.Groups = append(fleet.Groups, groupOf(g))
		if slices.Contains(nodeNames(g), self.Name) {
			own = fleet.Groups[len(fleet.Groups)-1:]
		}
	}
	fleet.Gatherers = leafpick.NewFleet(self.Name, nodeNames(interleaved(gatherers)))
	delegation := relay.Delegation{Groups: own, Alive: map[string]bool{}}
	for _, m := range gatherers {
		delegation.Alive[m.Name] = m.State == member.Alive
	}
	if own != nil {
		delegation.Self = self.Name
		return fleet, delegation
	}
	delegation.MinShards = relay.MinDelegatedShards
	if slices.Contains(nodeNames(large), self.Name) {
		delegation.MinShards = 1
	}
	delegation.Groups = groupsFor(self.DataCentre, groups)
	return fleet, delegation
}

// gatherGroups divides the nodes of each data centre into groups whose members divide gathers from
// maxShards shards among each other. The order of the groups alternates between the data centres.
func gatherGroups(nodes []member.Member, maxShards int) [][]member.Member {
	byDataCentre := map[string][]member.Member{}
	for _, m := range nodes {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	grouped := map[string][][]member.Member{}
	rounds := 0
	for dataCentre, members := range byDataCentre {
		// All nodes of the data centre are about as large as the largest one.
		capacity := slices.MaxFunc(members, func(a, b member.Member) int { return cmp.Compare(a.Record.Capacity, b.Record.Capacity) }).Record.Capacity
		groups := make([][]member.Member, max(len(members)/relay.Parts(capacity, maxShards), 1))
		for i, m := range members {
			groups[i%len(groups)] = append(groups[i%len(groups)], m)
		}
		grouped[dataCentre] = groups
		rounds = max(rounds, len(groups))
	}
	dataCentres := slices.Sorted(maps.Keys(grouped))
	var result [][]member.Member
	for round := range rounds {
		for _, dataCentre := range dataCentres {
			if round < len(grouped[dataCentre]) {
				result = append(result, grouped[dataCentre][round])
			}
		}
	}
	return result
}

// groupOf returns the members of a group as helpers.
func groupOf(members []member.Member) relay.GatherGroup {
	g := relay.GatherGroup{Capacity: math.MaxUint32}
	for _, m := range members {
		g.Members = append(g.Members, relay.Helper{Name: m.Name, Address: m.Address})
		g.Capacity = min(g.Capacity, m.Record.Capacity)
	}
	return g
}

// groupsFor returns the groups to which the nodes of a data centre delegate: those of the data
// centre, or all if it has none.
func groupsFor(dataCentre string, groups [][]member.Member) []relay.GatherGroup {
	var local, all []relay.GatherGroup
	for _, members := range groups {
		g := groupOf(members)
		all = append(all, g)
		if members[0].DataCentre == dataCentre {
			local = append(local, g)
		}
	}
	if local == nil {
		return all
	}
	return local
}

// interleaved returns the nodes in an order that is the same on all nodes and that
// alternates between the data centres.
func interleaved(nodes []member.Member) []member.Member {
	type rankedMember struct {
		*member.Member
		weight uint64
	}
	byDataCentre := map[string][]rankedMember{}
	for i := range nodes {
		m := &nodes[i]
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], rankedMember{Member: m, weight: rendezvous.Weight(m.Name)})
	}
	for _, members := range byDataCentre {
		slices.SortFunc(members, func(a, b rankedMember) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.Name, b.Name))
		})
	}
	dataCentres := slices.Sorted(maps.Keys(byDataCentre))
	result := make([]member.Member, 0, len(nodes))
	for round := 0; len(result) < len(nodes); round++ {
		for _, dataCentre := range dataCentres {
			if members := byDataCentre[dataCentre]; round < len(members) {
				result = append(result, *members[round].Member)
			}
		}
	}
	return result
}

func nodeNames(nodes []member.Member) []string {
	list := make([]string, 0, len(nodes))
	for _, m := range nodes {
		list = append(list, m.Name)
	}
	return list
}
