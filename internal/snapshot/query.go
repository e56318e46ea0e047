package snapshot

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// maxRestarts is the greatest number of times that one query restarts on another
// snapshot.
const maxRestarts = 2

// Step is the way in which a query continues after a leaf of its plan failed.
type Step uint8

// The steps after a failed leaf.
const (
	// StepPartial continues without the part that the leaf would have covered.
	StepPartial Step = iota
	// StepRetry calls another leaf for the same snapshot.
	StepRetry
	// StepRestart discards all answers and restarts on another snapshot.
	StepRestart
	// StepStale ignores the failure, since the call belongs to a plan that has
	// been replaced.
	StepStale
)

// Action is a Step with its parameters.
type Action struct {
	Step Step
	// Leaf is the leaf to call in StepTry.
	Leaf Choice
	// Plan is the new plan in StepRestart.
	Plan Plan
}

// failureScope is the part of a query for which a failed leaf is not called again.
type failureScope uint8

const (
	failedForSnapshot failureScope = iota + 1 // the leaf does not hold the pinned snapshot
	failedForQuery                            // the call failed for another reason
)

// Query is the plan of one caller's query and the failures so far. It is guarded by
// the lock of its Knowledge.
type Query struct {
	knowledge *Inventory
	shards    []Shard
	cost      CostFunc
	deadline  time.Duration
	plan      Plan
	failed    map[string]failureScope
	restarts  int
}

// NewQuery plans a query that must be answered by deadline.
func (k *Inventory) NewQuery(now, deadline time.Duration, shards []Shard, cost CostFunc) *Query {
	q := &Query{knowledge: k, shards: shards, cost: cost, deadline: deadline}
	q.plan = k.Plan(now, shards, cost)
	return q
}

// Plan returns the current plan.
func (q *Query) Plan() Plan { return q.plan }

// Replan plans again. It is for a query whose plan had no snapshot, and is called
// after the leaves' lists of held snapshots have been observed.
func (q *Query) Replan(now time.Duration) Plan {
	q.plan = q.knowledge.Plan(now, q.shards, q.usable)
	return q.plan
}

// Failed decides how to continue after the call of choice has failed with the kind
// reason. If a refusal came with a list of held snapshots, the caller must pass it
// to Knowledge.Observe first. The query is only restarted if at least minRemaining,
// the time that a whole query takes, is left until the deadline.
func (q *Query) Failed(now time.Duration, choice Choice, reason kind.Kind, minRemaining time.Duration) Action {
	if !choice.Snapshot.Same(q.plan.Snapshot) {
		return Action{Step: StepStale}
	}
	q.markFailed(choice.Leaf, reason)
	if other, ok := q.alternative(now, choice); ok {
		q.plan.Choices = append(q.plan.Choices, other)
		return Action{Step: StepRetry, Leaf: other}
	}
	if q.restarts >= maxRestarts || q.deadline-now < minRemaining {
		return Action{Step: StepPartial}
	}
	return q.restartIfBetter(now)
}

// Hedge returns another leaf that may cover the part of choice, and adds it to
// the plan. It returns false if there is none.
func (q *Query) Hedge(now time.Duration, choice Choice) (Choice, bool) {
	if !choice.Snapshot.Same(q.plan.Snapshot) {
		return Choice{}, false
	}
	other, ok := q.alternative(now, choice)
	if ok {
		q.plan.Choices = append(q.plan.Choices, other)
	}
	return other, ok
}

// markFailed records that leaf must not be called again.
func (q *Query) markFailed(leaf string, reason kind.Kind) {
	if q.failed == nil {
		q.failed = make(map[string]failureScope)
	}
	q.failed[leaf] = failedForQuery
	if reason == kind.SnapshotNotHeld {
		q.failed[leaf] = failedForSnapshot
	}
}

// usable is the cost function, except that leaves that failed in this query are not
// usable.
func (q *Query) usable(leaf string) (float64, bool) {
	if q.failed[leaf] != 0 {
		return 0, false
	}
	return q.cost(leaf)
}

// usableForOtherSnapshot is the cost function for another snapshot. A leaf that does
// not hold the pinned snapshot may hold the other one, so it is not left out.
func (q *Query) usableForOtherSnapshot(leaf string) (float64, bool) {
	if q.failed[leaf] == failedForQuery {
		return 0, false
	}
	return q.cost(leaf)
}

// alternative returns a leaf that is not in the plan and may cover the part of
// choice in the pinned snapshot. It prefers leaves of the same shard, then leaves
// known to hold the snapshot, then the lowest cost.
func (q *Query) alternative(now time.Duration, choice Choice) (Choice, bool) {
	if best, ok := q.cheapest(now, choice.index, choice.index+1, choice); ok {
		return best, true
	}
	return q.cheapest(now, 0, len(q.shards), choice)
}

// cheapest returns the preferred leaf of the shards [start, end) that may cover
// the part of choice.
func (q *Query) cheapest(now time.Duration, start, end int, choice Choice) (Choice, bool) {
	best := Choice{}
	bestCost := 0.0
	for i := start; i < end; i++ {
		for _, leaf := range q.shards[i].Leaves {
			other, ok := q.covers(now, i, leaf, choice)
			if !ok {
				continue
			}
			cost, usable := q.usable(leaf)
			if !usable || q.planned(leaf, i) {
				continue
			}
			if best.Leaf == "" || preferred(other, cost, best, bestCost) {
				best = other
				bestCost = cost
			}
		}
	}
	return best, best.Leaf != ""
}

// preferred reports whether a is preferred to b: leaves known to hold the snapshot
// first, then cheaper ones.
func preferred(a Choice, costA float64, b Choice, costB float64) bool {
	if a.Known != b.Known {
		return a.Known
	}
	return costA < costB
}

// covers returns the choice of a leaf of shard i and reports whether the leaf may
// cover the part of choice in the pinned snapshot, according to a known range or as
// a replica of the same shard.
func (q *Query) covers(now time.Duration, i int, leaf string, choice Choice) (Choice, bool) {
	other := Choice{Leaf: leaf, Shard: q.shards[i].Name, Snapshot: q.plan.Snapshot, index: i}
	replica := i == choice.index
	state := q.knowledge.fresh(now, leaf)
	if state == nil {
		return other, replica
	}
	held := state.find(q.plan.Snapshot)
	if held == nil {
		return other, false
	}
	other.Known = true
	other.Range = held.Range
	if other.Range.Valid() && choice.Range.Valid() {
		return other, other.Range.Contains(choice.Range)
	}
	return other, replica
}

// planned reports whether a leaf of the given shard is already in the plan.
func (q *Query) planned(leaf string, shard int) bool {
	for i := range q.plan.Choices {
		if q.plan.Choices[i].index == shard && q.plan.Choices[i].Leaf == leaf {
			return true
		}
	}
	return false
}

// restartIfBetter restarts the query on another snapshot if that is expected to cover
// more keys than can still be reached with the pinned snapshot.
func (q *Query) restartIfBetter(now time.Duration) Action {
	q.knowledge.collect(now, q.shards, q.usable)
	pinnedKeys := q.knowledge.scratch.reachable(q.plan.Snapshot, len(q.shards))
	plan := q.knowledge.planExcluding(now, q.shards, q.usableForOtherSnapshot, q.plan.Snapshot)
	if plan.Snapshot.IsZero() || plan.Expected <= pinnedKeys {
		return Action{Step: StepPartial}
	}
	q.restarts++
	q.plan = plan
	for leaf, scope := range q.failed {
		if scope == failedForSnapshot {
			delete(q.failed, leaf)
		}
	}
	return Action{Step: StepRestart, Plan: plan}
}
