// Package snapshot chooses the snapshot of an index that answers a query, and the
// leaves that serve the query. An entry learns which snapshots each leaf holds
// from answers, refusals and lists of held snapshots, and pins one snapshot per
// query.
//
// The package does no I/O and reads no clock: monotonic time is passed in, and
// the caller must guard the Inventory of each service with a lock.
package snapshot

// ID identifies one snapshot of a service's index.
type ID struct {
	// Sequence orders the snapshots of a service; 0 if the order is unknown.
	Sequence uint64
	// Name is the opaque identifier that targets use.
	Name string
}

// IsZero reports whether id identifies no snapshot.
func (id ID) IsZero() bool { return id.Name == "" }

// Same reports whether both IDs identify the same snapshot.
func (id ID) Same(other ID) bool { return id.Name == other.Name }

// Newer reports whether id is newer than other. Snapshots with equal sequence
// numbers are ordered by name, so that all hosts use the same order.
func (id ID) Newer(other ID) bool {
	if id.Sequence != other.Sequence {
		return id.Sequence > other.Sequence
	}
	return id.Name > other.Name
}
