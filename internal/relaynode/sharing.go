package relaynode

import (
	"cmp"
	"maps"
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

func (s *sharing) get() (nodes []member.Member, maxGatherers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes, s.maxGatherers
}

// updateSharing divides the limits of leaves among the nodes.
func (n *Node) updateSharing() {
	n.sharing.updateMu.Lock()
	defer n.sharing.updateMu.Unlock()
	nodes, maxGatherers := n.sharing.get()
	fleet, helpers, minShards := assignGatherers(nodes, maxGatherers)
	n.logger.Info("bounds shared out", zap.Int("nodes", len(fleet.All.Names)), zap.Int("gatherers", len(fleet.Gatherers.Names)),
		zap.Int("room", maxGatherers), zap.Int("helpers", len(helpers)))
	n.services.SetFleet(fleet)
	n.handler.SetHelpers(helpers, minShards)
}

// assignGatherers returns the nodes that share the limits of leaves, and the helpers, that
// is, the peers to which the first node delegates gathers of at least minShards shards.
// Nodes delegate if they are much smaller than the largest node of their data centre, or if
// there are more nodes than can keep connections to leaves of all shards. They delegate to
// gatherers of their own data centre, or to all gatherers if it has none.
func assignGatherers(nodes []member.Member, maxGatherers int) (fleet *relay.Fleet, helpers []relay.Helper, minShards int) {
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
	gatherers := large[:min(len(large), maxGatherers)]
	fleet = &relay.Fleet{
		All:       leafpick.NewFleet(self.Name, nodeNames(nodes)),
		Gatherers: leafpick.NewFleet(self.Name, nodeNames(gatherers)),
	}
	if fleet.Gatherers.IsMember() {
		return fleet, nil, 0
	}
	minShards = relay.MinDelegatedShards
	if slices.Contains(nodeNames(large), self.Name) {
		minShards = 1
	}
	return fleet, helpersOf(self.DataCentre, gatherers), minShards
}

// helpersOf returns the gatherers to which the nodes of a data centre delegate.
func helpersOf(dataCentre string, gatherers []member.Member) []relay.Helper {
	anyDataCentre := !slices.ContainsFunc(gatherers, func(m member.Member) bool { return m.DataCentre == dataCentre })
	var helpers []relay.Helper
	for _, m := range gatherers {
		if m.State == member.Alive && (anyDataCentre || m.DataCentre == dataCentre) {
			helpers = append(helpers, relay.Helper{Name: m.Name, Address: m.Address})
		}
	}
	return helpers
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
