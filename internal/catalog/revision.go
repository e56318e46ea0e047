package catalog

// revisionBits is the number of bits of a revision that hold its number in the history; those above
// hold the era.
const revisionBits = 44

// NewRevision returns the revision with a number in an era of the history. A history that was lost
// in part and gives out numbers again begins a new era. Revisions are ordered by era, then by
// number.
func NewRevision(era, number uint64) uint64 {
	return era<<revisionBits | min(number, 1<<revisionBits-1)
}

// SplitRevision returns the era and the number of a revision.
func SplitRevision(revision uint64) (era, number uint64) {
	return revision >> revisionBits, revision & (1<<revisionBits - 1)
}

// Number returns the number of a revision in its era, for logs.
func Number(revision uint64) uint64 {
	_, number := SplitRevision(revision)
	return number
}

// laterEra reports whether a revision is of a later era than another one.
func laterEra(revision, other uint64) bool { return revision>>revisionBits > other>>revisionBits }
