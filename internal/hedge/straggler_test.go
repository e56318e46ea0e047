package hedge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	stragglerShare  = 0.01
	stragglerFactor = 10
)

// workload generates random latencies of leaf calls.
type workload struct {
	rng        *rand.Rand
	draw       func(*rand.Rand) float64
	stragglers bool
}

func (w workload) latency() time.Duration {
	x := w.draw(w.rng) * float64(10*time.Millisecond)
	if w.stragglers && w.rng.Float64() < stragglerShare {
		x *= stragglerFactor
	}
	return time.Duration(x)
}

// outcome summarizes the queries of a run.
type outcome struct {
	p99 time.Duration
	// extra is the number of hedges per first attempt.
	extra float64
}

func run(w workload, s *Service, leaves, queries int) outcome {
	latencies := make([]time.Duration, 0, queries)
	hedges := 0
	for range queries {
		d, sent := query(w, s, leaves)
		latencies = append(latencies, d)
		hedges += sent
	}
	slices.Sort(latencies)
	return outcome{
		p99:   latencies[queries*99/100],
		extra: float64(hedges) / float64(leaves*queries),
	}
}

// query simulates one query and returns its latency and its number of hedges.
func query(w workload, s *Service, leaves int) (time.Duration, int) {
	first := make([]time.Duration, leaves)
	for i := range first {
		first[i] = w.latency()
	}
	s.FirstAttempts(leaves)
	sorted := slices.Sorted(slices.Values(first))
	latest, hedges := time.Duration(0), 0
	for _, answer := range first {
		end, sent := leafCall(w, s, answer, sorted)
		latest = max(latest, end)
		hedges += sent
	}
	return latest, hedges
}

// leafCall simulates one call whose first attempt is answered at the time answer. It returns
// when the call ends and its number of hedges. peers are the sorted times of the answers to
// the query's first attempts.
func leafCall(w workload, s *Service, answer time.Duration, peers []time.Duration) (time.Duration, int) {
	c := Call{Idempotent: true, HasReplica: true, Deadline: time.Minute, Leaves: len(peers), Utilization: 0.5}
	sends := []time.Duration{0}
	now := time.Duration(0)
	for now < answer {
		c.Answered, _ = slices.BinarySearch(peers, now)
		d := s.Decide(now, c)
		if d.Verdict == Never {
			break
		}
		if d.Verdict == Wait {
			now = max(d.At, now+time.Millisecond)
			continue
		}
		answer = min(answer, now+w.latency())
		c.Hedges++
		c.LastSent = now
		sends = append(sends, now)
	}
	for _, sent := range sends {
		s.Observe(answer - sent)
	}
	return answer, len(sends) - 1
}

// measure runs queries with latencies drawn from seed, with or without stragglers.
func measure(seed uint64, draw func(*rand.Rand) float64, stragglers bool, cfg Config, leaves, queries int) outcome {
	w := workload{rand.New(rand.NewPCG(seed, 3)), draw, stragglers}
	return run(w, New(0, cfg), leaves, queries)
}

func TestQueryLatencyWithStragglers(t *testing.T) {
	uniform := func(r *rand.Rand) float64 { return 0.9 + 0.2*r.Float64() }
	narrow := func(r *rand.Rand) float64 { return math.Exp(0.25 * r.NormFloat64()) }
	wide := func(r *rand.Rand) float64 { return math.Exp(0.5 * r.NormFloat64()) }
	exponential := func(r *rand.Rand) float64 { return r.ExpFloat64() }
	cases := []struct {
		name      string
		draw      func(*rand.Rand) float64
		leaves    int
		maxHedges int
		bound     float64
	}{
		{"exponential", exponential, 30, 2, 1.3},
		{"exponential", exponential, 30, 1, 1.3},
		{"exponential", exponential, 490, 2, 1.3},
		{"lognormal 0.5", wide, 30, 2, 1.3},
		{"lognormal 0.5", wide, 30, 1, 1.3},
		{"lognormal 0.5", wide, 490, 2, 1.4},
		{"lognormal 0.25", narrow, 30, 2, 1.4},
		{"lognormal 0.25", narrow, 490, 2, 1.4},
		{"uniform 10%", uniform, 30, 2, 2.2},
		{"uniform 10%", uniform, 490, 2, 2.2},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s/leaves=%d/hedges=%d", tc.name, tc.leaves, tc.maxHedges), func(t *testing.T) {
			queries := 300_000 / tc.leaves
			cfg := Config{MaxHedges: tc.maxHedges}
			for seed := uint64(1); seed <= 2; seed++ {
				plain := measure(seed, tc.draw, false, Config{Off: true}, tc.leaves, queries)
				slow := measure(seed, tc.draw, true, Config{Off: true}, tc.leaves, queries)
				before := measure(seed, tc.draw, false, cfg, tc.leaves, queries)
				after := measure(seed, tc.draw, true, cfg, tc.leaves, queries)
				ratio := float64(after.p99) / float64(before.p99)
				t.Logf("seed=%d off: p99 %v, with stragglers %.2f; on: p99 %v, with stragglers %.2f, extra %.3f, %.3f", seed,
					plain.p99.Round(time.Millisecond), float64(slow.p99)/float64(plain.p99),
					before.p99.Round(time.Millisecond), ratio, before.extra, after.extra)
				require.LessOrEqual(t, ratio, tc.bound)
				require.LessOrEqual(t, max(before.extra, after.extra), DefaultBudget)
				require.Greater(t, slow.p99, 3*plain.p99)
			}
		})
	}
}
