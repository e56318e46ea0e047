// Package snapshot decides which snapshot of an index answers a query and
// which leaves serve it. An entry learns the snapshots that each leaf holds
// from answers, refusals and hold lists, and pins one snapshot per query.
//
// The package is pure: monotonic time is passed in, and the caller holds the
// lock of the service whose Knowledge it uses.
package snapshot

// ID identifies one snapshot of a service's index.
type ID struct {
	// Sequence orders the snapshots of a service; 0 when the order is unknown.
	Sequence uint64
	// Name is the opaque identity that targets use.
	Name string
}

// IsZero reports whether id names no snapshot.
func (id ID) IsZero() bool { return id.Name == "" }

// Same reports whether both identifiers name the same snapshot.
func (id ID) Same(other ID) bool { return id.Name == other.Name }

// Newer reports whether id is newer than other. Snapshots of equal sequence
// are ordered by name, so that all hosts agree.
func (id ID) Newer(other ID) bool {
	if id.Sequence != other.Sequence {
		return id.Sequence > other.Sequence
	}
	return id.Name > other.Name
}
