package share

import (
	"slices"
	"time"
)

// forgetAfter is the silence after which an unlisted host gets no heartbeats.
const forgetAfter = 5 * time.Second

// peer is what this process knows of another host.
type peer struct {
	name        string
	incarnation uint64
	session     uint32
	seq         uint32
	// heardAt is the time of the last heartbeat, or of this process's start.
	heardAt  time.Duration
	revision uint64
	released uint64
	settled  uint64
	flags    Flags
	draining []uint64

	// contact is set for hosts of every view that could be in force.
	contact bool
	// contactAt is when the latest heartbeat that this peer echoed was sent;
	// contacted is false if there is none.
	contacted bool
	contactAt time.Duration
	// reports hold the latest time at which the peer can have heard others,
	// as of a heartbeat that it sent after contactAt.
	reports []report
	// ackedSession is our session in which the peer uses none of our shares as
	// their deputy under its revision.
	ackedSession uint32

	endedIncarnation uint64
	endedAt          time.Duration

	fenced      bool
	silentSince time.Duration

	marksApplied uint32 // version of the peer's marks
	marksEchoed  uint32 // version of our marks
}

// report bounds when a peer has heard a host.
type report struct {
	host      string
	lastHeard time.Duration
}

// peer returns the record of a host, and nil for this host.
func (s *State) peer(name string) *peer {
	if name == s.opts.Host {
		return nil
	}
	p := s.peers[name]
	if p == nil {
		p = &peer{name: name, heardAt: s.start}
		s.peers[name] = p
	}
	return p
}

// reportOn returns when the peer can have heard a host last.
func (p *peer) reportOn(host string) (time.Duration, bool) {
	for _, r := range p.reports {
		if r.host == host {
			return r.lastHeard, true
		}
	}
	return 0, false
}

// Receive processes a heartbeat. Heartbeats of ended processes, of stopped
// hosts and those that come out of order are ignored.
func (s *State) Receive(now time.Duration, b Beat) {
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
	s.recordMarks(p, b)
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

func (s *State) recordBeat(p *peer, now time.Duration, b Beat) {
	p.seq = b.Seq
	p.session = b.Session
	p.heardAt = now
	p.revision = b.Revision
	p.released = b.Released
	p.settled = b.Settled
	p.flags = b.Flags
	p.draining = b.Draining
}

// recordEcho records two-way contact and the reports that depend on it.
func (s *State) recordEcho(p *peer, now time.Duration, b Beat) {
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
func (s *State) recordViews(now time.Duration, p *peer, b Beat) {
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

// beats returns a heartbeat for every peer.
func (s *State) beats(now time.Duration) []Outgoing {
	s.seq++
	s.sent[s.seq%sentRing] = sentBeat{s.seq, now}
	base := s.baseBeat(now)
	out := make([]Outgoing, 0, len(s.peers))
	for name, p := range s.peers {
		if !s.isTarget(p, now) {
			delete(s.peers, name)
			continue
		}
		b := base
		b.Echo = s.echo(now, p)
		if p.marksEchoed != s.markVersion {
			b.Flags |= FlagMarks
			b.Marks = s.marksFor(name)
		}
		out = append(out, Outgoing{To: name, Beat: b})
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return compare(a.To, b.To) })
	return out
}

// isTarget reports whether a host gets heartbeats.
func (s *State) isTarget(p *peer, now time.Duration) bool {
	if s.view != nil && s.view.members[p.name] {
		return true
	}
	_, unsettled := s.unsettled[p.name]
	return unsettled || s.taken[p.name] != nil || now < p.heardAt+forgetAfter
}

func (s *State) baseBeat(now time.Duration) Beat {
	b := Beat{
		From:        s.opts.Host,
		Incarnation: s.opts.Incarnation,
		Session:     s.session,
		Seq:         s.seq,
		Known:       s.known,
		Released:    s.released,
		Settled:     s.settled,
		MarkVersion: s.markVersion,
		Ages:        make([]Age, 0, len(s.peers)),
	}
	if s.view != nil {
		b.Revision = s.view.revision
	}
	if s.attached {
		b.Flags |= FlagAttached
	}
	if s.stopping && now >= s.predecessorEnd() {
		b.Flags |= FlagStopping
		b.Draining = s.drainingLeaves()
	}
	for name, p := range s.peers {
		age := (now - p.heardAt) / time.Millisecond
		b.Ages = append(b.Ages, Age{Host: name, Milliseconds: uint32(age)})
	}
	for host, unfenced := range s.unsettled {
		b.Unsettled = append(b.Unsettled, Member{Host: host, Unfenced: unfenced})
	}
	for host := range s.taken {
		b.Taken = append(b.Taken, host)
	}
	return b
}

func (s *State) echo(now time.Duration, p *peer) Echo {
	e := Echo{Incarnation: p.incarnation, Seq: p.seq, MarkVersion: p.marksApplied}
	if s.taken[p.name] == nil && s.view != nil && s.doc != nil && now >= s.predecessorEnd() {
		e.Session = p.session
	}
	return e
}
