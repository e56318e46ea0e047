package share

import "time"

// Receive processes a heartbeat. It ignores heartbeats of ended processes and of
// stopped hosts, and those that arrive out of order.
func (s *State) Receive(now time.Duration, b Heartbeat) {
	s.checkLease(now)
	if b.From == s.opts.Host || s.stoppedHosts[b.From] {
		return
	}
	p := s.peer(b.From)
	if b.Incarnation < p.incarnation || b.Incarnation <= p.endedIncarnation {
		return
	}
	if b.Incarnation > p.incarnation {
		s.replaceProcess(p, b.Incarnation)
	}
	if b.Seq <= p.seq {
		return
	}
	s.recordHeartbeat(p, now, b)
	s.recordEcho(p, now, b)
	s.recordRevisions(now, p, b)
	s.recordVerdicts(now, p, b)
	s.applyRules(now)
}

// replaceProcess resets the state of a host whose process has a new incarnation.
func (s *State) replaceProcess(p *peer, incarnation uint64) {
	*p = peer{
		name:             p.name,
		incarnation:      incarnation,
		heardAt:          p.heardAt,
		contact:          p.contact,
		endedIncarnation: p.endedIncarnation,
		endedAt:          p.endedAt,
	}
}

func (s *State) recordHeartbeat(p *peer, now time.Duration, b Heartbeat) {
	p.seq = b.Seq
	p.session = b.Session
	p.heardAt = now
	p.revision = b.Revision
	p.released = b.Released
	p.settled = b.Settled
	p.flags = b.Flags
	p.draining = b.DrainingLeaves
	p.heardWhileAttached = p.heardWhileAttached || s.attached
}

// recordEcho records the two-way contact that an echo proves, and the reports on
// other hosts in the same heartbeat.
func (s *State) recordEcho(p *peer, now time.Duration, b Heartbeat) {
	if b.Echo.Incarnation != s.opts.Incarnation {
		return
	}
	p.echoedVerdictVersion = b.Echo.VerdictVersion
	p.ackedSession = b.Echo.Session
	sent := s.sent[b.Echo.Seq%sentRingSize]
	if b.Echo.Seq == 0 || sent.seq != b.Echo.Seq {
		return
	}
	p.contacted = true
	p.contactAt = sent.at
	p.reports = p.reports[:0]
	for _, a := range b.Ages {
		age := time.Duration(a.Milliseconds) * time.Millisecond
		p.reports = append(p.reports, lastHeardReport{a.Host, now - age})
	}
}

// recordRevisions updates the highest known revision and the hosts that may still
// use lower revisions.
func (s *State) recordRevisions(now time.Duration, p *peer, b Heartbeat) {
	s.highestKnown = max(s.highestKnown, b.HighestKnown, b.Revision)
	if s.view == nil {
		return
	}
	if b.Settled > s.view.revision && s.viewIsCurrent {
		// The peers have proof that every host of the lower view, this one
		// included, has stopped using it.
		s.conflicts++
		s.endSession(now)
	}
	if s.isSettled() && b.Revision <= s.view.revision {
		return
	}
	if !s.view.members[p.name] && p.released < s.view.revision {
		s.addUnsettled(p.name, false)
	}
	for _, host := range b.UnsettledHosts {
		s.addUnsettled(host.Host, host.ContactFree)
	}
}
