package coverage

import (
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// Fraction is the covered fraction of the key space.
type Fraction struct {
	// Covered is the number of keys known to be covered. If the fraction
	// is unknown, it is a lower bound.
	Covered uint32
	// Total is the number of keys in the key space, or 0 if the fraction is unknown.
	Total uint32
}

// Known reports whether the fraction is known.
func (f Fraction) Known() bool { return f.Total != 0 }

// Full reports whether the whole key space is known to be covered.
func (f Fraction) Full() bool { return f.Known() && f.Covered == f.Total }

// Missing is a leaf call without an answer whose part of the key space is not known
// to be covered by other answers.
type Missing struct {
	Leaf  string
	Shard string
	// Range is the range that the leaf was expected to cover; zero if unknown.
	Range  snapshot.Range
	Reason kind.Kind
}

// Result is the merged answer to a query.
type Result struct {
	Snapshot snapshot.ID
	Hits     []Hit
	// Truncated reports that the leaves found more documents than the limit.
	Truncated bool
	Fraction  Fraction
	// Missing lists the leaves that gave no answer, with the reasons.
	Missing []Missing
	// Gaps lists the parts of the key space that no answer covered.
	Gaps []snapshot.Range
}

// Fraction returns the fraction covered so far. It is unknown if no snapshot is pinned, or
// if an answer did not report its range and the other answers do not cover the whole
// key space.
func (c *Collector) Fraction() Fraction {
	covered := c.covered.Count()
	if c.pinned.IsZero() || (c.withoutRange > 0 && !c.covered.Full()) {
		return Fraction{Covered: covered}
	}
	return Fraction{Covered: covered, Total: snapshot.KeySpace}
}

// Result returns the merged answer. Calls that are still pending are listed as
// missing with the kind pendingReason.
func (c *Collector) Result(pendingReason kind.Kind) Result {
	return Result{
		Snapshot:  c.pinned,
		Hits:      c.top.sorted(),
		Truncated: c.top.truncated,
		Fraction:  c.Fraction(),
		Missing:   c.missing(pendingReason),
		Gaps:      c.covered.Gaps(),
	}
}

// missing returns the calls without an answer whose part is not covered by other
// answers.
func (c *Collector) missing(pendingReason kind.Kind) []Missing {
	if c.covered.Full() {
		return nil
	}
	var missing []Missing
	for i := range c.parts {
		p := &c.parts[i]
		if p.state == partAnswered || c.coveredByOthers(p) {
			continue
		}
		m := Missing{Leaf: p.leaf, Shard: p.shard, Range: p.expected, Reason: p.reason}
		if p.state == partPending {
			m.Reason = pendingReason
		}
		missing = append(missing, m)
	}
	return missing
}

// coveredByOthers reports whether other answers cover the range of p. If the range
// is unknown, an answer from the same shard is taken to cover it.
func (c *Collector) coveredByOthers(p *part) bool {
	if p.expected.Valid() {
		return c.covered.Contains(p.expected)
	}
	for i := range c.parts {
		if c.parts[i].state == partAnswered && c.parts[i].shard == p.shard {
			return true
		}
	}
	return false
}
