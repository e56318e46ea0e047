package share

import "time"

const (
	// minReannounceDelay is the time after which the first holder of a leaf
	// repeats its verdict that the leaf is warm when another holder has disputed
	// it. The first holder has asked the leaf for its report in the meantime, once
	// a second.
	minReannounceDelay = 2 * time.Second
	// maxReannounceDelay bounds the time between repetitions, which doubles while
	// the dispute lasts.
	maxReannounceDelay = time.Minute
)

// dispute records that another holder has reported a leaf as not warm.
type dispute struct {
	// reannounceAt is the time at which this process repeats that the leaf is
	// warm.
	reannounceAt time.Duration
	delay        time.Duration
}

// isReportedWarm reports whether the holder of the first share considers the leaf
// warm and this process has not rejected that verdict.
func (l *leaf) isReportedWarm() bool {
	return l.firstVerdict.Warm && l.firstVerdict != l.rejectedVerdict
}

// RejectVerdict records that this process has found a leaf cold that the holder of
// the first share reported as warm. The process does not use the leaf until it
// receives a new verdict, unless it holds the first share itself.
func (s *State) RejectVerdict(leafID string) {
	if l, ok := s.leaves[leafID]; ok {
		l.rejectedVerdict = l.firstVerdict
	}
}

// SetVerdict records the verdict of this process on a leaf. A process that holds
// slots of the leaf sends it to the owners and deputies of the leaf's shares.
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

// PeerVerdict returns the latest verdict of another process on a leaf, and false
// if there is none.
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

// verdictsFor returns the verdicts on held leaves that a host is assigned to.
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

// isAssignedTo reports whether a host is the owner or deputy of a share of the
// leaf.
func (l *leaf) isAssignedTo(host string) bool {
	for i := range l.shares {
		if l.shares[i].Owner == host || l.shares[i].Deputy == host {
			return true
		}
	}
	return false
}

// recordVerdicts records the sender's verdicts unless this version has been
// recorded already.
func (s *State) recordVerdicts(now time.Duration, p *peer, b Heartbeat) {
	if b.Flags&FlagVerdicts == 0 || b.VerdictVersion == p.appliedVerdictVersion {
		return
	}
	for _, v := range b.Verdicts {
		l := s.leavesByHash[v.Leaf]
		switch {
		case l == nil:
		case v.First:
			l.firstVerdict = v
		default:
			s.recordOtherVerdict(now, l, v)
		}
	}
	p.appliedVerdictVersion = b.VerdictVersion
}

func (s *State) recordOtherVerdict(now time.Duration, l *leaf, v Verdict) {
	if l.otherVerdict == v {
		return
	}
	l.otherVerdict = v
	if v.Warm {
		delete(s.disputes, l.id)
		return
	}
	s.disputes[l.id] = &dispute{reannounceAt: now + minReannounceDelay, delay: minReannounceDelay}
}

// reannounceWarm repeats, with a new epoch, the verdict that a leaf is warm if this
// process holds the first share and another holder disputes it.
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

// resendVerdicts makes this process and its peers send all verdicts again.
func (s *State) resendVerdicts() {
	s.verdictVersion++
	for _, p := range s.peers {
		p.appliedVerdictVersion = 0
	}
}
