package entry

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/hedge"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// hedging is when a query next decides on hedges.
type hedging struct {
	// at is the time of the next decision, zero for none.
	at time.Duration
	// onAnswer asks for a decision at the next answer.
	onAnswer bool
}

// startHedging counts the first tries and plans the first decision.
func (run *searchRun) startHedging(tries int) {
	run.state.mu.Lock()
	defer run.state.mu.Unlock()
	run.state.hedges.FirstTries(tries)
	run.state.retries.FirstTries(tries)
	run.hedging = hedging{}
	if delay, known := run.state.hedges.Delay(nil); known {
		run.hedging.at = run.now() + delay
	}
}

// hedgeOnAnswer decides again if a decision waits for an answer.
func (run *searchRun) hedgeOnAnswer() {
	if run.hedging.onAnswer {
		run.decideHedges()
	}
}

// hedgeDue decides if the time of the next decision has come.
func (run *searchRun) hedgeDue() {
	if run.hedging.at > 0 && run.now() >= run.hedging.at {
		run.decideHedges()
	}
}

// decideHedges decides on a hedge for each part that has no answer.
func (run *searchRun) decideHedges() {
	run.hedging = hedging{}
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
		Utilization: run.state.busy,
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
		run.try(choice, part, nil)
		run.wakeAt(now + hedgeRecheck)
	case decision.Verdict == hedge.Wait && decision.At > 0:
		run.wakeAt(decision.At)
	case decision.Verdict == hedge.Wait:
		run.hedging.onAnswer = true
	}
}

// hedgeRecheck is the time after a hedge at which its part is looked at again.
const hedgeRecheck = 5 * time.Millisecond

func (run *searchRun) wakeAt(at time.Duration) {
	if run.hedging.at == 0 || at < run.hedging.at {
		run.hedging.at = at
	}
}
