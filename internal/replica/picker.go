// Package replica chooses the replica of a shard to which a leaf call is sent.
//
// A choice uses only data of the entry host: the document and the host list, the
// pinned snapshot, the leaf's condition, and the host's own calls in flight,
// latencies and failures. Among equally suitable replicas it selects the one with
// the shortest expected time, and a random one of those with equal times.
//
// The package does no I/O: time and randomness are passed in, and the caller must
// serialize calls that use the same Stats.
package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// probeFraction is the fraction of first attempts that prefer a cold leaf with a
	// free slot, so that it becomes warm.
	probeFraction = 0.1
	// minLatency is the lower bound of the latency on which the expected time is
	// based. It applies to replicas without answers.
	minLatency = time.Millisecond
	// maxCandidates is the maximum number of candidates that Pick compares.
	maxCandidates = 16
)

// suitability ranks candidates, the most suitable first. Expected times are compared
// only among candidates of the same rank.
type suitability uint8

const (
	warmSnapshotHeld suitability = iota
	warmSnapshotUnknown
	coldWithFreeSlot
	coldWithoutFreeSlot
)

// Choice is the result of Pick.
type Choice struct {
	// Index is the index of the chosen candidate.
	Index int
	// OK is false if no candidate can be chosen.
	OK bool
	// Excluded counts the candidates that cannot be chosen.
	Excluded Excluded
}

// Pick chooses among the replicas of a shard for the next attempt of a call that has
// already been sent to the instances in tried.
func Pick(now time.Duration, rng *rand.Rand, cands []Candidate, tried []string) Choice {
	var usable [maxCandidates]int
	var choice Choice
	n := 0
	for i := range cands {
		if choice.Excluded.count(&cands[i], tried) || n == maxCandidates {
			continue
		}
		usable[n] = i
		n++
	}
	if n == 0 {
		return choice
	}
	best := mostSuitable(cands, usable[:n], len(tried) == 0 && rng.Float64() < probeFraction)
	choice.Index = leastExpected(now, rng, cands, best)
	choice.OK = true
	return choice
}

// mostSuitable returns the indices of the most suitable candidates, in the memory of
// usable. If probe is set, cold leaves with a free slot are preferred to all others.
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

// leastExpected returns the index of the candidate with the shortest expected time.
// It starts at a random position, so that candidates with equal times are all chosen.
func leastExpected(now time.Duration, rng *rand.Rand, cands []Candidate, from []int) int {
	offset := rng.IntN(len(from))
	best := from[offset]
	shortest := expected(now, &cands[best])
	for k := 1; k < len(from); k++ {
		i := from[(offset+k)%len(from)]
		if t := expected(now, &cands[i]); t < shortest {
			best, shortest = i, t
		}
	}
	return best
}

func expected(now time.Duration, c *Candidate) float64 {
	return Expected(now, c.Stats, c.Slots)
}

// Expected returns the expected time in nanoseconds of one more call to a replica
// with the given number of slots, increased by recent failures.
func Expected(now time.Duration, stats *Stats, slots int) float64 {
	latency := max(stats.Latency(now), minLatency)
	queue := float64(stats.outstanding+1) / float64(max(slots, 1))
	return float64(latency) * queue * (1 + stats.recentFailures(now))
}
