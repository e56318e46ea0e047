package share

import "time"

// takeover records that this process uses shares of a host as its deputy.
type takeover struct {
	startedAt time.Duration
	// releasing is set once the shares are no longer used and running calls
	// are awaited.
	releasing  bool
	releasedAt time.Duration
}

// startRelease ends the takeover as soon as its calls have ended.
func (t *takeover) startRelease(now time.Duration) {
	if !t.releasing {
		t.releasing = true
		t.releasedAt = now
	}
}

// returnTaken returns shares to owners that can use them again, and forgets
// takeovers whose calls have ended.
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

// canReturn reports whether the owner is able to use its shares again.
func (s *State) canReturn(p *peer, t *takeover) bool {
	if p == nil || p.heardAt <= t.startedAt {
		return false
	}
	attached := p.flags&FlagAttached != 0 && p.flags&FlagStopping == 0
	return attached && p.revision >= s.view.revision
}

// dropTaken ends the use of an owner's shares.
func (s *State) dropTaken(owner string) {
	for _, l := range s.leaves {
		for i := range l.shares {
			if sh := &l.shares[i]; sh.role == roleDeputy && sh.Owner == owner {
				sh.heldSlots = 0
			}
		}
		l.sum()
	}
}

// takenDrained reports that no call of an owner's shares is running.
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

// startShares starts the use of every share whose rules are met.
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
			l.sum()
			s.verdictVersion++
		}
	}
}

// startShare starts the use of one share if its rules are met.
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

// unusedByDeputy reports that the deputy does not use the share: it has acknowledged
// this session within the lease, or it is gone.
func (s *State) unusedByDeputy(sh *share, l *leaf, now time.Duration) bool {
	if sh.Deputy == "" {
		return true
	}
	p := s.peer(sh.Deputy)
	return s.acknowledges(p, now) || s.gone(p, now, l.maxCall)
}

// acknowledges reports that a peer has confirmed within the lease that it uses
// none of our shares. A peer under another view may have become their owner, so
// that it counts only if it has released what it lost before our view, or has
// not yet left the view that was settled last.
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

// handedOver reports that a stopping owner, which was running in this session,
// has no call of the leaf running.
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

// drainingLeaves returns the leaves with running calls.
func (s *State) drainingLeaves() []uint64 {
	var draining []uint64
	for _, l := range s.leaves {
		if l.inUse > 0 {
			draining = append(draining, l.hash)
		}
	}
	return draining
}
