package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/replica"
)

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

// pickHolder needs mu. It returns a holder of the leaf that is not in tried, and
// the expected time in nanoseconds of a call through it. Owners that serve go
// first, then deputies, then hosts that are down; among equals the shortest
// expected time decides, and the first holder of a leaf in its cold start.
func (s *serviceState) pickHolder(now time.Duration, router Router, leaf string, tried []string) (Host, float64, bool) {
	var best Host
	var least float64
	found := false
	bestRank := 0
	warm := s.warm[leaf]
	for _, host := range router.Holders(leaf) {
		if slices.Contains(tried, host.Name) {
			continue
		}
		rank := holderRank(router, host)
		expected := replica.Expected(now, s.stats(leaf, host.Name), host.Slots) * (1 + tieBreak*rand.Float64())
		better := !found || rank < bestRank || rank == bestRank && warm && expected < least
		if better {
			best = host
			least = expected
			bestRank = rank
			found = true
		}
	}
	return best, least, found
}

// tieBreak is the greatest share by which an expected time is lengthened at
// random, so that equal holders are chosen alike.
const tieBreak = 0.05
