package share

import "time"

const (
	// reaffirmFirst is the time after another holder's doubt at which the first
	// holder of a leaf that goes on finding it warm says so again. It has asked the
	// leaf for its report since, once a second.
	reaffirmFirst = 2 * time.Second
	// reaffirmMost bounds the time between repetitions, which doubles while the
	// doubt lasts.
	reaffirmMost = time.Minute
)

// doubt is the word of another holder that a leaf is not warm.
type doubt struct {
	// at is when this process says again that the leaf is warm.
	at   time.Duration
	wait time.Duration
}

// toldWarm reports that the holder of the first share judges the leaf warm, and
// this process has not found that wrong since.
func (l *leaf) toldWarm() bool {
	return l.told.Warm && l.told != l.refuted
}

// RefuteMark records that this process has found a leaf cold that it was told is
// warm. It stops using the leaf until it is told a new judgement.
func (s *State) RefuteMark(leafID string) {
	if l, ok := s.leaves[leafID]; ok {
		l.refuted = l.told
	}
}

// MarkLeaf records this process's judgement of a leaf. The holder of the first
// share passes it on to the other owners.
func (s *State) MarkLeaf(leafID string, incarnation uint64, warm bool) {
	l, ok := s.leaves[leafID]
	if !ok {
		return
	}
	if l.mine.Epoch > 0 && l.mine.Incarnation == incarnation && l.mine.Warm == warm {
		return
	}
	l.mine = Mark{Leaf: l.hash, Incarnation: incarnation, Epoch: l.mine.Epoch + 1, Warm: warm}
	s.markVersion++
}

// Hint returns the latest judgement of a leaf by another process, and false if
// there is none.
func (s *State) Hint(leafID string) (Mark, bool) {
	l, ok := s.leaves[leafID]
	if !ok {
		return Mark{}, false
	}
	if l.handlesCold() {
		return l.hint, l.hint.Epoch > 0
	}
	return l.told, l.told.Epoch > 0
}

// marksFor returns the judgements that concern a host.
func (s *State) marksFor(host string) []Mark {
	var marks []Mark
	for _, l := range s.leaves {
		if l.mine.Epoch == 0 || l.held() == 0 || !l.concerns(host) {
			continue
		}
		mark := l.mine
		mark.First = l.handlesCold()
		marks = append(marks, mark)
	}
	return marks
}

// concerns reports whether a host owns a share of the leaf or is a deputy.
func (l *leaf) concerns(host string) bool {
	for i := range l.shares {
		if l.shares[i].Owner == host || l.shares[i].Deputy == host {
			return true
		}
	}
	return false
}

// recordMarks takes the sender's judgements over.
func (s *State) recordMarks(now time.Duration, p *peer, b Heartbeat) {
	if b.Flags&FlagMarks == 0 || b.MarkVersion == p.marksApplied {
		return
	}
	for _, m := range b.Marks {
		l := s.byHash[m.Leaf]
		switch {
		case l == nil:
		case m.First:
			l.told = m
		default:
			s.recordHint(now, l, m)
		}
	}
	p.marksApplied = b.MarkVersion
}

func (s *State) recordHint(now time.Duration, l *leaf, m Mark) {
	if l.hint == m {
		return
	}
	l.hint = m
	if m.Warm {
		delete(s.doubts, l.id)
		return
	}
	s.doubts[l.id] = &doubt{at: now + reaffirmFirst, wait: reaffirmFirst}
}

// reaffirm says again that leaves are warm which this process, as their first
// holder, finds warm in spite of another holder's doubt.
func (s *State) reaffirm(now time.Duration) {
	for id, d := range s.doubts {
		l := s.leaves[id]
		if l == nil || !l.handlesCold() {
			delete(s.doubts, id)
			continue
		}
		if now < d.at || !l.mine.Warm || l.mine.Incarnation != l.hint.Incarnation {
			continue
		}
		l.mine.Epoch++
		s.markVersion++
		d.wait = min(2*d.wait, reaffirmMost)
		d.at = now + d.wait
	}
}

// resendMarks makes every peer send and receive all marks again.
func (s *State) resendMarks() {
	s.markVersion++
	for _, p := range s.peers {
		p.marksApplied = 0
	}
}
