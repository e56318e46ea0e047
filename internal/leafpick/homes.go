package leafpick

import (
	"math"
	"slices"
)

// Unbounded is the number of nodes that can keep connections to a leaf whose bound is
// not known.
const Unbounded = math.MaxInt32

// Homes reports at which leaves of a service this node may keep connections, where
// nodes[i] is the number of nodes that leaf i has room for. It deals the rooms of all
// leaves out to the nodes in turn, in the order of their names in the fleet, so that each
// node has a home while there are as many rooms as nodes. Where all services have the
// same rooms, the first nodes have homes in each of them. A node that joins or leaves
// moves few others. A node that does not share has no homes.
func (f *Fleet) Homes(nodes []int) []bool {
	homes := make([]bool, len(nodes))
	place, size := slices.Index(f.Names, f.Self), f.Size()
	if place < 0 {
		return homes
	}
	dealt := 0
	for i, rooms := range nodes {
		if rooms >= size {
			homes[i] = true
			continue
		}
		homes[i] = (place-dealt%size+size)%size < rooms
		dealt += rooms
	}
	return homes
}
