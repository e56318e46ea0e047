package leafpick

import (
	"math"
	"slices"
)

// Fleet is the set of nodes that share the bounds of leaves. NewFleet makes one.
type Fleet struct {
	// Self is this node.
	Self string
	// Names are the live nodes that share, in an order that all nodes compute alike. If
	// this one is not among them, it has no part.
	Names []string
	// place is the place of this node in Names, and -1 if it does not share.
	place int
}

// NewFleet returns the fleet of some nodes as one of them, or another one, sees it.
func NewFleet(self string, names []string) Fleet {
	return Fleet{Self: self, Names: names, place: slices.Index(names, self)}
}

// Size returns the number of nodes, at least 1.
func (f *Fleet) Size() int { return max(len(f.Names), 1) }

// Shares reports whether this node is one of those that share.
func (f *Fleet) Shares() bool { return f.place >= 0 }

// Unbounded is the number of nodes that can keep connections to a leaf whose bound is
// not known.
const Unbounded = math.MaxInt32

// Home reports whether this node may keep connections to the i-th leaf of a service whose
// leaves each have room for those of some nodes. The rooms of all leaves are dealt out to
// the nodes in turn, in the order of their names in the fleet, so that each node has a
// home while there are as many rooms as nodes. Where all services have the same rooms,
// the first nodes have homes in each of them. A node that joins or leaves moves few
// others. A node that does not share has no homes.
func (f *Fleet) Home(i, rooms int) bool {
	size := f.Size()
	switch {
	case !f.Shares():
		return false
	case rooms >= size:
		return true
	}
	return (f.place-i*rooms%size+size)%size < rooms
}
