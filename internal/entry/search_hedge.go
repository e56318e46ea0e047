package entry

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/hedge"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// hedgeSchedule holds when a query next decides on hedges.
type hedgeSchedule struct {
	// nextAt is the time of the next decision, zero for none.
	nextAt time.Duration
	// onAnswer is set if the next answer causes a decision.
	onAnswer bool
}

// startHedging adds the first attempts to the hedge and retry budgets and schedules
// the first decision.
func (run *searchRun) startHedging(firstAttempts int) {
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	run.state.hedges.FirstAttempts(firstAttempts)
	run.state.retryBudget.FirstAttempts(firstAttempts)
	run.hedgeSchedule = hedgeSchedule{}
	if delay, known := run.state.hedges.Delay(nil); known {
		run.hedgeSchedule.nextAt = run.now() + delay
	}
}

// hedgeOnAnswer decides on hedges if the latest decision waits for an answer.
func (run *searchRun) hedgeOnAnswer() {
	if run.hedgeSchedule.onAnswer {
		run.decideHedges()
	}
}

// hedgeIfDue decides on hedges if the next decision is due.
func (run *searchRun) hedgeIfDue() {
	if run.hedgeSchedule.nextAt > 0 && run.now() >= run.hedgeSchedule.nextAt {
		run.decideHedges()
	}
}

// decideHedges decides on a hedge for each part that has no answer but may still
// get one.
func (run *searchRun) decideHedges() {
	run.hedgeSchedule = hedgeSchedule{}
	for _, part := range run.parts {
		if !part.answered && part.pending() {
			run.decideHedge(part)
		}
	}
}

func (run *searchRun) decideHedge(part *partCalls) {
	now := run.now()
	run.state.mu.Lock()
	decision := run.state.hedges.Decide(now, hedge.Call{
		LastSent:    part.lastSent,
		Hedges:      part.hedges,
		Idempotent:  true,
		Deadline:    run.answerBy,
		Answered:    run.answered,
		Leaves:      len(run.parts),
		Utilization: run.state.utilization,
		HasReplica:  true,
	})
	var choice snapshot.Choice
	found := false
	if decision.Verdict == hedge.Send {
		choice, found = run.query.Hedge(now, part.calls[0].choice)
		if !found {
			run.state.hedges.Return()
		}
	}
	run.state.mu.Unlock()
	switch {
	case found:
		part.hedges++
		run.count("hedges")
		run.callLeaf(choice, part, nil)
		run.scheduleHedging(now + hedgeRecheck)
	case decision.Verdict == hedge.Wait && decision.At > 0:
		run.scheduleHedging(decision.At)
	case decision.Verdict == hedge.Wait:
		run.hedgeSchedule.onAnswer = true
	}
}

// hedgeRecheck bounds the time from a hedge to the next decision.
const hedgeRecheck = 5 * time.Millisecond

func (run *searchRun) scheduleHedging(nextAt time.Duration) {
	if run.hedgeSchedule.nextAt == 0 || nextAt < run.hedgeSchedule.nextAt {
		run.hedgeSchedule.nextAt = nextAt
	}
}
