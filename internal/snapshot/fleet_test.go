package snapshot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// TestQueryReachesAvailableCoverage runs queries against leaves whose held snapshots
// and partitioning change between queries. A query must end with one snapshot, and
// with full coverage if one snapshot is held by every leaf all the time.
func TestQueryReachesAvailableCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(3, 2)
		fleet.shared = rapid.Bool().Draw(t, "shared")
		k := NewInventory(DefaultHoldTTL)
		for range rapid.IntRange(1, 6).Draw(t, "queries") {
			fleet.change(t)
			covered := fleet.query(t, k)
			if fleet.shared {
				require.True(t, covered.Full(), "covered %d keys", covered.Count())
			}
		}
	})
}

// fleet is a simulated set of leaves that hold snapshots with different
// partitionings.
type fleet struct {
	shards []Shard
	holds  map[string][]ID
	// shared is set if each leaf holds s1 all the time.
	shared    bool
	refusals  int
	refreshes int
	now       time.Duration
	restarts  int
}

func newFleet(shards, replicas int) *fleet {
	f := &fleet{holds: map[string][]ID{}}
	for i := range shards {
		shard := Shard{Name: string(rune('0' + i))}
		for replica := range replicas {
			shard.Leaves = append(shard.Leaves, fmt.Sprint(shard.Name, "-", replica))
		}
		f.shards = append(f.shards, shard)
	}
	return f
}

// change draws new sets of held snapshots.
func (f *fleet) change(t *rapid.T) {
	for _, shard := range f.shards {
		for _, leaf := range shard.Leaves {
			holds := []ID{}
			for _, id := range []ID{s3, s2, s1} {
				if (id == s1 && f.shared) || rapid.Bool().Draw(t, "holds") {
					holds = append(holds, id)
				}
			}
			f.holds[leaf] = holds
		}
	}
}

// rangeOf returns the range of a leaf in a snapshot. Each snapshot rotates the order
// of the shards and shifts their bounds.
func (f *fleet) rangeOf(leaf string, id ID) Range {
	parts := uint64(len(f.shards))
	part := (uint64(leaf[0]-'0') + id.Sequence) % parts
	bound := func(i uint64) uint32 {
		if i == 0 || i == parts {
			return uint32(i/parts) * KeySpace
		}
		return uint32(i*KeySpace/parts + id.Sequence%100)
	}
	return Range{From: bound(part), To: bound(part + 1)}
}

func (f *fleet) report(leaf string) Report {
	return Report{Leaf: leaf, Incarnation: "1", HeldSnapshots: heldOf(f.holds[leaf]...)}
}

// query runs one query and returns the keys that it covered in its last snapshot.
func (f *fleet) query(t require.TestingT, k *Inventory) *RangeSet {
	q := k.NewQuery(f.now, f.now+time.Second, f.shards, zeroCost)
	for _, ask := range q.Plan().Refresh {
		k.Observe(f.now, f.report(ask.Leaf))
	}
	if q.Plan().Snapshot.IsZero() {
		q.Replan(f.now)
	}
	covered := new(RangeSet)
	queue := append([]Choice(nil), q.Plan().Choices...)
	for calls := 0; len(queue) > 0; calls++ {
		require.Less(t, calls, 1000, "query does not end")
		choice := queue[0]
		queue = queue[1:]
		report := f.report(choice.Leaf)
		if f.holdsNow(choice.Leaf, q.Plan().Snapshot) {
			report.Answered = Held{q.Plan().Snapshot, f.rangeOf(choice.Leaf, q.Plan().Snapshot)}
			k.Observe(f.now, report)
			covered.Add(report.Answered.Range)
			continue
		}
		f.refusals++
		report.Refused = q.Plan().Snapshot
		k.Observe(f.now, report)
		action := q.Failed(f.now, choice, kind.SnapshotNotHeld, time.Millisecond)
		switch action.Step {
		case StepRetry:
			queue = append(queue, action.Leaf)
		case StepRestart:
			f.restarts++
			covered = new(RangeSet)
			queue = append([]Choice(nil), action.Plan.Choices...)
		}
	}
	return covered
}

func (f *fleet) holdsNow(leaf string, id ID) bool {
	for _, held := range f.holds[leaf] {
		if held == id {
			return true
		}
	}
	return false
}

// TestRollingIndexChange loads one new snapshot after the other on the leaves, each
// with another partitioning, while queries run. If leaves also keep the previous
// snapshot, every query must have full coverage.
func TestRollingIndexChange(t *testing.T) {
	for _, tc := range []struct{ shards, kept int }{{30, 2}, {30, 1}} {
		f := newFleet(tc.shards, 3)
		k := NewInventory(DefaultHoldTTL)
		random := rand.New(rand.NewPCG(1, 2))
		queries, full, least := 0, 0, 1.0
		for sequence := uint64(1); sequence <= 10; sequence++ {
			id := ID{Sequence: sequence, Name: fmt.Sprint("s", sequence)}
			for _, leaf := range f.shuffled(random) {
				f.holds[leaf] = append([]ID{id}, f.holds[leaf]...)
				f.holds[leaf] = f.holds[leaf][:min(tc.kept, len(f.holds[leaf]))]
				if sequence == 1 {
					continue
				}
				queries++
				f.now += 100 * time.Millisecond
				if stale, ok := k.NextRefresh(f.now, f.shards); ok {
					f.refreshes++
					k.Observe(f.now, f.report(stale.Leaf))
				}
				covered := f.query(t, k)
				least = min(least, float64(covered.Count())/float64(f.bestCoverage()))
				if covered.Full() {
					full++
				}
			}
		}
		t.Logf("snapshots kept %d: %d queries, %d full, lowest coverage %.3f of the best snapshot's, %d refusals, %d restarts, %d refreshes",
			tc.kept, queries, full, least, f.refusals, f.restarts, f.refreshes)
		if tc.kept > 1 {
			require.Equal(t, queries, full)
		}
		require.Greater(t, least, 0.8)
	}
}

func (f *fleet) shuffled(random *rand.Rand) []string {
	var leaves []string
	for _, shard := range f.shards {
		leaves = append(leaves, shard.Leaves...)
	}
	random.Shuffle(len(leaves), func(i, j int) { leaves[i], leaves[j] = leaves[j], leaves[i] })
	return leaves
}

// bestCoverage returns the number of keys that the best snapshot covers now.
func (f *fleet) bestCoverage() uint32 {
	sets := map[ID]*RangeSet{}
	best := uint32(0)
	for leaf, holds := range f.holds {
		for _, id := range holds {
			if sets[id] == nil {
				sets[id] = new(RangeSet)
			}
			sets[id].Add(f.rangeOf(leaf, id))
			best = max(best, sets[id].Count())
		}
	}
	return best
}
