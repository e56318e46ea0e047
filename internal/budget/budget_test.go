package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTake(t *testing.T) {
	cases := []struct {
		name    string
		cfg     Config
		first   int
		at      time.Duration
		granted int
	}{
		{"empty at the start", Config{Ratio: 0.1}, 0, 0, 0},
		{"ratio of first attempts", Config{Ratio: 0.1}, 50, 0, 5},
		{"burst", Config{Ratio: 0.1, Burst: 3}, 50, 0, 3},
		{"default burst", Config{Ratio: 0.1}, 1000, 0, DefaultBurst},
		{"attempts per second", Config{PerSecond: 2}, 0, 2 * time.Second, 4},
		{"attempts per second do not exceed the burst", Config{PerSecond: 2, Burst: 3}, 0, time.Hour, 3},
		{"unbounded", Config{Unbounded: true}, 0, 0, 100},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := New(0, tc.cfg)
			for range tc.first {
				b.FirstAttempts(1)
			}
			granted := 0
			for range 100 {
				if b.Take(tc.at) {
					granted++
				}
			}
			require.Equal(t, tc.granted, granted)
		})
	}
}

func TestReturn(t *testing.T) {
	b := New(0, Config{Ratio: 1})
	b.FirstAttempts(1)
	require.True(t, b.Take(0))
	b.Return()
	require.True(t, b.Take(0))
	require.False(t, b.Take(0))
}

const (
	step        = 10 * time.Millisecond
	capacity    = 10.0 // calls in one step
	timeout     = 10   // steps of backlog after which an answer is late
	maxAttempts = 3
)

// recovery simulates a target that is loaded below its capacity and stops for one second. It
// returns the load, relative to the capacity, and the fraction of timely calls from ten
// seconds later on. A late call is retried, up to maxAttempts attempts in all.
func recovery(cfg Config, load float64) (offered, timely float64) {
	b := New(0, cfg)
	backlog := 0.0
	retries := [maxAttempts]float64{}
	arrivals, good := 0.0, 0.0
	for i := range 1500 {
		now := time.Duration(i) * step
		b.FirstAttempts(int(load))
		attempts := [maxAttempts]float64{load, retries[1], retries[2]}
		total := attempts[0] + attempts[1] + attempts[2]
		late := backlog > timeout*capacity
		backlog += total
		retries = [maxAttempts]float64{}
		if late {
			for n := 1; n < maxAttempts; n++ {
				for range int(attempts[n-1]) {
					if b.Take(now) {
						retries[n]++
					}
				}
			}
		}
		if i < 100 || i >= 200 {
			backlog = max(backlog-capacity, 0)
		}
		if i >= 1200 {
			arrivals += total
			if !late {
				good += load
			}
		}
	}
	return arrivals / 300 / capacity, good / 300 / load
}

func TestBudgetEndsRetryOverload(t *testing.T) {
	boundedLoad, boundedTimely := recovery(Config{Ratio: 0.1}, 8)
	load, timely := recovery(Config{Unbounded: true}, 8)
	t.Logf("budget 0.1: load %.2f timely %.2f; unbounded: load %.2f timely %.2f", boundedLoad, boundedTimely, load, timely)
	require.Less(t, boundedLoad, 0.9)
	require.Equal(t, 1.0, boundedTimely)
	require.Greater(t, load, 2.0, "the target stays overloaded without a bound")
	require.Zero(t, timely)
}

func BenchmarkFirstAttemptsAndTake(b *testing.B) {
	bud := New(0, Config{Ratio: 0.1, PerSecond: 1})
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		bud.FirstAttempts(1)
		bud.Take(now)
	}
}
