// Package replica chooses the replica of a shard that a leaf call is sent to.
//
// A choice uses only what the entry host knows: the document and the host list,
// the pinned snapshot, the leaf's condition, and the host's own calls in flight,
// latencies and failures. Among equally suitable replicas it takes the one with
// the shortest expected time, and any of them at random if they are equal.
//
// The package is pure: time and randomness are passed in, and the caller
// serializes the calls that share Stats.
package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// probeFraction is the share of first tries that go to a cold leaf with a free
	// slot, so that it becomes warm.
	probeFraction = 0.1
	// minLatency is the least expected latency, also of a replica without answers.
	minLatency = time.Millisecond
	// maxCandidates is the number of replicas of a shard that are considered.
	maxCandidates = 16
)

// suitability orders candidates before their expected time is compared.
type suitability uint8

const (
	warmSnapshotHeld suitability = iota
	warmSnapshotUnknown
	coldWithFreeSlot
	coldWithoutFreeSlot
)

// Choice is the outcome of Pick.
type Choice struct {
	// Index is the place of the chosen candidate.
	Index int
	// OK is false if no candidate can be chosen.
	OK bool
	// Excluded counts the candidates that cannot be chosen.
	Excluded Excluded
}

// Pick chooses among the replicas of a shard for a call that has been sent to
// the instances in tried.
func Pick(now time.Duration, rng *rand.Rand, cands []Candidate, tried []string) Choice {
	var usable [maxCandidates]int
	var out Choice
	n := 0
	for i := range cands {
		if out.Excluded.count(&cands[i], tried) || n == maxCandidates {
			continue
		}
		usable[n] = i
		n++
	}
	if n == 0 {
		return out
	}
	best := mostSuitable(cands, usable[:n], len(tried) == 0 && rng.Float64() < probeFraction)
	out.Index = leastExpected(now, rng, cands, best)
	out.OK = true
	return out
}

// mostSuitable keeps the indices of the most suitable candidates. With probe, cold
// leaves with a free slot come first.
func mostSuitable(cands []Candidate, usable []int, probe bool) []int {
	best := coldWithoutFreeSlot
	for _, i := range usable {
		s := suitabilityOf(&cands[i])
		if probe && s == coldWithFreeSlot {
			best = coldWithFreeSlot
			break
		}
		best = min(best, s)
	}
	kept := usable[:0]
	for _, i := range usable {
		if suitabilityOf(&cands[i]) == best {
			kept = append(kept, i)
		}
	}
	return kept
}

func suitabilityOf(c *Candidate) suitability {
	switch {
	case c.Condition == Warm && c.Snapshot == SnapshotHeld:
		return warmSnapshotHeld
	case c.Condition == Warm:
		return warmSnapshotUnknown
	case c.Stats.outstanding < c.ColdSlots:
		return coldWithFreeSlot
	default:
		return coldWithoutFreeSlot
	}
}

// leastExpected returns the candidate with the shortest expected time, beginning at a
// random place so that equal ones are chosen alike.
func leastExpected(now time.Duration, rng *rand.Rand, cands []Candidate, from []int) int {
	offset := rng.IntN(len(from))
	best := from[offset]
	least := expected(now, &cands[best])
	for k := 1; k < len(from); k++ {
		i := from[(offset+k)%len(from)]
		if t := expected(now, &cands[i]); t < least {
			best, least = i, t
		}
	}
	return best
}

func expected(now time.Duration, c *Candidate) float64 {
	return Expected(now, c.Stats, c.Slots)
}

// Expected estimates the time in nanoseconds of one more call to a replica with
// the given number of slots, lengthened by recent failures.
func Expected(now time.Duration, stats *Stats, slots int) float64 {
	latency := max(stats.Latency(now), minLatency)
	queue := float64(stats.outstanding+1) / float64(max(slots, 1))
	return float64(latency) * queue * (1 + stats.recentFailures(now))
}
