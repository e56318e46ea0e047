package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const maxRefusalDelay = 50 * time.Millisecond

// offered returns the load of one leaf with two slots at a multiple of its
// capacity.
func offered(seed uint64, factor float64, service, deadline time.Duration) load {
	capacity := 2 / service.Seconds()
	return load{
		seed: seed, rate: factor * capacity, length: 3000 * service,
		service: service, deadline: deadline,
	}
}

// TestGoodputAtTwiceTheLoad compares the goodput at twice the capacity with the peak
// over all loads, and with the goodput of an unbounded queue at twice the capacity.
func TestGoodputAtTwiceTheLoad(t *testing.T) {
	cases := []struct {
		service, deadline time.Duration
	}{
		{2 * time.Millisecond, 100 * time.Millisecond},
		{10 * time.Millisecond, 100 * time.Millisecond},
		{10 * time.Millisecond, 250 * time.Millisecond},
		{50 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("service=%v/deadline=%v", tc.service, tc.deadline), func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				var peak, twice, base float64
				for _, factor := range []float64{0.5, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4} {
					l := offered(seed, factor, tc.service, tc.deadline)
					calls := l.calls()
					r := simulate(New(Config{Slots: 2}), calls)
					goodput := float64(r.answeredInTime) / l.length.Seconds()
					require.LessOrEqual(t, r.maxRunning, 2)
					require.LessOrEqual(t, r.slowestRefusal, maxRefusalDelay)
					peak = max(peak, goodput)
					if factor == 2 {
						twice = goodput
						base = float64(fifo(calls)) / l.length.Seconds()
					}
					t.Logf("seed=%d load=%.2f goodput=%.1f/s refused=%d of %d slowest refusal=%v", seed, factor, goodput, r.refused, r.offered, r.slowestRefusal)
				}
				t.Logf("seed=%d peak=%.1f/s at twice the capacity=%.1f/s (%.3f) fifo=%.1f/s", seed, peak, twice, twice/peak, base)
				require.GreaterOrEqual(t, twice, 0.9*peak)
				require.Less(t, base, 0.5*peak)
			}
		})
	}
}
