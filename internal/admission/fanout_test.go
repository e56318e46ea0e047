package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const leavesPerQuery = 30

// scattered holds the goodput of queries that ask all leaves, as shares of the
// number of queries that a leaf can serve.
type scattered struct {
	// leaf counts answers of leaves, whole the complete queries and most the
	// queries with nine tenths of their leaves.
	leaf, whole, most float64
}

// scatter runs the same queries on every leaf. With agree, the leaves know which
// calls belong to one query.
func scatter(seed uint64, factor, utilization float64, agree bool) scattered {
	l := offered(seed, factor, 10*ms, 250*ms)
	calls := l.calls()
	answers := make(map[uint64]int)
	good := 0
	for leaf := uint64(1); leaf <= leavesPerQuery; leaf++ {
		redraw(calls, seed*1000+leaf, l.service)
		for i := range calls {
			calls[i].Query = calls[i].ID
			if !agree {
				calls[i].Query += leaf << 32
			}
		}
		r := simulate(New(Config{Slots: 2, Utilization: utilization}), calls)
		good += r.good
		for _, id := range r.goodIDs {
			answers[id]++
		}
	}
	capacity := 2 * l.length.Seconds() / l.service.Seconds()
	out := scattered{leaf: float64(good) / leavesPerQuery / capacity}
	for _, n := range answers {
		if n == leavesPerQuery {
			out.whole += 1 / capacity
		}
		if n >= leavesPerQuery*9/10 {
			out.most += 1 / capacity
		}
	}
	return out
}

func TestGoodputOfScatteredQueries(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		var peak scattered
		for _, factor := range []float64{0.5, 0.7, 0.9} {
			s := scatter(seed, factor, 0, true)
			peak.whole = max(peak.whole, s.whole)
			peak.most = max(peak.most, s.most)
		}
		apart := scatter(seed, 2, 0, false)
		agreed := scatter(seed, 2, 0, true)
		gated := scatter(seed, 2, 0.9, true)
		t.Logf("seed=%d peak whole=%.3f most=%.3f", seed, peak.whole, peak.most)
		t.Logf("seed=%d twice, leaves apart: %+.3f", seed, apart)
		t.Logf("seed=%d twice, by query: %+.3f", seed, agreed)
		t.Logf("seed=%d twice, by query at 0.9 utilization: %+.3f", seed, gated)
		require.Less(t, apart.whole, 0.1*peak.whole)
		require.GreaterOrEqual(t, agreed.whole, 0.75*peak.whole)
		require.GreaterOrEqual(t, agreed.leaf, 0.9)
		require.GreaterOrEqual(t, gated.whole, 0.85*peak.whole)
		require.GreaterOrEqual(t, gated.most, 0.9*peak.most)
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
		{"last class first", map[flowKey]float64{{0, "a"}: 10, {1, "a"}: 20}, 20, map[flowKey]float64{{0, "a"}: 1, {1, "a"}: 0.5}},
		{"equal shares", map[flowKey]float64{{0, "a"}: 10, {0, "b"}: 60}, 40, map[flowKey]float64{{0, "a"}: 1, {0, "b"}: 0.5}},
		{"no slots", map[flowKey]float64{{0, "a"}: 10}, 0, map[flowKey]float64{{0, "a"}: 0}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate(1)
			g.service = 1
			for key, rate := range tc.rates {
				f := g.flow(key)
				f.rate = rate
				f.calls = rate * gateWindow.Seconds()
			}
			g.ends = gateWindow
			g.recompute(gateWindow, int(tc.capacity))
			for key, want := range tc.want {
				require.InDelta(t, want, g.flows[key].admit, 1e-9, "%v", key)
			}
		})
	}
}
