package coverage

import (
	"math"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// Policy says which coverage an answer needs.
type Policy struct {
	// Full refuses an answer that is not known to reach Minimum. Otherwise an
	// answer with an unknown share is given and says so.
	Full bool
	// Minimum is the least number of covered keys of an answer.
	Minimum uint32
}

// PolicyOf returns the coverage policy of a service.
func PolicyOf(p document.Policy) Policy {
	share := min(max(p.MinimumCoverage, 0), 1)
	return Policy{
		Full:    p.Coverage == document.CoverageFull,
		Minimum: uint32(math.Ceil(share * snapshot.KeySpace)),
	}
}

// Verdict is what to do with a query now.
type Verdict uint8

// The verdicts of Decide.
const (
	// Wait for more answers.
	Wait Verdict = iota
	// Reply with the merged result.
	Reply
	// Refuse the query with the error that Decide returned.
	Refuse
)

// Decide says whether the caller gets an answer now. It waits while a pending
// call can still add coverage before the deadline. It refuses as soon as the
// minimum can't be reached any more.
func (c *Collector) Decide(now, deadline time.Duration, policy Policy) (Verdict, error) {
	if c.covered.Full() {
		return Reply, nil
	}
	if now >= deadline || c.pending == 0 {
		return c.conclude(policy)
	}
	reachable := c.reachable()
	if c.unplaced == 0 && reachable < policy.Minimum {
		return Refuse, c.tooLow(reachable, policy)
	}
	if reachable == c.covered.Count() {
		return c.conclude(policy)
	}
	return Wait, nil
}

// conclude decides on the answers that have arrived.
func (c *Collector) conclude(policy Policy) (Verdict, error) {
	covered := c.covered.Count()
	if c.unplaced > 0 && !policy.Full {
		return Reply, nil
	}
	if covered == 0 || covered < policy.Minimum {
		return Refuse, c.tooLow(covered, policy)
	}
	return Reply, nil
}

// tooLow returns the error of a refused answer.
func (c *Collector) tooLow(reachable uint32, policy Policy) error {
	return kind.Errorf(kind.CoverageTooLow, "%d of %d keys of snapshot %q can be covered, the service needs %d",
		reachable, snapshot.KeySpace, c.pinned.Name, policy.Minimum)
}
