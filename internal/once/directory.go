package once

// maxHandovers bounds the hand-overs that a Directory records.
const maxHandovers = 1024

// maxHops bounds the successors that Resolve follows.
const maxHops = 8

// Directory records which process took over the tickets of another. It serves only
// to find the process that holds a ticket: an entry host without the record of a
// hand-over answers that the ticket is unknown. Its caller must hold a lock.
type Directory struct {
	successors map[Process]Process
	// order lists the keys of successors, the oldest first.
	order []Process
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{successors: make(map[Process]Process)}
}

// RecordSuccessor records a hand-over. Beyond maxHandovers the oldest one is
// dropped.
func (d *Directory) RecordSuccessor(from, to Process) {
	if _, known := d.successors[from]; !known {
		if len(d.order) == maxHandovers {
			delete(d.successors, d.order[0])
			d.order = d.order[1:]
		}
		d.order = append(d.order, from)
	}
	d.successors[from] = to
}

// Resolve returns the process that now holds the tickets of home, as far as the
// hand-overs are recorded.
func (d *Directory) Resolve(home Process) Process {
	for range maxHops {
		next, found := d.successors[home]
		if !found {
			return home
		}
		home = next
	}
	return home
}
