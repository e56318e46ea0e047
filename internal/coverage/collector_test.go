package coverage

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

var (
	oldSnapshot = snapshot.ID{Sequence: 1, Name: "s1"}
	newSnapshot = snapshot.ID{Sequence: 2, Name: "s2"}
	firstHalf   = snapshot.Range{From: 0, To: 32768}
	secondHalf  = snapshot.Range{From: 32768, To: 65536}
)

func answer(leaf string, r snapshot.Range, hits ...Hit) Answer {
	return Answer{Leaf: leaf, Shard: leaf, Snapshot: newSnapshot, Range: r, Hits: hits}
}

func TestAddRejects(t *testing.T) {
	c := New(newSnapshot, 10, 1)
	c.Expect("a", "a", firstHalf)
	other := answer("a", firstHalf, Hit{ID: "x"})
	other.Snapshot = oldSnapshot
	for name, a := range map[string]Answer{
		"other snapshot":        other,
		"no snapshot":           {Leaf: "a", Range: firstHalf},
		"leaf not called":       answer("b", firstHalf),
		"outside the key space": answer("a", snapshot.Range{From: 1, To: 65537}),
	} {
		require.Equal(t, kind.BadAnswer, kind.Of(c.Add(a)), name)
	}
	require.Empty(t, c.Result(kind.DeadlineExceeded).Hits)
	require.Equal(t, Fraction{0, snapshot.KeySpace}, c.Fraction())
}

func TestFractionCountsEachKeyOnce(t *testing.T) {
	c := New(newSnapshot, 10, 3)
	for _, leaf := range []string{"a", "b", "late"} {
		c.Expect(leaf, leaf, snapshot.Range{})
	}
	require.NoError(t, c.Add(answer("a", snapshot.Range{From: 0, To: 40000}, Hit{ID: "x", Score: 1})))
	require.NoError(t, c.Add(answer("b", snapshot.Range{From: 30000, To: 50000}, Hit{ID: "x", Score: 2})))
	r := c.Result(kind.DeadlineExceeded)
	require.Equal(t, Fraction{50000, 65536}, r.Fraction)
	require.Equal(t, []snapshot.Range{{From: 50000, To: 65536}}, r.Gaps)
	require.Equal(t, []Hit{{ID: "x", Score: 2}}, r.Hits)
	require.Equal(t, []Missing{{Leaf: "late", Shard: "late", Reason: kind.DeadlineExceeded}}, r.Missing)
	require.NoError(t, c.Add(answer("late", snapshot.Range{})))
	require.False(t, c.Fraction().Known())
	require.Equal(t, uint32(50000), c.Fraction().Covered)
}

func TestDecide(t *testing.T) {
	const deadline = time.Second
	bestEffort := Policy{}
	full := Policy{Full: true, Minimum: snapshot.KeySpace}
	half := Policy{Full: true, Minimum: 32768}
	a := func(c *Collector) { _ = c.Add(answer("a", firstHalf)) }
	b := func(c *Collector) { _ = c.Add(answer("b", secondHalf)) }
	withoutRange := func(c *Collector) { _ = c.Add(answer("a", snapshot.Range{})) }
	failB := func(c *Collector) { c.Fail("b", kind.LeafCold) }
	retryB := func(c *Collector) { c.Expect("b2", "b", secondHalf) }
	hedgeA := func(c *Collector) { c.Expect("a2", "a", firstHalf) }
	type steps []func(*Collector)
	for _, tc := range []struct {
		name   string
		policy Policy
		now    time.Duration
		steps  steps
		want   Verdict
	}{
		{"no answer yet", full, 0, nil, Wait},
		{"half covered before the deadline", bestEffort, 0, steps{a}, Wait},
		{"all covered", full, 0, steps{a, b}, Reply},
		{"best effort, half covered at the deadline", bestEffort, deadline, steps{a}, Reply},
		{"best effort, nothing covered at the deadline", bestEffort, deadline, nil, Refuse},
		{"full, half covered at the deadline", full, deadline, steps{a}, Refuse},
		{"full, refused before the deadline", full, 0, steps{failB}, Refuse},
		{"other replica pending", full, 0, steps{failB, retryB}, Wait},
		{"minimum still reachable", half, 0, steps{failB}, Wait},
		{"no further coverage possible", half, 0, steps{failB, a}, Reply},
		{"hedge adds nothing", half, 0, steps{failB, hedgeA, a}, Reply},
		{"unknown fraction, best effort", bestEffort, deadline, steps{withoutRange}, Reply},
		{"unknown fraction, full", full, deadline, steps{withoutRange, b}, Refuse},
		{"unknown fraction may suffice", full, 0, steps{withoutRange}, Wait},
	} {
		c := New(newSnapshot, 10, 2)
		c.Expect("a", "a", firstHalf)
		c.Expect("b", "b", secondHalf)
		for _, step := range tc.steps {
			step(c)
		}
		got, err := c.Decide(tc.now, deadline, tc.policy)
		require.Equal(t, tc.want, got, tc.name)
		if got == Refuse {
			require.Equal(t, kind.CoverageTooLow, kind.Of(err), tc.name)
		}
	}
}

// TestMergeMatchesReference compares the collector with a simple reference
// implementation on random answers, some of them from another snapshot.
func TestMergeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		c := New(newSnapshot, limit, 8)
		var keys [snapshot.KeySpace]bool
		best := map[string]float64{}
		for i := range rapid.IntRange(0, 8).Draw(t, "answers") {
			a := drawAnswer(t, i)
			c.Expect(a.Leaf, a.Shard, snapshot.Range{})
			if err := c.Add(a); a.Snapshot != newSnapshot {
				require.Equal(t, kind.BadAnswer, kind.Of(err))
				continue
			}
			for key := a.Range.From; key < a.Range.To; key++ {
				keys[key] = true
			}
			for _, h := range a.Hits {
				if score, seen := best[h.ID]; !seen || h.Score > score {
					best[h.ID] = h.Score
				}
			}
		}
		covered := uint32(0)
		for _, present := range keys {
			if present {
				covered++
			}
		}
		want := []Hit{}
		for id, score := range best {
			want = append(want, Hit{ID: id, Score: score})
		}
		slices.SortFunc(want, func(a, b Hit) int {
			if a.before(&b) {
				return -1
			}
			return 1
		})
		truncated := len(want) > limit
		r := c.Result(kind.DeadlineExceeded)
		require.Equal(t, covered, r.Fraction.Covered)
		require.Equal(t, truncated, r.Truncated)
		require.Equal(t, append([]Hit{}, want[:min(limit, len(want))]...), append([]Hit{}, r.Hits...))
	})
}

func drawAnswer(t *rapid.T, i int) Answer {
	a := answer(fmt.Sprint("leaf", i), snapshot.Range{})
	if rapid.IntRange(0, 4).Draw(t, "other") == 0 {
		a.Snapshot = oldSnapshot
	}
	a.Range.From = rapid.Uint32Range(0, snapshot.KeySpace-1).Draw(t, "from")
	a.Range.To = rapid.Uint32Range(a.Range.From+1, snapshot.KeySpace).Draw(t, "to")
	for range rapid.IntRange(0, 6).Draw(t, "hits") {
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "id")
		score := rapid.SampledFrom([]float64{0, 1, 2, 3, math.Inf(-1)}).Draw(t, "score")
		a.Hits = append(a.Hits, Hit{ID: id, Score: score})
	}
	return a
}

// BenchmarkMerge merges 20 hits per leaf, keeps 100, and calls Decide after each
// answer.
func BenchmarkMerge(b *testing.B) {
	for _, leaves := range []uint32{30, 490} {
		for _, failing := range []bool{false, true} {
			b.Run(fmt.Sprintf("leaves=%d/failing=%v", leaves, failing), func(b *testing.B) {
				benchmarkMerge(b, leaves, failing)
			})
		}
	}
}

func benchmarkMerge(b *testing.B, leaves uint32, failing bool) {
	answers := make([]Answer, leaves)
	for i := range leaves {
		r := snapshot.Range{From: i * snapshot.KeySpace / leaves, To: (i + 1) * snapshot.KeySpace / leaves}
		answers[i] = answer(fmt.Sprint("leaf", i), r)
		for h := range uint32(20) {
			score := float64((i*7919 + h*104729) % 10007)
			answers[i].Hits = append(answers[i].Hits, Hit{ID: fmt.Sprint(i, "-", h), Score: score})
		}
	}
	policy := Policy{Minimum: snapshot.KeySpace / 2}
	b.ReportAllocs()
	for b.Loop() {
		c := New(newSnapshot, 100, len(answers))
		for i := range answers {
			c.Expect(answers[i].Leaf, answers[i].Shard, answers[i].Range)
		}
		for i := range answers {
			if failing && i%4 == 0 {
				c.Fail(answers[i].Leaf, kind.LeafShed)
			} else {
				_ = c.Add(answers[i])
			}
			_, _ = c.Decide(0, time.Second, policy)
		}
		_ = c.Result(kind.DeadlineExceeded)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(leaves), "ns/leaf")
}
