package replica

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func warm(instance string) Candidate {
	return Candidate{Instance: instance, Condition: Warm, Snapshot: SnapshotHeld, Slots: 2, ColdSlots: 1, Stats: &Stats{}}
}

func with(c Candidate, change func(*Candidate)) Candidate {
	change(&c)
	return c
}

// picks returns how often each candidate is chosen in 1000 calls of Pick, and the
// exclusions of the last one.
func picks(cands []Candidate, tried []string) ([]int, Excluded) {
	rng := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, len(cands))
	var last Choice
	for range 1000 {
		if last = Pick(0, rng, cands, tried); last.OK {
			counts[last.Index]++
		}
	}
	return counts, last.Excluded
}

func TestPick(t *testing.T) {
	takenOut := func(c *Candidate) { c.TakenOut = true }
	leaving := func(c *Candidate) { c.Leaving = true }
	missing := func(c *Candidate) { c.Snapshot = SnapshotMissing }
	unknown := func(c *Candidate) { c.Snapshot = SnapshotUnknown }
	cold := func(c *Candidate) { c.Condition = Cold }
	coldBusy := func(c *Candidate) { c.Condition = Cold; c.Stats.Sent() }
	busy := func(c *Candidate) { c.Stats.Sent(); c.Stats.Sent() }
	slow := func(c *Candidate) { c.Stats.Answered(0, 10*ms) }
	failed := func(c *Candidate) { c.Stats.Failed(0) }
	cases := []struct {
		name     string
		change   func(*Candidate)
		tried    []string
		excluded Excluded
		// least and most bound how often the changed candidate is chosen.
		least, most int
	}{
		{"equal", func(*Candidate) {}, nil, Excluded{}, 400, 600},
		{"taken out", takenOut, nil, Excluded{TakenOut: 1}, 0, 0},
		{"leaving", leaving, nil, Excluded{Leaving: 1}, 0, 0},
		{"snapshot missing", missing, nil, Excluded{SnapshotMissing: 1}, 0, 0},
		{"tried", func(*Candidate) {}, []string{"a"}, Excluded{Tried: 1}, 0, 0},
		{"snapshot unknown", unknown, nil, Excluded{}, 0, 0},
		{"cold is probed", cold, nil, Excluded{}, 50, 150},
		{"cold is not probed by a hedge", cold, []string{"c"}, Excluded{}, 0, 0},
		{"cold without a free slot", coldBusy, nil, Excluded{}, 0, 0},
		{"busy", busy, nil, Excluded{}, 0, 0},
		{"slow", slow, nil, Excluded{}, 0, 0},
		{"failed", failed, nil, Excluded{}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			counts, excluded := picks([]Candidate{with(warm("a"), tc.change), warm("b")}, tc.tried)
			require.Equal(t, tc.excluded, excluded)
			require.GreaterOrEqual(t, counts[0], tc.least)
			require.LessOrEqual(t, counts[0], tc.most)
			require.Equal(t, 1000, counts[0]+counts[1])
		})
	}
	t.Run("none left", func(t *testing.T) {
		counts, excluded := picks([]Candidate{with(warm("a"), takenOut), with(warm("b"), missing)}, nil)
		require.Equal(t, []int{0, 0}, counts)
		require.Equal(t, Excluded{TakenOut: 1, SnapshotMissing: 1}, excluded)
	})
}

func TestOldStatsDecay(t *testing.T) {
	slow, fast := warm("a"), warm("b")
	slow.Stats.Answered(0, 30*ms)
	slow.Stats.Failed(0)
	fast.Stats.Answered(0, 10*ms)
	rng := rand.New(rand.NewPCG(1, 1))
	cands := []Candidate{slow, fast}
	require.Equal(t, 1, Pick(0, rng, cands, nil).Index)
	fast.Stats.Answered(2*latencyHalfLife, 10*ms)
	require.Equal(t, 0, Pick(2*latencyHalfLife, rng, cands, nil).Index)
}

// simulateP99 returns the 99th percentile of the latency with three replicas of two
// slots, one of them three times slower, behind six entry hosts that each know only
// their own calls. The load is a fraction of the capacity.
func simulateP99(seed uint64, load float64, pick func(now time.Duration, rng *rand.Rand, c []Candidate) int) time.Duration {
	const hosts, replicas, slots = 6, 3, 2
	rng := rand.New(rand.NewPCG(seed, 4))
	service := [replicas]time.Duration{10 * ms, 10 * ms, 30 * ms}
	capacity := 2*slots/service[0].Seconds() + slots/service[2].Seconds()
	type sent struct {
		start, end time.Duration
		replica    int
	}
	var cands [hosts][]Candidate
	var inFlight [hosts][]sent
	for h := range cands {
		cands[h] = []Candidate{warm("a"), warm("b"), warm("c")}
	}
	var free [replicas][slots]time.Duration
	var latencies []time.Duration
	now := time.Duration(0)
	for range 50_000 {
		now += time.Duration(rng.ExpFloat64() / (load * capacity) * float64(time.Second))
		h := rng.IntN(hosts)
		inFlight[h] = slices.DeleteFunc(inFlight[h], func(s sent) bool {
			if s.end > now {
				return false
			}
			cands[h][s.replica].Stats.Answered(s.end, s.end-s.start)
			return true
		})
		r := pick(now, rng, cands[h])
		cands[h][r].Stats.Sent()
		slot := 0
		if free[r][1] < free[r][0] {
			slot = 1
		}
		end := max(now, free[r][slot]) + time.Duration(rng.ExpFloat64()*float64(service[r]))
		free[r][slot] = end
		inFlight[h] = append(inFlight[h], sent{now, end, r})
		latencies = append(latencies, end-now)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

func TestOneSlowReplica(t *testing.T) {
	random := func(_ time.Duration, rng *rand.Rand, c []Candidate) int { return rng.IntN(len(c)) }
	fewest := func(_ time.Duration, _ *rand.Rand, c []Candidate) int {
		best := 0
		for i := range c {
			if c[i].Stats.outstanding < c[best].Stats.outstanding {
				best = i
			}
		}
		return best
	}
	chosen := func(now time.Duration, rng *rand.Rand, c []Candidate) int { return Pick(now, rng, c, nil).Index }
	for seed := uint64(1); seed <= 3; seed++ {
		for _, load := range []float64{0.3, 0.6, 0.8} {
			randomP99, fewestP99, chosenP99 := simulateP99(seed, load, random), simulateP99(seed, load, fewest), simulateP99(seed, load, chosen)
			t.Logf("seed=%d load=%.1f p99 random %v, fewest outstanding %v, chosen %v", seed, load, randomP99.Round(ms), fewestP99.Round(ms), chosenP99.Round(ms))
			require.Less(t, chosenP99, randomP99/2)
			require.Less(t, chosenP99, fewestP99)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	cands := []Candidate{warm("a"), warm("b"), warm("c")}
	rng := rand.New(rand.NewPCG(1, 1))
	tried := []string{"a"}
	b.ReportAllocs()
	for b.Loop() {
		c := Pick(0, rng, cands, tried)
		cands[c.Index].Stats.Sent()
		cands[c.Index].Stats.Answered(0, ms)
	}
}
