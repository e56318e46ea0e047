package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fault is a set of faults that occur beside the poison query.
type fault struct {
	shards         int
	loss           float64
	skipAckWait    bool
	kill           bool
	partitioned    bool
	maxLaterDeaths int
}

// runPoisoned runs a poison query that three callers resend, beside harmless queries. It
// returns the model and the number of harmless queries that failed.
func runPoisoned(seed uint64, f fault) (*model, int) {
	m := newModel(seed, f.shards, f.loss)
	m.skipAckWait = f.skipAckWait
	if f.partitioned {
		m.partitioned = m.randomUpNode()
	}
	succeeded := make([]bool, 10)
	m.runCaller(&query{fingerprint: Fingerprint{1}, poison: true, resenders: 3}, 200, &succeeded[0])
	for i := 1; i < 10; i++ {
		m.runCaller(&query{fingerprint: Fingerprint{2, byte(i)}, resenders: 1}, 500, &succeeded[i])
	}
	if f.kill {
		m.after(m.random.IntN(100), func() { m.kill(m.randomUpNode()) })
	}
	m.run(8 * restartTime)
	failed := 0
	for _, ok := range succeeded[1:] {
		if !ok {
			failed++
		}
	}
	return m, failed
}

// TestLossPerPoisonRequest bounds the number of leaves that crash when a poison request
// is resent through all entries.
func TestLossPerPoisonRequest(t *testing.T) {
	const seeds = 40
	for _, f := range []fault{
		{shards: 30, maxLaterDeaths: 1},
		{shards: 30, loss: 0.3, maxLaterDeaths: 1},
		{shards: 30, loss: 0.3, kill: true, maxLaterDeaths: 2},
		{shards: 30, loss: 0.3, partitioned: true, maxLaterDeaths: 2},
		{shards: 30, loss: 0.8, maxLaterDeaths: 2},
		{shards: 30, loss: 0.8, skipAckWait: true, maxLaterDeaths: 90},
		{shards: 3, maxLaterDeaths: 1},
		{shards: 3, loss: 0.3, maxLaterDeaths: 1},
		{shards: 3, loss: 0.3, kill: true, maxLaterDeaths: 2},
		{shards: 3, loss: 0.3, partitioned: true, maxLaterDeaths: 2},
		{shards: 3, loss: 0.8, maxLaterDeaths: 2},
		{shards: 3, loss: 0.8, skipAckWait: true, maxLaterDeaths: 9},
	} {
		first, later, worst, failed := 0, 0, 0, 0
		for seed := range uint64(seeds) {
			m, failedInnocents := runPoisoned(seed, f)
			first += m.firstDeaths
			later += m.laterDeaths
			worst = max(worst, m.laterDeaths)
			failed += failedInnocents
			require.LessOrEqual(t, m.laterDeaths, f.maxLaterDeaths, "%+v, seed %d", f, seed)
			if f.loss < 0.5 {
				require.Zero(t, failedInnocents, "%+v, seed %d", f, seed)
			}
		}
		t.Logf("%+v: leaves lost: %.1f in the first scatter, %.2f in resends (worst %d); harmless queries failed: %d of %d",
			f, float64(first)/seeds, float64(later)/seeds, worst, failed, 9*seeds)
	}
}
