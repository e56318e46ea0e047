package share

import "time"

// evaluateFences finds hosts that no other host has heard for a common interval
// of at least one lease. Such a host has lost all contact and its session has
// lapsed, because a lease starts when a heartbeat that a peer hears was sent.
// The reports must come from this session: after older ones the host may have
// returned and fenced this process.
func (s *State) evaluateFences(now time.Duration) {
	for _, p := range s.peers {
		p.fenced = false
		if s.mayBeMember(p) && s.fenceable(p) {
			p.silentSince, p.fenced = s.commonSilence(p, now)
		}
	}
}

// fenceable reports whether the host needs contact to use shares in every view
// that it may have in force. A settled view tells that for its hosts. Otherwise
// the host must have told it in this session, or any view in which it needs no
// contact must have been replaced at the host too.
func (s *State) fenceable(p *peer) bool {
	if s.unsettledHosts[p.name] || (s.view.members[p.name] && s.view.contactFree()) {
		return false
	}
	needsContact := s.contactedInSession(p) && p.flags&FlagContactFree == 0
	return s.isSettled() || needsContact || s.listConfirmed()
}

// commonSilence returns the start of an interval in which neither this process
// nor any other host heard target, and whether it covers a lease.
func (s *State) commonSilence(suspect *peer, now time.Duration) (time.Duration, bool) {
	since := suspect.heardAt
	until := now
	for _, p := range s.peers {
		if p == suspect || !s.mayBeMember(p) || s.stoppedHosts[p.name] {
			continue
		}
		if s.opts.unsafeTakeover && !s.inContact(p, now) {
			continue
		}
		heard, ok := p.lastHeardOf(suspect.name)
		if !ok || !s.contactedInSession(p) {
			return 0, false
		}
		since = max(since, heard)
		until = min(until, p.contactAt)
	}
	return since, until-since >= s.opts.UseLease+s.opts.Margin
}

// endedInSession reports proof from this session that no process of the host
// was running. After an older proof a new process may have fenced this one.
func (s *State) endedInSession(p *peer) bool {
	return p.endedIncarnation > 0 && p.endedIncarnation >= p.incarnation && p.endedAt >= s.sessionStart
}

// gone reports that the last known process of a host uses no share and that all
// its calls of at most maxCall have ended.
func (s *State) gone(p *peer, now, maxCall time.Duration) bool {
	if s.stoppedHosts[p.name] {
		return true
	}
	if s.endedInSession(p) {
		if s.opts.ExitEndsCalls {
			return true
		}
		if now >= p.endedAt+maxCall+s.opts.Margin {
			return true
		}
	}
	return p.fenced && now >= p.silentSince+s.opts.UseLease+maxCall+s.opts.Margin
}
