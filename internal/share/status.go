package share

import "slices"

// Status describes a State for operators.
type Status struct {
	Host        string
	Incarnation uint64
	Session     uint32
	// Revision is the host list in force, Known the highest heard of.
	Revision uint64
	Known    uint64
	// Settled is set when the host list has replaced all lower ones.
	Settled bool
	// Unsettled lists the hosts that have not confirmed to have released what
	// they lost by Revision.
	Unsettled []string
	Attached  bool
	Stopping  bool
	// Owned counts the shares of this host, Held those of them in use.
	Owned int
	Held  int
	// Taken lists the hosts whose shares are in use here, and Lent those that
	// do not acknowledge this session and so may use shares of this host.
	Taken []string
	Lent  []string
	// Conflicts counts how often peers had replaced the view in force here
	// while it was in use. It is zero unless an assumption was broken.
	Conflicts uint64
}

// Status returns a description for operators.
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
	for name := range s.unsettledHosts {
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

// Attached reports whether this process hears from its cell, so that it may use
// shares.
func (s *State) Attached() bool { return s.attached }
