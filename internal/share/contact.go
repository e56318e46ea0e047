package share

import "time"

// checkLease ends the session if the time since the previous method call or the
// last contact with a peer reaches the lease. Every method that takes the current
// time calls it first.
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

// leaseEnd returns the time at which the lease ends that contact with peers has
// granted for the use of shares.
func (s *State) leaseEnd() time.Duration {
	var end time.Duration
	for _, p := range s.peers {
		if p.contact && p.contacted {
			end = max(end, p.contactAt+s.opts.UseLease)
		}
	}
	return end
}

// endSession starts a new session in which no share may be used until contact
// has been confirmed again and the deputy of the share has acknowledged the
// new session.
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

// dropAllShares ends the use of every share immediately.
func (s *State) dropAllShares() {
	for _, l := range s.leaves {
		for i := range l.shares {
			l.shares[i].heldSlots = 0
		}
		l.updateSums()
	}
}

// updateAttached attaches the process, which permits the use of shares in this
// session, if an attached peer is in contact or every host is accounted for. It
// also updates viewIsCurrent.
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

// hasAttachedPeer reports whether an attached peer is in contact in this session.
func (s *State) hasAttachedPeer(now time.Duration) bool {
	for _, p := range s.peers {
		if p.contact && p.flags&FlagAttached != 0 && s.inContact(p, now) {
			return true
		}
	}
	return false
}

// inContact reports whether there was two-way contact with the peer in this
// session and within the lease.
func (s *State) inContact(p *peer, now time.Duration) bool {
	return s.contactedInSession(p) && now < p.contactAt+s.opts.UseLease
}

// contactedInSession reports whether there was two-way contact with the peer in
// this session.
func (s *State) contactedInSession(p *peer) bool {
	return p.contacted && p.contactAt >= s.sessionStart
}

// allAccountedFor reports whether every other host is in contact, is stopped or
// has ended. A silent host may use a newer host list, so it is ignored only if it
// is gone and this process cannot have missed such a list.
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

// listConfirmed reports whether the view was read at least ListLag after this
// session began, so that it cannot be older than any list of earlier sessions.
func (s *State) listConfirmed() bool {
	return s.viewConfirmedAt >= s.sessionStart+s.opts.ListLag
}

// allHeardWhileAttached reports whether there are hosts in contact and each of
// them runs a process that this process has heard while it was attached. A newer
// list cannot have been settled without those processes.
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

// mayBeMember reports whether a host belongs to a view that may be in force at
// some host.
func (s *State) mayBeMember(p *peer) bool {
	_, unsettled := s.unsettled[p.name]
	return unsettled || s.view.members[p.name]
}

// predecessorEnd returns the time by which every call of an earlier process of
// this host must have ended. Until then nothing is handed over or acknowledged.
func (s *State) predecessorEnd() time.Duration {
	return s.start + s.longestCall + s.opts.Margin
}
