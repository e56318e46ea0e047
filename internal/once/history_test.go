package once

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestNeverRunsTwiceOrFalselyReportsNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SampledFrom([]int{20, 100, 400}).Draw(t, "steps")
		picks := rapid.SampledFrom(numbers(1000))
		w := newWorld(func(n int) int { return picks.Draw(t, "pick") % n }, noDefect)
		require.Empty(t, w.run(steps))
	})
}

func numbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestModelFindsDefects(t *testing.T) {
	for _, d := range []defect{
		refusesAsNotRun, sendsUnmarked, cancelsAsNotRun, importsForOthers, importsTwice, exportsToTwo, repeatsIncarnation,
	} {
		found := ""
		seed := uint64(0)
		for ; seed < 10000 && found == ""; seed++ {
			random := rand.New(rand.NewPCG(seed, 0))
			found = newWorld(random.IntN, d).run(400)
		}
		require.NotEmpty(t, found, d)
		t.Logf("%s: %s, seed %d", d, found, seed-1)
	}
}

func TestRandomHistories(t *testing.T) {
	total := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(random.IntN, noDefect)
		require.Empty(t, w.run(400), "seed %d", seed)
		total += len(w.runs)
	}
	t.Logf("%d requests run", total)
	require.Greater(t, total, 2000)
}
