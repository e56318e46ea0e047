package share

import "slices"

// Status describes a State for operators.
type Status struct {
	Host        string
	Incarnation uint64
	Session     uint32
	// Revision is the revision of the host list in force, Known the highest
	// revision that this process has seen.
	Revision uint64
	Known    uint64
	// Settled is set when the host list has replaced all lower revisions at every
	// host.
	Settled bool
	// Unsettled lists the hosts that have not confirmed that they have released
	// the shares that they lost by Revision.
	Unsettled []string
	Attached  bool
	Stopping  bool
	// Owned is the number of shares that this host owns, Held the number of those
	// that it may use now.
	Owned int
	Held  int
	// Taken lists the hosts whose shares this process uses as deputy. Lent lists
	// the deputies that have not acknowledged this session and so may use shares
	// of this host.
	Taken []string
	Lent  []string
	// Conflicts counts how often peers settled a newer view while this process
	// was using a lower one. It is zero unless an assumption was violated.
	Conflicts uint64
}

// Status returns the status of s.
func (s *State) Status() Status {
	st := Status{
		Host:        s.opts.Host,
		Incarnation: s.opts.Incarnation,
		Session:     s.session,
		Known:       s.highestKnown,
		Settled:     s.isSettled(),
		Attached:    s.attached,
		Stopping:    s.stopping,
		Conflicts:   s.conflicts,
	}
	if s.view != nil {
		st.Revision = s.view.revision
	}
	for name := range s.unsettled {
		if s.peers[name].released < st.Revision {
			st.Unsettled = append(st.Unsettled, name)
		}
	}
	for name, t := range s.takeovers {
		if !t.releasing {
			st.Taken = append(st.Taken, name)
		}
	}
	s.countShares(&st)
	slices.Sort(st.Unsettled)
	slices.Sort(st.Taken)
	slices.Sort(st.Lent)
	return st
}

func (s *State) countShares(st *Status) {
	lent := make(map[string]bool)
	for _, l := range s.leaves {
		for i := range l.shares {
			sh := &l.shares[i]
			if sh.role != roleOwner {
				continue
			}
			st.Owned++
			if sh.heldSlots > 0 {
				st.Held++
			} else if sh.Deputy != "" && s.peer(sh.Deputy).ackedSession != s.session {
				lent[sh.Deputy] = true
			}
		}
	}
	for name := range lent {
		st.Lent = append(st.Lent, name)
	}
}

// Attached reports whether this process has the contact with its cell that it
// needs to use shares.
func (s *State) Attached() bool { return s.attached }
