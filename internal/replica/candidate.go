package replica

import "slices"

// Condition states whether the entry host knows a leaf to be warm.
type Condition uint8

// The conditions of a leaf.
const (
	// Cold is also the condition of a leaf about which nothing is known.
	Cold Condition = iota
	Warm
)

// Snapshot states whether the entry host knows a leaf to hold the pinned snapshot.
type Snapshot uint8

// The states of a snapshot at a leaf.
const (
	SnapshotUnknown Snapshot = iota
	SnapshotHeld
	SnapshotMissing
)

// Candidate is one replica of a shard.
type Candidate struct {
	// Instance is the process group of the replica. Two attempts of one call never
	// go to the same instance.
	Instance string
	// TakenOut is set if the replica's data centre receives no new work.
	TakenOut bool
	// Leaving is set if the leaf is leaving and receives no new work.
	Leaving   bool
	Condition Condition
	Snapshot  Snapshot
	// Slots and ColdSlots are the number of calls that the leaf can run at the same
	// time, ColdSlots while it is cold.
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

// count reports whether c is excluded, and if so counts it by reason.
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
