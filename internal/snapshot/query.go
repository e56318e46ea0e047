package snapshot

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// maxRestarts bounds how often one query starts again on another snapshot.
const maxRestarts = 2

// Step says how a query goes on after a leaf of its plan failed.
type Step uint8

// The steps after a failed leaf.
const (
	// StepPartial goes on without the part that the leaf would have covered.
	StepPartial Step = iota
	// StepTry calls another leaf on the same snapshot.
	StepTry
	// StepRestart discards all answers and starts again on another snapshot.
	StepRestart
	// StepStale ignores the failure: its call belongs to a plan that has been
	// replaced.
	StepStale
)

// Action is a Step and what it needs.
type Action struct {
	Step Step
	// Leaf is the leaf to call in StepTry.
	Leaf Choice
	// Plan is the new plan in StepRestart.
	Plan Plan
}

// failure is why a leaf is not called again by a query.
type failure uint8

const (
	failedHere failure = iota + 1 // does not hold the pinned snapshot
	failedForQuery
)

// Query follows one caller's query over its pinned snapshot. It is used under
// the lock of its Knowledge.
type Query struct {
	know     *Inventory
	shards   []Shard
	cost     CostFunc
	deadline time.Duration
	plan     Plan
	failed   map[string]failure
	restarts int
}

// NewQuery plans a query that must be answered by deadline.
func (k *Inventory) NewQuery(now, deadline time.Duration, shards []Shard, cost CostFunc) *Query {
	q := &Query{know: k, shards: shards, cost: cost, deadline: deadline}
	q.plan = k.Plan(now, shards, cost)
	return q
}

// Plan returns the plan in force.
func (q *Query) Plan() Plan { return q.plan }

// Replan plans again, for a query whose plan had no snapshot, after the hold
// lists have been observed.
func (q *Query) Replan(now time.Duration) Plan {
	q.plan = q.know.Plan(now, q.shards, q.usable)
	return q.plan
}

// Failed decides how to go on after the call of choice ended with kind why
// and no answer. The caller observes the leaf's hold list, if it came with the
// refusal, before. A restart needs the time pass of a whole query to be left
// before the deadline.
func (q *Query) Failed(now time.Duration, choice Choice, why kind.Kind, pass time.Duration) Action {
	if !choice.Snapshot.Same(q.plan.Snapshot) {
		return Action{Step: StepStale}
	}
	q.markFailed(choice.Leaf, why)
	if other, ok := q.alternative(now, choice); ok {
		q.plan.Choices = append(q.plan.Choices, other)
		return Action{Step: StepTry, Leaf: other}
	}
	if q.restarts >= maxRestarts || q.deadline-now < pass {
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

// markFailed records that leaf is not called again.
func (q *Query) markFailed(leaf string, why kind.Kind) {
	if q.failed == nil {
		q.failed = make(map[string]failure)
	}
	q.failed[leaf] = failedForQuery
	if why == kind.SnapshotNotHeld {
		q.failed[leaf] = failedHere
	}
}

// usable is the cost function without the leaves that failed in this query.
func (q *Query) usable(leaf string) (float64, bool) {
	if q.failed[leaf] != 0 {
		return 0, false
	}
	return q.cost(leaf)
}

// usableElsewhere is the cost function for another snapshot, which a leaf
// without the pinned one may hold.
func (q *Query) usableElsewhere(leaf string) (float64, bool) {
	if q.failed[leaf] == failedForQuery {
		return 0, false
	}
	return q.cost(leaf)
}

// alternative returns the cheapest leaf not in the plan that may cover the
// part of choice in the pinned snapshot. Leaves known to hold the snapshot go
// first.
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

// preferred reports whether a goes before b.
func preferred(a Choice, costA float64, b Choice, costB float64) bool {
	if a.Known != b.Known {
		return a.Known
	}
	return costA < costB
}

// covers reports whether a leaf of shard i may cover the part of choice in the
// pinned snapshot: by a known range, or as a replica of the same shard.
func (q *Query) covers(now time.Duration, i int, leaf string, choice Choice) (Choice, bool) {
	other := Choice{Leaf: leaf, Shard: q.shards[i].Name, Snapshot: q.plan.Snapshot, index: i}
	replica := i == choice.index
	state := q.know.fresh(now, leaf)
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

// restartIfBetter restarts on another snapshot if more of it is known to be
// held than is still possible of the pinned one.
func (q *Query) restartIfBetter(now time.Duration) Action {
	q.know.collect(now, q.shards, q.usable)
	here := q.know.scratch.possible(q.plan.Snapshot, len(q.shards))
	plan := q.know.planWithout(now, q.shards, q.usableElsewhere, q.plan.Snapshot)
	if plan.Snapshot.IsZero() || plan.Expected <= here {
		return Action{Step: StepPartial}
	}
	q.restarts++
	q.plan = plan
	for leaf, reason := range q.failed {
		if reason == failedHere {
			delete(q.failed, leaf)
		}
	}
	return Action{Step: StepRestart, Plan: plan}
}
