package coverage

import (
	"math"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// Policy is the coverage that an answer must have.
type Policy struct {
	// Full refuses an answer that is not known to reach Minimum. Without it, an
	// answer with an unknown fraction is returned and marked as such.
	Full bool
	// Minimum is the least number of keys that an answer must cover.
	Minimum uint32
}

// PolicyOf returns the coverage policy of a service.
func PolicyOf(p document.Policy) Policy {
	fraction := min(max(p.MinimumCoverage, 0), 1)
	return Policy{
		Full:    p.Coverage == document.CoverageFull,
		Minimum: uint32(math.Ceil(fraction * snapshot.KeySpace)),
	}
}

// Verdict is the decision on a query.
type Verdict uint8

// The verdicts of Decide.
const (
	// Wait waits for more answers.
	Wait Verdict = iota
	// Reply returns the merged result to the caller.
	Reply
	// Refuse fails the query with the error that Decide returned.
	Refuse
)

// Decide reports whether to answer the caller now. It returns Wait while a pending
// call can still add coverage before the deadline, and Refuse as soon as the
// minimum can no longer be reached.
func (c *Collector) Decide(now, deadline time.Duration, policy Policy) (Verdict, error) {
	if c.covered.Full() {
		return Reply, nil
	}
	if now >= deadline || c.pending == 0 {
		return c.decideFinal(policy)
	}
	reachable := c.reachable()
	if c.withoutRange == 0 && reachable < policy.Minimum {
		return Refuse, c.tooLowError(reachable, policy)
	}
	if reachable == c.covered.Count() {
		return c.decideFinal(policy)
	}
	return Wait, nil
}

// decideFinal decides based on the answers that have arrived, without waiting for
// more.
func (c *Collector) decideFinal(policy Policy) (Verdict, error) {
	covered := c.covered.Count()
	if c.withoutRange > 0 && !policy.Full {
		return Reply, nil
	}
	if covered == 0 || covered < policy.Minimum {
		return Refuse, c.tooLowError(covered, policy)
	}
	return Reply, nil
}

// tooLowError returns the error for a query whose coverage is too low.
func (c *Collector) tooLowError(reachable uint32, policy Policy) error {
	return kind.Errorf(kind.CoverageTooLow, "only %d of %d keys of snapshot %q can be covered; the service requires %d",
		reachable, snapshot.KeySpace, c.pinned.Name, policy.Minimum)
}
