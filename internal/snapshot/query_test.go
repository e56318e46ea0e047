package snapshot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

var (
	s1 = ID{Sequence: 1, Name: "s1"}
	s2 = ID{Sequence: 2, Name: "s2"}
	s3 = ID{Sequence: 3, Name: "s3"}
)

func zeroCost(string) (float64, bool) { return 0, true }

func costWithout(down ...string) CostFunc {
	return func(leaf string) (float64, bool) {
		for _, d := range down {
			if d == leaf {
				return 0, false
			}
		}
		return 0, true
	}
}

// twoShards returns two shards with two replicas each.
func twoShards() []Shard {
	return []Shard{
		{Name: "a", Leaves: []string{"a1", "a2"}},
		{Name: "b", Leaves: []string{"b1", "b2"}},
	}
}

func halfOf(shard string) Range {
	if shard == "a" {
		return Range{From: 0, To: 32768}
	}
	return Range{From: 32768, To: 65536}
}

func observe(k *Inventory, leaf string, answered ID, holds ...ID) {
	k.Observe(0, Report{
		Leaf: leaf, Incarnation: "1",
		Answered: Held{ID: answered, Range: halfOf(leaf[:1])}, HeldSnapshots: heldOf(holds...),
	})
}

// heldOf returns a list of held snapshots without ranges, and nil for nil.
func heldOf(ids ...ID) []Held {
	if ids == nil {
		return nil
	}
	held := make([]Held, len(ids))
	for i, id := range ids {
		held[i].ID = id
	}
	return held
}

func leavesOf(choices []Choice) []string {
	var leaves []string
	for _, c := range choices {
		leaves = append(leaves, c.Leaf)
	}
	return leaves
}

func TestPlan(t *testing.T) {
	type fixture struct {
		name   string
		learn  func(*Inventory)
		now    time.Duration
		cost   CostFunc
		want   ID
		leaves []string
	}
	both := func(k *Inventory) {
		observe(k, "a1", s1, s2, s1)
		observe(k, "a2", s1, s1)
		observe(k, "b1", s1, s1)
		observe(k, "b2", s1, s2, s1)
	}
	split := func(k *Inventory) {
		observe(k, "a1", s2, s2)
		observe(k, "a2", s2, s2)
		observe(k, "b1", s1, s1)
		observe(k, "b2", s1, s1)
	}
	repartitioned := func(k *Inventory) {
		k.Observe(0, Report{Leaf: "a1", Answered: Held{s2, Range{0, 20000}}})
		k.Observe(0, Report{Leaf: "a2", Answered: Held{s2, Range{20000, 40000}}})
		k.Observe(0, Report{Leaf: "b1", Answered: Held{s2, Range{40000, 65536}}})
		k.Observe(0, Report{Leaf: "b2", Answered: Held{s2, Range{40000, 65536}}})
	}
	for _, tc := range []fixture{
		{"nothing known", func(*Inventory) {}, 0, zeroCost, ID{}, []string{"a1", "b1"}},
		{"newest held by each shard", both, 0, zeroCost, s2, []string{"a1", "b2"}},
		{"newest not held in full without a replica", both, 0, costWithout("b2"), s1, []string{"a1", "b1"}},
		{"shard down, newest of equal coverage", both, 0, costWithout("b1", "b2"), s2, []string{"a1"}},
		{"expired", both, 2 * DefaultHoldTTL, zeroCost, ID{}, []string{"a1", "b1"}},
		{"one leaf known, other shard called speculatively", func(k *Inventory) { observe(k, "b2", s1) }, 0, zeroCost, s1, []string{"b2", "a1"}},
		{"other shard recently known not to hold it", split, 0, zeroCost, s2, []string{"a1"}},
		{"other shard known not to hold it some time ago", split, speculationAge, zeroCost, s2, []string{"a1", "b1"}},
		{"repartitioned, each range used once", repartitioned, 0, zeroCost, s2, []string{"a1", "a2", "b1"}},
		{"new incarnation", func(k *Inventory) {
			both(k)
			k.Observe(0, Report{Leaf: "a1", Incarnation: "2", HeldSnapshots: heldOf(s1)})
			observe(k, "a1", s2, s2) // late report of the replaced incarnation
		}, 0, zeroCost, s1, []string{"a1", "b1"}},
		{"refusal drops the snapshot", func(k *Inventory) {
			both(k)
			k.Observe(0, Report{Leaf: "a1", Incarnation: "1", Refused: s2})
		}, 0, zeroCost, s1, []string{"a1", "b1"}},
	} {
		k := NewInventory(DefaultHoldTTL)
		tc.learn(k)
		plan := k.Plan(tc.now, twoShards(), tc.cost)
		require.Equal(t, tc.want, plan.Snapshot, tc.name)
		require.Equal(t, tc.leaves, append(leavesOf(plan.Choices), leavesOf(plan.Refresh)...), tc.name)
	}
}

func TestFailed(t *testing.T) {
	const deadline, minRemaining = time.Second, 100 * time.Millisecond
	learn := func(k *Inventory) {
		observe(k, "a1", s1, s2, s1)
		observe(k, "a2", s1, s1)
		observe(k, "b1", s1, s2, s1)
		observe(k, "b2", s1, s2, s1)
	}
	refuse := func(k *Inventory, leaf string, holds ...ID) {
		k.Observe(0, Report{Leaf: leaf, Incarnation: "1", Refused: s2, HeldSnapshots: heldOf(holds...)})
	}
	for _, tc := range []struct {
		name  string
		now   time.Duration
		leaf  string
		holds []ID
		why   kind.Kind
		want  Step
		next  string
	}{
		{"replica holds the snapshot", 0, "b1", []ID{s1}, kind.SnapshotNotHeld, StepRetry, "b2"},
		{"replica after connection lost", 0, "b1", nil, kind.ConnectionLost, StepRetry, "b2"},
		{"older snapshot has better coverage", 0, "a1", []ID{s1}, kind.SnapshotNotHeld, StepRestart, "a1"},
		{"no time for a restart", deadline - minRemaining + 1, "a1", []ID{s1}, kind.SnapshotNotHeld, StepPartial, ""},
	} {
		k := NewInventory(DefaultHoldTTL)
		learn(k)
		q := k.NewQuery(0, deadline, twoShards(), zeroCost)
		require.Equal(t, s2, q.Plan().Snapshot, tc.name)
		if tc.why == kind.SnapshotNotHeld {
			refuse(k, tc.leaf, tc.holds...)
		}
		first := q.Plan().Choices
		action := q.Failed(tc.now, choiceOf(t, q, tc.leaf), tc.why, minRemaining)
		require.Equal(t, tc.want, action.Step, tc.name)
		switch action.Step {
		case StepRetry:
			require.Equal(t, tc.next, action.Leaf.Leaf, tc.name)
		case StepRestart:
			require.Equal(t, s1, action.Plan.Snapshot, tc.name)
			require.Contains(t, leavesOf(action.Plan.Choices), tc.next, tc.name)
			require.Equal(t, StepStale, q.Failed(tc.now, first[1], tc.why, minRemaining).Step, tc.name)
		}
	}
}

func choiceOf(t require.TestingT, q *Query, leaf string) Choice {
	for _, c := range q.Plan().Choices {
		if c.Leaf == leaf {
			return c
		}
	}
	require.FailNow(t, "leaf not planned", leaf)
	return Choice{}
}

func TestRangeSetMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set, rebuilt RangeSet
		var keys [KeySpace]bool
		for range rapid.IntRange(0, 6).Draw(t, "ranges") {
			from := rapid.Uint32Range(0, KeySpace-1).Draw(t, "from")
			to := rapid.Uint32Range(from+1, min(KeySpace, from+300)).Draw(t, "to")
			set.Add(Range{from, to})
			for key := from; key < to; key++ {
				keys[key] = true
			}
			require.True(t, set.Contains(Range{from, to}))
		}
		want := uint32(0)
		for _, present := range keys {
			if present {
				want++
			}
		}
		require.Equal(t, want, set.Count())
		for _, gap := range set.Gaps() {
			require.False(t, keys[gap.From] || keys[gap.To-1])
			require.Equal(t, gap.To-gap.From, rebuilt.Add(gap))
		}
		require.Equal(t, KeySpace-want, rebuilt.Count())
	})
}

func benchmarkShards(leaves int, k *Inventory) []Shard {
	shards := make([]Shard, leaves)
	for i := range shards {
		name := fmt.Sprintf("shard-%d", i)
		r := Range{From: uint32(i * KeySpace / leaves), To: uint32((i + 1) * KeySpace / leaves)}
		shards[i] = Shard{Name: name, Leaves: []string{name + "-a", name + "-b", name + "-c"}}
		for _, leaf := range shards[i].Leaves {
			k.Observe(0, Report{Leaf: leaf, Answered: Held{s2, r}, HeldSnapshots: heldOf(s3, s2, s1)})
		}
	}
	return shards
}

func BenchmarkPlan(b *testing.B) {
	for _, leaves := range []int{30, 490} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			k := NewInventory(DefaultHoldTTL)
			shards := benchmarkShards(leaves, k)
			b.ReportAllocs()
			for b.Loop() {
				k.Plan(0, shards, zeroCost)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(leaves), "ns/leaf")
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	k := NewInventory(DefaultHoldTTL)
	benchmarkShards(490, k)
	report := Report{Leaf: "shard-7-b", Answered: Held{s2, Range{1, 2}}, HeldSnapshots: heldOf(s3, s2, s1)}
	b.ReportAllocs()
	for b.Loop() {
		k.Observe(0, report)
	}
}

// BenchmarkFailed fails one leaf of each shard in one query.
func BenchmarkFailed(b *testing.B) {
	k := NewInventory(DefaultHoldTTL)
	shards := benchmarkShards(490, k)
	b.ReportAllocs()
	for b.Loop() {
		q := k.NewQuery(0, time.Second, shards, zeroCost)
		for _, choice := range q.Plan().Choices {
			q.Failed(0, choice, kind.LeafShed, time.Millisecond)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/490, "ns/leaf")
}
