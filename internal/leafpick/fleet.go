package leafpick

import (
	"math"
	"slices"
)

// Fleet is the set of nodes that share the limits of leaves. It is created with NewFleet.
type Fleet struct {
	// Self is this node.
	Self string
	// Names are the live nodes that share the limits, in an order that is the same on all
	// nodes. A node that is not among them has no share of the limits.
	Names []string
	// index is the position of this node in Names, or -1 if it is not among them.
	index int
}

// NewFleet returns the fleet of the named nodes as seen by self, which need not be one of
// them.
func NewFleet(self string, names []string) Fleet {
	return Fleet{Self: self, Names: names, index: slices.Index(names, self)}
}

// Size returns the number of nodes in the fleet, at least 1.
func (f *Fleet) Size() int { return max(len(f.Names), 1) }

// IsMember reports whether this node is one of those that share the limits.
func (f *Fleet) IsMember() bool { return f.index >= 0 }

// Unbounded is the number of nodes that can keep connections to a leaf whose connection
// limit is unknown.
const Unbounded = math.MaxInt32

// Assigned reports whether this node may keep connections to the i-th leaf of a service whose
// leaves each accept connections from nodesPerLeaf nodes. Leaves are assigned to nodes
// round-robin, in the order of the names in the fleet, so that each node has at least one
// leaf if the leaves together accept as many nodes as the fleet has. If all services have
// the same capacity, the first nodes have leaves in each of them. When a node joins or
// leaves, the assignments of few others change. A node that is not one of the fleet's has
// no leaves.
func (f *Fleet) Assigned(i, nodesPerLeaf int) bool {
	size := f.Size()
	switch {
	case !f.IsMember():
		return false
	case nodesPerLeaf >= size:
		return true
	}
	return (f.index-i*nodesPerLeaf%size+size)%size < nodesPerLeaf
}
