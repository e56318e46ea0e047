package relay

import (
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

// nonGathererShare is the fraction of the repeats and connections of gathered services that
// the nodes that are not gatherers share; they gather themselves when no gatherer answers.
const nonGathererShare = 0.15

// Fleet is the set of live nodes that share the limits of leaves.
type Fleet struct {
	// All holds all nodes; they share the limits of services that are not gathered.
	All leafpick.Fleet
	// Gatherers holds the nodes that gather answers, also for other nodes that are much
	// smaller. They share the limits of gathered services, except for the part in
	// nonGathererShare.
	Gatherers leafpick.Fleet
}

// gathers reports whether this node is a gatherer.
func (f *Fleet) gathers() bool { return f.Gatherers.IsMember() }

// equal reports whether two fleets consist of the same nodes.
func (f *Fleet) equal(other *Fleet) bool {
	return slices.Equal(f.All.Names, other.All.Names) && slices.Equal(f.Gatherers.Names, other.Gatherers.Names)
}

// sharingNodes returns the nodes that share the limits of a service, and this node's fraction of
// the limits.
func (f *Fleet) sharingNodes(gathered bool) (*leafpick.Fleet, float64) {
	nonGatherers := len(f.All.Names) - len(f.Gatherers.Names)
	if !gathered || nonGatherers <= 0 {
		return &f.All, 1 / float64(f.All.Size())
	}
	if f.gathers() {
		return &f.Gatherers, (1 - nonGathererShare) / float64(f.Gatherers.Size())
	}
	return &f.Gatherers, nonGathererShare / float64(nonGatherers)
}
