package relay

import (
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

// nonGathererShare is the part of the repeats of gathered services that nodes which do not
// gather share; they gather themselves when no gatherer answers.
const nonGathererShare = 0.15

// Fleet is the set of live nodes that share the bounds of leaves.
type Fleet struct {
	// All are all nodes; they share the bounds of services that are not gathered.
	All leafpick.Fleet
	// Gatherers are the nodes that gather answers, for others too where those are
	// much smaller. They share the bounds of gathered services, but for a small
	// part of the repeats.
	Gatherers leafpick.Fleet
}

// gathers reports whether the node itself is a gatherer.
func (f *Fleet) gathers() bool { return f.Gatherers.Shares() }

// equal reports whether two fleets are made of the same nodes.
func (f *Fleet) equal(other *Fleet) bool {
	return slices.Equal(f.All.Names, other.All.Names) && slices.Equal(f.Gatherers.Names, other.Gatherers.Names)
}

// shareOf returns the nodes that share the bounds of a service, and this node's part
// of a number that they share.
func (f *Fleet) shareOf(gathered bool) (*leafpick.Fleet, float64) {
	nonGatherers := len(f.All.Names) - len(f.Gatherers.Names)
	if !gathered || nonGatherers <= 0 {
		return &f.All, 1 / float64(f.All.Size())
	}
	if f.gathers() {
		return &f.Gatherers, (1 - nonGathererShare) / float64(f.Gatherers.Size())
	}
	return &f.Gatherers, nonGathererShare / float64(nonGatherers)
}
