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

// muchLarger is how many times the capacity of another node must be that of this one
// for it to gather for this one.
const muchLarger = 2

// sharing is what decides on how the bounds of leaves are shared out.
type sharing struct {
	// order serializes the steps from a decision to its effect.
	order sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// nodes are the nodes that share, this one first.
	nodes []member.Member
	// room is the number of nodes that can keep connections to leaves of all shards.
	room int
}

func (s *sharing) set(nodes []member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = nodes
}

// setRoom takes the room of a new view, and reports whether that changes anything.
func (s *sharing) setRoom(room int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := min(room, len(s.nodes)) != min(s.room, len(s.nodes))
	s.room = room
	return changed
}

func (s *sharing) get() (nodes []member.Member, room int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes, s.room
}

// shareBounds shares the bounds of leaves out among the nodes.
func (n *Node) shareBounds() {
	n.sharing.order.Lock()
	defer n.sharing.order.Unlock()
	nodes, room := n.sharing.get()
	fleet, helpers, minShards := shareOut(nodes, room)
	n.logger.Info("bounds shared out", zap.Int("nodes", len(fleet.All.Names)), zap.Int("gatherers", len(fleet.Gatherers.Names)),
		zap.Int("room", room), zap.Int("helpers", len(helpers)))
	n.backends.SetFleet(fleet)
	n.handler.SetHelpers(helpers, minShards)
}

// shareOut returns the nodes that share the bounds of leaves, and the peers that make
// gathers of at least minShards shards for the first node. Nodes gather for those of their
// zone that are much smaller than its largest node and, where there are more nodes than
// can keep connections to leaves of all shards, for those without. A zone in which no node
// gathers turns to all that do.
func shareOut(nodes []member.Member, room int) (fleet *relay.Fleet, helpers []relay.Helper, minShards int) {
	self := &nodes[0]
	largest := map[string]uint32{}
	for _, m := range nodes {
		largest[m.DataCentre] = max(largest[m.DataCentre], m.Record.Capacity)
	}
	nodes = interleaved(nodes)
	large := slices.DeleteFunc(slices.Clone(nodes), func(m member.Member) bool {
		most := largest[m.DataCentre]
		return muchLarger*m.Record.Capacity <= most && most > 0
	})
	gatherers := large[:min(len(large), room)]
	fleet = &relay.Fleet{
		All:       leafpick.NewFleet(self.Name, names(nodes)),
		Gatherers: leafpick.NewFleet(self.Name, names(gatherers)),
	}
	if fleet.Gatherers.IsMember() {
		return fleet, nil, 0
	}
	minShards = relay.MinDelegatedShards
	if slices.Contains(names(large), self.Name) {
		minShards = 1
	}
	return fleet, helpersOf(self.DataCentre, gatherers), minShards
}

// helpersOf returns the gatherers that a zone turns to.
func helpersOf(zone string, gatherers []member.Member) []relay.Helper {
	anyZone := !slices.ContainsFunc(gatherers, func(m member.Member) bool { return m.DataCentre == zone })
	var helpers []relay.Helper
	for _, m := range gatherers {
		if m.State == member.Alive && (anyZone || m.DataCentre == zone) {
			helpers = append(helpers, relay.Helper{Name: m.Name, Address: m.Address})
		}
	}
	return helpers
}

// interleaved returns the nodes in an order that all nodes compute alike, with those of
// each zone spread over it.
func interleaved(nodes []member.Member) []member.Member {
	type placed struct {
		*member.Member
		weight uint64
	}
	zones := map[string][]placed{}
	for i := range nodes {
		m := &nodes[i]
		zones[m.DataCentre] = append(zones[m.DataCentre], placed{Member: m, weight: rendezvous.Weight(m.Name)})
	}
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b placed) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.Name, b.Name))
		})
	}
	order := slices.Sorted(maps.Keys(zones))
	sorted := make([]member.Member, 0, len(nodes))
	for round := 0; len(sorted) < len(nodes); round++ {
		for _, name := range order {
			if zone := zones[name]; round < len(zone) {
				sorted = append(sorted, *zone[round].Member)
			}
		}
	}
	return sorted
}

func names(nodes []member.Member) []string {
	list := make([]string, 0, len(nodes))
	for _, m := range nodes {
		list = append(list, m.Name)
	}
	return list
}
