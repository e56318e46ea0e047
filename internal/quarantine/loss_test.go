package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fault is what goes wrong beside the poison query.
type fault struct {
	shards int
	loss   float64
	hasty  bool
	kill   bool
	cut    bool
	bound  int
}

// poisoned runs a poison query that three callers resend, beside innocent
// queries, and returns the model and how many innocents failed.
func poisoned(seed uint64, f fault) (*model, int) {
	m := newModel(seed, f.shards, f.loss)
	m.hasty = f.hasty
	if f.cut {
		m.cut = m.up()
	}
	outcomes := make([]bool, 10)
	m.caller(&query{fingerprint: Fingerprint{1}, poison: true, resenders: 3}, 200, &outcomes[0])
	for i := 1; i < 10; i++ {
		m.caller(&query{fingerprint: Fingerprint{2, byte(i)}, resenders: 1}, 500, &outcomes[i])
	}
	if f.kill {
		m.after(m.random.IntN(100), func() { m.kill(m.up()) })
	}
	m.run(8 * restartTime)
	failed := 0
	for _, ok := range outcomes[1:] {
		if !ok {
			failed++
		}
	}
	return m, failed
}

// TestLossPerPoisonRequest bounds the leaves lost by resends of a poison
// request through all entries.
func TestLossPerPoisonRequest(t *testing.T) {
	const seeds = 40
	for _, f := range []fault{
		{shards: 30, bound: 1},
		{shards: 30, loss: 0.3, bound: 1},
		{shards: 30, loss: 0.3, kill: true, bound: 2},
		{shards: 30, loss: 0.3, cut: true, bound: 2},
		{shards: 30, loss: 0.8, bound: 2},
		{shards: 30, loss: 0.8, hasty: true, bound: 90},
		{shards: 3, bound: 1},
		{shards: 3, loss: 0.3, bound: 1},
		{shards: 3, loss: 0.3, kill: true, bound: 2},
		{shards: 3, loss: 0.3, cut: true, bound: 2},
		{shards: 3, loss: 0.8, bound: 2},
		{shards: 3, loss: 0.8, hasty: true, bound: 9},
	} {
		first, later, worst, failed := 0, 0, 0, 0
		for seed := range uint64(seeds) {
			m, innocents := poisoned(seed, f)
			first += m.firstDeaths
			later += m.laterDeaths
			worst = max(worst, m.laterDeaths)
			failed += innocents
			require.LessOrEqual(t, m.laterDeaths, f.bound, "%+v, seed %d", f, seed)
			if f.loss < 0.5 {
				require.Zero(t, innocents, "%+v, seed %d", f, seed)
			}
		}
		t.Logf("%+v: first scatter %.1f leaves, resends %.2f (worst %d), innocents failed %d of %d",
			f, float64(first)/seeds, float64(later)/seeds, worst, failed, 9*seeds)
	}
}
