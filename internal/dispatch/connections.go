package dispatch

import "github.com/redwingshelf/redwingshelf/internal/leafpick"

const (
	// connUseRatio is the fraction of a leaf's connections that the nodes share; the rest
	// is headroom for nodes that have been replaced but whose connections still count.
	connUseRatio = 0.8
	// maxConnsPerLeaf bounds a node's connections to one leaf.
	maxConnsPerLeaf = 6
	// connsPerSlot bounds the connections of all nodes to a leaf, per slot of the leaf. A
	// leaf queues few requests and rejects the rest, whereas nodes queue requests and send
	// the newest first.
	connsPerSlot = 6
)

// ConnShare returns a node's share of the connections to a leaf.
func ConnShare(maxConns, slots int, share float64) int {
	total := min(connUseRatio*float64(maxConns), float64(connsPerSlot*slots))
	return min(max(int(total*share), 1), maxConnsPerLeaf)
}

// MaxConnectedNodes returns the number of nodes that can keep a connection to one leaf.
func MaxConnectedNodes(maxConns int) int {
	if maxConns <= 0 {
		return leafpick.Unbounded
	}
	return max(int(connUseRatio*float64(maxConns)), 1)
}
