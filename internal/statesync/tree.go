package statesync

import (
	"cmp"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

const (
	// fanOut is the number of nodes that follow one node.
	fanOut = 4
	// rootSpares is the number of its children that a root may follow.
	rootSpares = 2
)

// Node is a live node of the fleet.
type Node struct {
	Name       string
	Address    string
	DataCentre string
}

// ranked is a node with its weight in the order of its zone.
type ranked struct {
	Node
	weight uint64
}

func rank(n Node) ranked { return ranked{Node: n, weight: rendezvous.Weight(n.Name)} }

// Upstream returns the addresses of the nodes that self follows, best first, and
// whether self is the root of its zone, which follows the store before any of them.
// Every node of a zone computes the same tree from the same nodes.
func Upstream(self Node, nodes []Node) (addresses []string, root bool) {
	zones := map[string][]ranked{self.DataCentre: {rank(self)}}
	for _, n := range nodes {
		if n.Name != self.Name {
			zones[n.DataCentre] = append(zones[n.DataCentre], rank(n))
		}
	}
	for _, members := range zones {
		slices.SortFunc(members, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.Name, b.Name))
		})
	}
	own := zones[self.DataCentre]
	place := slices.IndexFunc(own, func(n ranked) bool { return n.Name == self.Name })
	for at := place; at > 0; {
		at = (at - 1) / fanOut
		addresses = append(addresses, own[at].Address)
	}
	names := make([]string, 0, len(zones))
	for zone := range zones {
		if zone != self.DataCentre {
			names = append(names, zone)
		}
	}
	// Different nodes turn to different zones first.
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(self.Name, a), rendezvous.Weight(self.Name, b))
	})
	for _, zone := range names {
		addresses = append(addresses, zones[zone][0].Address)
	}
	if place == 0 {
		// The children of a root may reach the store when it does not.
		for _, n := range own[1:min(len(own), 1+rootSpares)] {
			addresses = append(addresses, n.Address)
		}
	}
	return addresses, place == 0
}
