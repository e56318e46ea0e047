package share

import "time"

const (
	// minReannounceDelay is the time after another holder's doubt at which the first
	// holder of a leaf that goes on finding it warm says so again. It has asked the
	// leaf for its report since, once a second.
	minReannounceDelay = 2 * time.Second
	// maxReannounceDelay bounds the time between repetitions, which doubles while the
	// doubt lasts.
	maxReannounceDelay = time.Minute
)

// dispute is the word of another holder that a leaf is not warm.
type dispute struct {
	// reannounceAt is when this process says again that the leaf is warm.
	reannounceAt time.Duration
	delay        time.Duration
}

// isReportedWarm reports that the holder of the first share judges the leaf warm, and
// this process has not found that wrong since.
func (l *leaf) isReportedWarm() bool {
	return l.firstVerdict.Warm && l.firstVerdict != l.rejectedVerdict
}

// RejectVerdict records that this process has found a leaf cold that it was told is
// warm. It stops using the leaf until it is told a new judgement.
func (s *State) RejectVerdict(leafID string) {
	if l, ok := s.leaves[leafID]; ok {
		l.rejectedVerdict = l.firstVerdict
	}
}

// SetVerdict records this process's judgement of a leaf. The holder of the first
// share passes it on to the other owners.
func (s *State) SetVerdict(leafID string, incarnation uint64, warm bool) {
	l, ok := s.leaves[leafID]
	if !ok {
		return
	}
	if l.ownVerdict.Epoch > 0 && l.ownVerdict.Incarnation == incarnation && l.ownVerdict.Warm == warm {
		return
	}
	l.ownVerdict = Verdict{Leaf: l.hash, Incarnation: incarnation, Epoch: l.ownVerdict.Epoch + 1, Warm: warm}
	s.verdictVersion++
}

// PeerVerdict returns the latest judgement of a leaf by another process, and false if
// there is none.
func (s *State) PeerVerdict(leafID string) (Verdict, bool) {
	l, ok := s.leaves[leafID]
	if !ok {
		return Verdict{}, false
	}
	if l.handlesCold() {
		return l.otherVerdict, l.otherVerdict.Epoch > 0
	}
	return l.firstVerdict, l.firstVerdict.Epoch > 0
}

// verdictsFor returns the judgements that concern a host.
func (s *State) verdictsFor(host string) []Verdict {
	var verdicts []Verdict
	for _, l := range s.leaves {
		if l.ownVerdict.Epoch == 0 || l.held() == 0 || !l.isAssignedTo(host) {
			continue
		}
		verdict := l.ownVerdict
		verdict.First = l.handlesCold()
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// isAssignedTo reports whether a host owns a share of the leaf or is a deputy.
func (l *leaf) isAssignedTo(host string) bool {
	for i := range l.shares {
		if l.shares[i].Owner == host || l.shares[i].Deputy == host {
			return true
		}
	}
	return false
}

// recordVerdicts takes the sender's judgements over.
func (s *State) recordVerdicts(now time.Duration, p *peer, b Beat) {
	if b.Flags&FlagVerdicts == 0 || b.VerdictVersion == p.appliedVerdictVersion {
		return
	}
	for _, m := range b.Verdicts {
		l := s.leavesByHash[m.Leaf]
		switch {
		case l == nil:
		case m.First:
			l.firstVerdict = m
		default:
			s.recordOtherVerdict(now, l, m)
		}
	}
	p.appliedVerdictVersion = b.VerdictVersion
}

func (s *State) recordOtherVerdict(now time.Duration, l *leaf, m Verdict) {
	if l.otherVerdict == m {
		return
	}
	l.otherVerdict = m
	if m.Warm {
		delete(s.disputes, l.id)
		return
	}
	s.disputes[l.id] = &dispute{reannounceAt: now + minReannounceDelay, delay: minReannounceDelay}
}

// reannounceWarm says again that leaves are warm which this process, as their first
// holder, finds warm in spite of another holder's doubt.
func (s *State) reannounceWarm(now time.Duration) {
	for id, d := range s.disputes {
		l := s.leaves[id]
		if l == nil || !l.handlesCold() {
			delete(s.disputes, id)
			continue
		}
		if now < d.reannounceAt || !l.ownVerdict.Warm || l.ownVerdict.Incarnation != l.otherVerdict.Incarnation {
			continue
		}
		l.ownVerdict.Epoch++
		s.verdictVersion++
		d.delay = min(2*d.delay, maxReannounceDelay)
		d.reannounceAt = now + d.delay
	}
}

// resendVerdicts makes every peer send and receive all marks again.
func (s *State) resendVerdicts() {
	s.verdictVersion++
	for _, p := range s.peers {
		p.appliedVerdictVersion = 0
	}
}
