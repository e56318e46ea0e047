package coverage

import (
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
)

// Share is the covered part of the key space as a fraction.
type Share struct {
	// Covered is the number of keys known to be covered. If the share is
	// unknown it is a lower bound.
	Covered uint32
	// Total is the number of all keys, and 0 if the share is unknown.
	Total uint32
}

// Known reports whether the fraction is known.
func (s Share) Known() bool { return s.Total != 0 }

// Full reports whether everything is known to be covered.
func (s Share) Full() bool { return s.Known() && s.Covered == s.Total }

// Missing is one leaf call that gave no answer, and whose part of the key
// space no other answer is known to cover.
type Missing struct {
	Leaf  string
	Shard string
	// Range is the part that the leaf was expected to cover; zero if unknown.
	Range  snapshot.Range
	Reason kind.Kind
}

// Result is the merged answer to a query.
type Result struct {
	Snapshot snapshot.ID
	Hits     []Hit
	// Truncated reports that more documents were found than the limit.
	Truncated bool
	Share     Share
	// Missing says which leaves gave no answer and why.
	Missing []Missing
	// Gaps lists the parts of the key space that no answer covered.
	Gaps []snapshot.Range
}

// Share returns the share covered so far. It is unknown while no snapshot is
// pinned, and after an answer that did not say what it covered, unless the
// other answers cover everything.
func (c *Collector) Share() Share {
	covered := c.covered.Count()
	if c.pinned.IsZero() || (c.unplaced > 0 && !c.covered.Full()) {
		return Share{Covered: covered}
	}
	return Share{Covered: covered, Total: snapshot.KeySpace}
}

// Result returns the merged answer. Calls that are still pending are reported
// as missing with the kind pendingReason.
func (c *Collector) Result(pendingReason kind.Kind) Result {
	return Result{
		Snapshot:  c.pinned,
		Hits:      c.top.sorted(),
		Truncated: c.top.truncated,
		Share:     c.Share(),
		Missing:   c.missing(pendingReason),
		Gaps:      c.covered.Gaps(),
	}
}

// missing lists the calls without an answer that left a gap.
func (c *Collector) missing(pendingReason kind.Kind) []Missing {
	if c.covered.Full() {
		return nil
	}
	var missing []Missing
	for i := range c.parts {
		p := &c.parts[i]
		if p.state == partAnswered || c.replaced(p) {
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

// replaced reports whether other answers cover the part of p. If its range is
// not known, an answer of the same shard counts.
func (c *Collector) replaced(p *part) bool {
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
