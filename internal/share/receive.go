package share

import "time"

// Receive processes a heartbeat. Heartbeats of ended processes, of stopped
// hosts and those that come out of order are ignored.
func (s *State) Receive(now time.Duration, b Heartbeat) {
	s.observe(now)
	if b.From == s.opts.Host || s.stopped[b.From] {
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
	s.recordBeat(p, now, b)
	s.recordEcho(p, now, b)
	s.recordViews(now, p, b)
	s.recordMarks(now, p, b)
	s.advance(now)
}

// replaceProcess forgets what belongs to the previous process of a host.
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

func (s *State) recordBeat(p *peer, now time.Duration, b Heartbeat) {
	p.seq = b.Seq
	p.session = b.Session
	p.heardAt = now
	p.revision = b.Revision
	p.released = b.Released
	p.settled = b.Settled
	p.flags = b.Flags
	p.draining = b.Draining
	p.familiar = p.familiar || s.attached
}

// recordEcho records two-way contact and the reports that depend on it.
func (s *State) recordEcho(p *peer, now time.Duration, b Heartbeat) {
	if b.Echo.Incarnation != s.opts.Incarnation {
		return
	}
	p.marksEchoed = b.Echo.MarkVersion
	p.ackedSession = b.Echo.Session
	sent := s.sent[b.Echo.Seq%sentRing]
	if b.Echo.Seq == 0 || sent.seq != b.Echo.Seq {
		return
	}
	p.contacted = true
	p.contactAt = sent.at
	p.reports = p.reports[:0]
	for _, a := range b.Ages {
		age := time.Duration(a.Milliseconds) * time.Millisecond
		p.reports = append(p.reports, report{a.Host, now - age})
	}
}

// recordViews learns of revisions and of hosts that may act on lower ones.
func (s *State) recordViews(now time.Duration, p *peer, b Heartbeat) {
	s.known = max(s.known, b.Known, b.Revision)
	if s.view == nil {
		return
	}
	if b.Settled > s.view.revision && s.current {
		// Every host of the lower view has been proven to have stopped.
		s.conflicts++
		s.lapse(now)
	}
	if s.isSettled() && b.Revision <= s.view.revision {
		return
	}
	if !s.view.members[p.name] && p.released < s.view.revision {
		s.addUnsettled(p.name, false)
	}
	for _, m := range b.Unsettled {
		s.addUnsettled(m.Host, m.Unfenced)
	}
}
