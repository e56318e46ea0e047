package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const leavesPerQuery = 30

// scatterGoodput is the goodput of queries that call all leaves, as a fraction of the
// number of queries that one leaf can serve.
type scatterGoodput struct {
	// leaf counts the answers of one leaf on average, complete the queries
	// answered by all leaves, and nearlyComplete the queries answered by at least
	// nine tenths of the leaves.
	leaf, complete, nearlyComplete float64
}

// runScatter runs the same queries on every leaf. With sharedQueryIDs, all calls of
// one query have the same query ID.
func runScatter(seed uint64, factor, utilization float64, sharedQueryIDs bool) scatterGoodput {
	l := offered(seed, factor, 10*ms, 250*ms)
	calls := l.calls()
	answers := make(map[uint64]int)
	answeredInTime := 0
	for leaf := uint64(1); leaf <= leavesPerQuery; leaf++ {
		redrawServiceTimes(calls, seed*1000+leaf, l.service)
		for i := range calls {
			calls[i].Query = calls[i].ID
			if !sharedQueryIDs {
				calls[i].Query += leaf << 32
			}
		}
		r := simulate(New(Config{Slots: 2, Utilization: utilization}), calls)
		answeredInTime += r.answeredInTime
		for _, id := range r.answeredIDs {
			answers[id]++
		}
	}
	capacity := 2 * l.length.Seconds() / l.service.Seconds()
	out := scatterGoodput{leaf: float64(answeredInTime) / leavesPerQuery / capacity}
	for _, n := range answers {
		if n == leavesPerQuery {
			out.complete += 1 / capacity
		}
		if n >= leavesPerQuery*9/10 {
			out.nearlyComplete += 1 / capacity
		}
	}
	return out
}

func TestGoodputOfScatteredQueries(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		var peak scatterGoodput
		for _, factor := range []float64{0.5, 0.7, 0.9} {
			s := runScatter(seed, factor, 0, true)
			peak.complete = max(peak.complete, s.complete)
			peak.nearlyComplete = max(peak.nearlyComplete, s.nearlyComplete)
		}
		independent := runScatter(seed, 2, 0, false)
		byQuery := runScatter(seed, 2, 0, true)
		gated := runScatter(seed, 2, 0.9, true)
		t.Logf("seed=%d peak complete=%.3f nearly complete=%.3f", seed, peak.complete, peak.nearlyComplete)
		t.Logf("seed=%d at twice the capacity, ranked per leaf: %+.3f", seed, independent)
		t.Logf("seed=%d at twice the capacity, ranked by query: %+.3f", seed, byQuery)
		t.Logf("seed=%d at twice the capacity, ranked by query, gate at 0.9 utilization: %+.3f", seed, gated)
		require.Less(t, independent.complete, 0.1*peak.complete)
		require.GreaterOrEqual(t, byQuery.complete, 0.75*peak.complete)
		require.GreaterOrEqual(t, byQuery.leaf, 0.9)
		require.GreaterOrEqual(t, gated.complete, 0.85*peak.complete)
		require.GreaterOrEqual(t, gated.nearlyComplete, 0.9*peak.nearlyComplete)
	}
}

func TestGateDividesByClassAndCustomer(t *testing.T) {
	cases := []struct {
		name     string
		rates    map[flowKey]float64
		capacity float64
		want     map[flowKey]float64
	}{
		{"enough for all", map[flowKey]float64{{0, "a"}: 10, {1, "a"}: 20}, 40, map[flowKey]float64{{0, "a"}: 1, {1, "a"}: 1}},
		{"last class is cut first", map[flowKey]float64{{0, "a"}: 10, {1, "a"}: 20}, 20, map[flowKey]float64{{0, "a"}: 1, {1, "a"}: 0.5}},
		{"equal shares", map[flowKey]float64{{0, "a"}: 10, {0, "b"}: 60}, 40, map[flowKey]float64{{0, "a"}: 1, {0, "b"}: 0.5}},
		{"no slots", map[flowKey]float64{{0, "a"}: 10}, 0, map[flowKey]float64{{0, "a"}: 0}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate(1)
			g.serviceTime = 1
			for key, rate := range tc.rates {
				f := g.flow(key)
				f.rate = rate
				f.arrivals = rate * loadWindow.Seconds()
			}
			g.windowEnd = loadWindow
			g.recompute(loadWindow, int(tc.capacity))
			for key, want := range tc.want {
				require.InDelta(t, want, g.flows[key].admit, 1e-9, "%v", key)
			}
		})
	}
}
