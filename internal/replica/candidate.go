package replica

import "slices"

// Condition is what the entry host knows of a leaf's cold start.
type Condition uint8

// The conditions of a leaf.
const (
	// Cold is also the condition of a leaf of which nothing is known.
	Cold Condition = iota
	Warm
)

// Snapshot is what the entry host knows of the pinned snapshot at a leaf.
type Snapshot uint8

// The states of a snapshot at a leaf.
const (
	SnapshotUnknown Snapshot = iota
	SnapshotHeld
	SnapshotMissing
)

// Candidate is one replica of a shard.
type Candidate struct {
	// Instance is the process group of the replica. Two tries of one call never
	// go to the same instance.
	Instance string
	// TakenOut says that the replica's data centre receives no new work.
	TakenOut bool
	// Leaving says that the leaf receives no new work.
	Leaving   bool
	Condition Condition
	Snapshot  Snapshot
	// Slots and ColdSlots bound the calls that the leaf can bear.
	Slots     int
	ColdSlots int
	Stats     *Stats
}

// Excluded counts the candidates that cannot be chosen, by reason.
type Excluded struct {
	TakenOut        int
	Leaving         int
	SnapshotMissing int
	Tried           int
}

// count counts c and reports whether it is excluded.
func (x *Excluded) count(c *Candidate, tried []string) bool {
	switch {
	case c.TakenOut:
		x.TakenOut++
	case c.Leaving:
		x.Leaving++
	case c.Snapshot == SnapshotMissing:
		x.SnapshotMissing++
	case slices.Contains(tried, c.Instance):
		x.Tried++
	default:
		return false
	}
	return true
}
