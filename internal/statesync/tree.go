package statesync

import (
	"cmp"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

const (
	// fanOut is the maximum number of children of a node in the tree.
	fanOut = 4
	// rootFallbacks is the number of its children that a root may follow.
	rootFallbacks = 2
)

// Node is a live node of the fleet.
type Node struct {
	Name       string
	Address    string
	DataCentre string
}

// rankedNode is a node with the weight that orders the nodes of its data centre.
type rankedNode struct {
	Node
	weight uint64
}

func rank(n Node) rankedNode { return rankedNode{Node: n, weight: rendezvous.Weight(n.Name)} }

// Upstream returns the addresses of the nodes that self may follow, best first, and
// whether self is the root of its data centre. A root prefers the store to all of them.
// All nodes of a data centre compute the same tree from the same nodes.
func Upstream(self Node, nodes []Node) (addresses []string, root bool) {
	byDataCentre := map[string][]rankedNode{self.DataCentre: {rank(self)}}
	for _, n := range nodes {
		if n.Name != self.Name {
			byDataCentre[n.DataCentre] = append(byDataCentre[n.DataCentre], rank(n))
		}
	}
	for _, members := range byDataCentre {
		slices.SortFunc(members, func(a, b rankedNode) int {
			return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.Name, b.Name))
		})
	}
	local := byDataCentre[self.DataCentre]
	index := slices.IndexFunc(local, func(n rankedNode) bool { return n.Name == self.Name })
	for i := index; i > 0; {
		i = (i - 1) / fanOut
		addresses = append(addresses, local[i].Address)
	}
	otherDataCentres := make([]string, 0, len(byDataCentre))
	for dataCentre := range byDataCentre {
		if dataCentre != self.DataCentre {
			otherDataCentres = append(otherDataCentres, dataCentre)
		}
	}
	// Different nodes try the other data centres in different orders.
	slices.SortFunc(otherDataCentres, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(self.Name, a), rendezvous.Weight(self.Name, b))
	})
	for _, dataCentre := range otherDataCentres {
		addresses = append(addresses, byDataCentre[dataCentre][0].Address)
	}
	if index == 0 {
		// The children of a root may reach the store when the root does not.
		for _, n := range local[1:min(len(local), 1+rootFallbacks)] {
			addresses = append(addresses, n.Address)
		}
	}
	return addresses, index == 0
}
