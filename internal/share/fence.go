package share

import "time"

// evaluateFences marks hosts as fenced that no other host has heard during a
// common interval of at least one lease. Such a host has lost all contact and its
// session has ended, because its lease starts when it sends a heartbeat that a
// peer receives. The reports must come from this session: after an older report
// the host may have returned and fenced this process.
func (s *State) evaluateFences(now time.Duration) {
	for _, p := range s.peers {
		p.fenced = false
		if s.mayBeMember(p) && s.fenceable(p) {
			p.silentSince, p.fenced = s.commonSilence(p, now)
		}
	}
}

// fenceable reports whether the host needs contact to use shares under every view
// that it may have in force. That is known if the view is settled, if the host
// has reported in this session that it needs contact, or if the list is confirmed,
// so that the host too has replaced any view under which it needs no contact.
func (s *State) fenceable(p *peer) bool {
	if s.unsettled[p.name] || (s.view.members[p.name] && s.view.contactFree()) {
		return false
	}
	needsContact := s.contactedInSession(p) && p.flags&FlagContactFree == 0
	return s.isSettled() || needsContact || s.listConfirmed()
}

// commonSilence returns the start of an interval in which neither this process
// nor any other host heard the suspect, and whether it covers a lease and the
// margin.
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

// endedInSession reports whether there is proof from this session that no process
// of the host was running. After an older proof a new process of the host may
// have fenced this process.
func (s *State) endedInSession(p *peer) bool {
	return p.endedIncarnation > 0 && p.endedIncarnation >= p.incarnation && p.endedAt >= s.sessionStart
}

// gone reports whether the last known process of a host uses no share and all its
// calls, which last at most maxCall, have ended.
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
