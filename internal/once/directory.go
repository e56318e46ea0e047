package once

// maxMoves bounds the hand-overs that a Directory remembers.
const maxMoves = 1024

// maxChain bounds the successors that Resolve follows.
const maxChain = 8

// Directory remembers which process took over the tickets of which. It only
// helps to find a ticket's process; an entry that lacks a hand-over answers
// that the ticket is unknown. It is used under its caller's lock.
type Directory struct {
	successors map[Process]Process
	// order lists the keys of successors, the oldest first.
	order []Process
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{successors: make(map[Process]Process)}
}

// RecordSuccessor records a hand-over.
func (d *Directory) RecordSuccessor(from, to Process) {
	if _, known := d.successors[from]; !known {
		if len(d.order) == maxMoves {
			delete(d.successors, d.order[0])
			d.order = d.order[1:]
		}
		d.order = append(d.order, from)
	}
	d.successors[from] = to
}

// Resolve returns the process that holds the tickets of home now.
func (d *Directory) Resolve(home Process) Process {
	for range maxChain {
		next, moved := d.successors[home]
		if !moved {
			return home
		}
		home = next
	}
	return home
}
