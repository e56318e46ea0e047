package share

import (
	"slices"
	"strings"
	"time"
)

// forgetAfter is the silence after which an unlisted host gets no heartbeats.
const forgetAfter = 5 * time.Second

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
		out = append(out, Outgoing{To: name, Heartbeat: b})
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return strings.Compare(a.To, b.To) })
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

func (s *State) baseBeat(now time.Duration) Heartbeat {
	b := Heartbeat{
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
	if s.contactFree {
		b.Flags |= FlagContactFree
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
