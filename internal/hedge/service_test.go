package hedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// newWarmService returns a Service with latencies of 1 to 100 ms and a full budget.
func newWarmService(cfg Config) *Service {
	s := New(0, cfg)
	for i := range 3200 {
		s.Observe(time.Duration(i%100+1) * ms)
	}
	s.FirstAttempts(10_000)
	return s
}

func TestQuantiles(t *testing.T) {
	s := newWarmService(Config{})
	require.InEpsilon(t, 97*ms, s.delay, 0.05)
	require.InEpsilon(t, 50*ms, s.median, 0.05)
	for range 4 * halveAt {
		s.Observe(5 * ms)
	}
	require.InEpsilon(t, 5*ms, s.median, 0.1)
	require.InEpsilon(t, 5*ms, s.delay, 0.1, "old latencies lose weight")
}

func TestDecide(t *testing.T) {
	slowShard := &Shard{}
	for range 200 {
		slowShard.Observe(200 * ms)
	}
	due := Call{Idempotent: true, HasReplica: true, Deadline: time.Second, Leaves: 30, Answered: 29}
	with := func(change func(*Call)) Call {
		c := due
		change(&c)
		return c
	}
	cases := []struct {
		name    string
		cfg     Config
		call    Call
		verdict Verdict
		reason  Reason
	}{
		{"due", Config{}, due, Send, None},
		{"off", Config{Off: true}, due, Never, Disabled},
		{"not idempotent", Config{}, with(func(c *Call) { c.Idempotent = false }), Never, NotIdempotent},
		{"no other replica", Config{}, with(func(c *Call) { c.HasReplica = false }), Never, NoReplica},
		{"second hedge", Config{}, with(func(c *Call) { c.Hedges = 1 }), Send, None},
		{"third hedge", Config{}, with(func(c *Call) { c.Hedges = 2 }), Never, TooManyHedges},
		{"too early", Config{}, with(func(c *Call) { c.LastSent = 60 * ms }), Wait, TooEarly},
		{"delay capped at the maximum", Config{MaxDelay: 30 * ms}, with(func(c *Call) { c.LastSent = 60 * ms }), Send, None},
		{"slow shard", Config{}, with(func(c *Call) { c.Shard = slowShard }), Wait, TooEarly},
		{"no time left", Config{}, with(func(c *Call) { c.Deadline = 120 * ms }), Never, NoTime},
		{"whole query slow", Config{}, with(func(c *Call) { c.Answered = 14 }), Wait, QuerySlow},
		{"one leaf", Config{}, with(func(c *Call) { c.Leaves, c.Answered = 1, 0 }), Send, None},
		{"utilization above the maximum", Config{}, with(func(c *Call) { c.Utilization = 0.8 }), Wait, NearSlots},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newWarmService(tc.cfg).Decide(100*ms, tc.call)
			require.Equal(t, tc.verdict, d.Verdict)
			require.Equal(t, tc.reason, d.Reason)
		})
	}
	t.Run("no latencies", func(t *testing.T) {
		require.Equal(t, NoLatencies, New(0, Config{}).Decide(100*ms, due).Reason)
	})
	t.Run("no budget", func(t *testing.T) {
		s := newWarmService(Config{Burst: 1})
		require.Equal(t, Send, s.Decide(100*ms, due).Verdict)
		require.Equal(t, NoBudget, s.Decide(100*ms, due).Reason)
		s.Return()
		require.Equal(t, Send, s.Decide(100*ms, due).Verdict)
	})
}

func BenchmarkLeafCall(b *testing.B) {
	s := newWarmService(Config{})
	shard := &Shard{}
	now := time.Duration(0)
	c := Call{Shard: shard, Idempotent: true, HasReplica: true, Deadline: 1 << 62, Leaves: 30, Answered: 29}
	b.ReportAllocs()
	for b.Loop() {
		now += ms
		s.FirstAttempts(1)
		s.Decide(now, c)
		s.Observe(now % (100 * ms))
		shard.Observe(now % (100 * ms))
	}
}
