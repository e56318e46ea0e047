package entry

import (
	"math/rand/v2"
	"slices"
)

// pickHolder returns a holder of the leaf that is not in tried. It draws among
// the owners that serve, in proportion to their slots; deputies and hosts that
// are down go last.
func pickHolder(router Router, leaf string, tried []string) (Host, bool) {
	var best Host
	found := false
	bestRank := 0
	weight := 0
	for _, host := range router.Holders(leaf) {
		if slices.Contains(tried, host.Name) {
			continue
		}
		rank := holderRank(router, host)
		switch {
		case !found || rank < bestRank:
			best = host
			bestRank = rank
			weight = host.Slots
			found = true
		case rank == bestRank:
			weight += host.Slots
			if rand.IntN(max(weight, 1)) < host.Slots {
				best = host
			}
		}
	}
	return best, found
}

// The order in which holders are asked.
const (
	rankOwner = iota
	rankDeputy
	rankDown
)

func holderRank(router Router, host Host) int {
	switch {
	case router.Down(host.Name):
		return rankDown
	case host.Deputy:
		return rankDeputy
	default:
		return rankOwner
	}
}
