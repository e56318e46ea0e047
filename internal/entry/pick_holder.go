package entry

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/replica"
)

// Ranks of holders. Holders of a lower rank are tried first.
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

// pickHolder returns a holder of the leaf that is not in tried, and the expected
// time of a call through it in nanoseconds. Owners that are not down come first,
// then deputies, then hosts that are down. Within a rank it returns the holder
// with the shortest expected time, or the first one if the leaf is not known to
// be warm. s.mu must be held.
func (s *serviceState) pickHolder(now time.Duration, router Router, leaf string, tried []string, bias hostBias) (Host, float64, bool) {
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
		expected := replica.Expected(now, s.stats(leaf, host.Name), host.Slots) * bias.of(host.Name)
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

const (
	// maxBias is the greatest fraction by which an expected time is lengthened.
	maxBias = 0.2
	// biasSteps is the number of different biases.
	biasSteps = 1024
)

// hostBias lengthens the expected time of each host by a random factor that is the
// same for all leaves of a query. Among equal holders a query thus prefers the same
// few hosts, which takes fewer messages, and different queries prefer different
// hosts.
type hostBias maphash.Seed

func newHostBias() hostBias { return hostBias(maphash.MakeSeed()) }

// of returns the factor for the expected time of a host.
func (b hostBias) of(host string) float64 {
	step := maphash.String(maphash.Seed(b), host) % biasSteps
	return 1 + maxBias*float64(step)/biasSteps
}
