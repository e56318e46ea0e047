package share

import "time"

// takeover records that this process uses shares of another host as their deputy.
type takeover struct {
	startedAt time.Duration
	// releasing is set once the shares are no longer used and the takeover waits
	// for calls in flight.
	releasing  bool
	releasedAt time.Duration
}

// startRelease starts the release of the shares; the takeover ends once its calls
// have ended.
func (t *takeover) startRelease(now time.Duration) {
	if !t.releasing {
		t.releasing = true
		t.releasedAt = now
	}
}

// returnTaken returns shares to owners that can use them again, and deletes
// takeovers whose shares are released and whose calls have ended.
func (s *State) returnTaken(now time.Duration) {
	for name, t := range s.takeovers {
		if s.canReturn(s.peers[name], t) {
			t.startRelease(now)
			s.dropTaken(name)
		}
		if t.releasing && s.takenDrained(name, t, now) {
			delete(s.takeovers, name)
			s.nextHeartbeat = now
		}
	}
}

// canReturn reports whether the owner can use its shares again: it has been heard
// since the takeover, is attached and has this view or a newer one.
func (s *State) canReturn(p *peer, t *takeover) bool {
	if p == nil || p.heardAt <= t.startedAt {
		return false
	}
	attached := p.flags&FlagAttached != 0 && p.flags&FlagStopping == 0
	return attached && p.revision >= s.view.revision
}

// dropTaken ends the use of an owner's shares by this process.
func (s *State) dropTaken(owner string) {
	for _, l := range s.leaves {
		for i := range l.shares {
			if sh := &l.shares[i]; sh.role == roleDeputy && sh.Owner == owner {
				sh.heldSlots = 0
			}
		}
		l.updateSums()
	}
}

// takenDrained reports whether the calls on an owner's shares have drained.
func (s *State) takenDrained(owner string, t *takeover, now time.Duration) bool {
	for _, l := range s.leaves {
		for i := range l.shares {
			sh := &l.shares[i]
			if sh.role == roleDeputy && sh.Owner == owner && !s.drained(l, t.releasedAt, now) {
				return false
			}
		}
	}
	return true
}

// startShares starts the use of every share that this process may use.
func (s *State) startShares(now time.Duration) {
	if !s.attached || !s.viewIsCurrent || s.stopping {
		return
	}
	for _, l := range s.leaves {
		if now < s.start+l.maxCall+s.opts.Margin {
			continue
		}
		changed := false
		for i := range l.shares {
			changed = s.startShare(l, &l.shares[i], now) || changed
		}
		if changed {
			l.updateSums()
			s.verdictVersion++
		}
	}
}

// startShare starts the use of one share if this process may use it, and reports
// whether it did.
func (s *State) startShare(l *leaf, sh *share, now time.Duration) bool {
	if sh.role == roleNone || sh.heldSlots == sh.Slots || !sh.stable {
		return false
	}
	if sh.role == roleOwner {
		if sh.heldSlots == 0 && !s.unusedByDeputy(sh, l, now) {
			return false
		}
		sh.heldSlots = sh.Slots
		return true
	}
	return s.takeOver(l, sh, now)
}

// unusedByDeputy reports whether it is certain that the deputy does not use the
// share: there is none, it has acknowledged this session within the lease, or it
// is gone.
func (s *State) unusedByDeputy(sh *share, l *leaf, now time.Duration) bool {
	if sh.Deputy == "" {
		return true
	}
	p := s.peer(sh.Deputy)
	return s.acknowledges(p, now) || s.gone(p, now, l.maxCall)
}

// acknowledges reports whether a peer has confirmed within the lease that it uses
// none of this process's shares. A peer under another view may have become their
// owner, so its confirmation counts only if it has the same view and has released
// the shares that it lost by it, or if it still has the last settled view.
func (s *State) acknowledges(p *peer, now time.Duration) bool {
	if p.ackedSession != s.session || !s.inContact(p, now) {
		return false
	}
	sameView := p.revision == s.view.revision && p.released == p.revision
	return sameView || p.revision <= s.settled
}

// takeOver starts the use of a share as deputy if its owner does not use it.
func (s *State) takeOver(l *leaf, sh *share, now time.Duration) bool {
	owner := s.peer(sh.Owner)
	t := s.takeovers[sh.Owner]
	if t != nil && t.releasing {
		return false
	}
	if !s.gone(owner, now, l.maxCall) && !s.handedOver(owner, l) {
		return false
	}
	if t == nil {
		s.takeovers[sh.Owner] = &takeover{startedAt: now}
	}
	sh.heldSlots = sh.Slots
	return true
}

// handedOver reports whether the owner is stopping, has been in contact in this
// session, and has no call of the leaf in flight.
func (s *State) handedOver(owner *peer, l *leaf) bool {
	if owner.flags&FlagStopping == 0 || !s.contactedInSession(owner) {
		return false
	}
	for _, hash := range owner.draining {
		if hash == l.hash {
			return false
		}
	}
	return true
}

// drainingLeaves returns the hashes of the leaves with calls in flight.
func (s *State) drainingLeaves() []uint64 {
	var draining []uint64
	for _, l := range s.leaves {
		if l.inUse > 0 {
			draining = append(draining, l.hash)
		}
	}
	return draining
}
