package share

import "time"

// checkLease lapses the session if the time of the last call or the contact with
// peers is too long ago.
func (s *State) checkLease(now time.Duration) {
	gap := now - s.lastNow
	s.lastNow = now
	if s.contactFree || !s.attached {
		return
	}
	if gap >= s.opts.UseLease || now >= s.leaseEnd() {
		s.endSession(now)
	}
}

// leaseEnd returns until when the contact with peers permits the use of shares.
func (s *State) leaseEnd() time.Duration {
	var end time.Duration
	for _, p := range s.peers {
		if p.contact && p.contacted {
			end = max(end, p.contactAt+s.opts.UseLease)
		}
	}
	return end
}

// endSession ends the session: no share may be used until contact has been
// confirmed anew and each share's deputy has acknowledged the new session.
func (s *State) endSession(now time.Duration) {
	s.session++
	s.sessionStart = now
	s.attached = false
	s.viewIsCurrent = false
	s.nextHeartbeat = now
	s.dropAllShares()
	for _, t := range s.takeovers {
		t.startRelease(now)
	}
}

// dropAllShares ends the use of every share at once.
func (s *State) dropAllShares() {
	for _, l := range s.leaves {
		for i := range l.shares {
			l.shares[i].heldSlots = 0
		}
		l.sum()
	}
}

// updateAttached starts the use of shares in this session: through a peer that is
// attached, or if every host is accounted for.
func (s *State) updateAttached(now time.Duration) {
	if !s.attached {
		s.attached = !s.stoppedHosts[s.opts.Host] && (s.hasAttachedPeer(now) || s.allAccountedFor(now))
		if s.attached {
			s.nextHeartbeat = now
		}
	}
	if s.attached && s.view.revision >= s.highestKnown {
		s.viewIsCurrent = true
	}
}

// hasAttachedPeer reports contact in this session with a peer that is attached.
func (s *State) hasAttachedPeer(now time.Duration) bool {
	for _, p := range s.peers {
		if p.contact && p.flags&FlagAttached != 0 && s.inContact(p, now) {
			return true
		}
	}
	return false
}

// inContact reports two-way contact in this session within the lease.
func (s *State) inContact(p *peer, now time.Duration) bool {
	return s.contactedInSession(p) && now < p.contactAt+s.opts.UseLease
}

// contactedInSession reports two-way contact in this session.
func (s *State) contactedInSession(p *peer) bool {
	return p.contacted && p.contactAt >= s.sessionStart
}

// allAccountedFor reports that every other host is in contact or has ended. A
// silent host may act on a newer host list, so that it is passed over only if
// it is fenced and this process could not have missed that list.
func (s *State) allAccountedFor(now time.Duration) bool {
	mayIgnoreSilent := s.listConfirmed() || s.allHeardWhileAttached(now)
	for _, p := range s.peers {
		if !s.mayBeMember(p) || s.stoppedHosts[p.name] || s.inContact(p, now) || s.endedInSession(p) {
			continue
		}
		if !mayIgnoreSilent || !s.gone(p, now, s.longestCall) {
			return false
		}
	}
	return true
}

// listConfirmed reports that the view was read again so late in this session
// that it shows every list of earlier sessions.
func (s *State) listConfirmed() bool {
	return s.viewConfirmedAt >= s.sessionStart+s.opts.ListLag
}

// allHeardWhileAttached reports that each host in contact runs the same process as when
// this one was attached. A newer list cannot have been settled without them.
func (s *State) allHeardWhileAttached(now time.Duration) bool {
	found := false
	for _, p := range s.peers {
		if !s.mayBeMember(p) || !s.inContact(p, now) {
			continue
		}
		if !p.heardWhileAttached {
			return false
		}
		found = true
	}
	return found
}

// mayBeMember reports whether a host belongs to a view that may be in force.
func (s *State) mayBeMember(p *peer) bool {
	_, unsettled := s.unsettledHosts[p.name]
	return unsettled || s.view.members[p.name]
}

// predecessorEnd is when every call of an earlier process of this host must
// have ended. Nothing is handed over or acknowledged before.
func (s *State) predecessorEnd() time.Duration {
	return s.start + s.longestCall + s.opts.Margin
}
