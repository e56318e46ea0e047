package share

import (
	"slices"
	"strings"
	"time"
)

// unlistedHostTimeout is the time after the last heartbeat from a host that is not
// in the host list after which no more heartbeats are sent to it.
const unlistedHostTimeout = 5 * time.Second

// heartbeats returns a heartbeat for every recipient, sorted by host name, and
// deletes the peers that are no longer recipients.
func (s *State) heartbeats(now time.Duration) []Outgoing {
	s.seq++
	s.sent[s.seq%sentRingSize] = sentHeartbeat{s.seq, now}
	base := s.baseHeartbeat(now)
	outgoing := make([]Outgoing, 0, len(s.peers))
	for name, p := range s.peers {
		if !s.isRecipient(p, now) {
			delete(s.peers, name)
			continue
		}
		b := base
		b.Echo = s.echo(now, p)
		if p.echoedVerdictVersion != s.verdictVersion {
			b.Flags |= FlagVerdicts
			b.Verdicts = s.verdictsFor(name)
		}
		outgoing = append(outgoing, Outgoing{To: name, Heartbeat: b})
	}
	slices.SortFunc(outgoing, func(a, b Outgoing) int { return strings.Compare(a.To, b.To) })
	return outgoing
}

// isRecipient reports whether heartbeats are sent to a host.
func (s *State) isRecipient(p *peer, now time.Duration) bool {
	if s.view != nil && s.view.members[p.name] {
		return true
	}
	_, unsettled := s.unsettled[p.name]
	return unsettled || s.takeovers[p.name] != nil || now < p.heardAt+unlistedHostTimeout
}

func (s *State) baseHeartbeat(now time.Duration) Heartbeat {
	b := Heartbeat{
		From:           s.opts.Host,
		Incarnation:    s.opts.Incarnation,
		Session:        s.session,
		Seq:            s.seq,
		HighestKnown:   s.highestKnown,
		Released:       s.released,
		Settled:        s.settled,
		VerdictVersion: s.verdictVersion,
		Ages:           make([]Age, 0, len(s.peers)),
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
		b.DrainingLeaves = s.drainingLeaves()
	}
	for name, p := range s.peers {
		age := (now - p.heardAt) / time.Millisecond
		b.Ages = append(b.Ages, Age{Host: name, Milliseconds: uint32(age)})
	}
	for host, withoutContact := range s.unsettled {
		b.UnsettledHosts = append(b.UnsettledHosts, UnsettledHost{Host: host, ContactFree: withoutContact})
	}
	for host := range s.takeovers {
		b.TakenHosts = append(b.TakenHosts, host)
	}
	return b
}

func (s *State) echo(now time.Duration, p *peer) Echo {
	e := Echo{Incarnation: p.incarnation, Seq: p.seq, VerdictVersion: p.appliedVerdictVersion}
	if s.takeovers[p.name] == nil && s.view != nil && s.doc != nil && now >= s.predecessorEnd() {
		e.Session = p.session
	}
	return e
}
