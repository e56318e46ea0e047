package member

import (
	"slices"
	"time"
)

// flipDigest adds or removes a member from the digest of its part.
func (l *List) flipDigest(m *Member) {
	l.digests[bucket(m.Name)] ^= m.hash()
}

// merge takes what another node knows of a member.
func (l *List) merge(now time.Duration, m *Member) {
	if m.Name == l.self.Name {
		l.mergeSelf(m)
		return
	}
	e, ok := l.table[m.Name]
	if !ok {
		l.add(now, m)
		return
	}
	if !m.overrides(&e.Member) {
		l.mergeRecord(e, m)
		return
	}
	l.change(now, e, func() {
		record, recordVersion, incarnation := e.Record, e.RecordVersion, e.Incarnation
		e.Member = *m
		if incarnation == m.Incarnation && recordVersion > m.RecordVersion {
			e.Record, e.RecordVersion = record, recordVersion
		}
	})
	l.releaseAddress(now, e)
}

// mergeRecord takes a newer record of a member that is otherwise known.
func (l *List) mergeRecord(e *entry, m *Member) {
	if m.Incarnation != e.Incarnation || m.RecordVersion <= e.RecordVersion {
		return
	}
	e.Record = m.Record
	e.RecordVersion = m.RecordVersion
	l.changed[e.Name] = true
}

// mergeSelf refutes what others wrongly believe of the node.
func (l *List) mergeSelf(m *Member) {
	if m.Incarnation > l.self.Incarnation {
		l.superseded = true
		return
	}
	if m.overrides(&l.self) && l.self.State != Dead {
		l.self.Version = m.Version
		l.bumpSelf(l.self.State)
	}
}

// bumpSelf gives the node a new version and spreads it.
func (l *List) bumpSelf(state State) {
	l.flipDigest(&l.self)
	l.self.Version++
	l.self.State = state
	l.flipDigest(&l.self)
	l.enqueue(l.self.Name)
}

// add takes a member that was not known. A dead one is of no interest.
func (l *List) add(now time.Duration, m *Member) {
	if m.State == Dead || m.Name == "" || len(l.table) >= maxMembers {
		return
	}
	e := &entry{Member: *m}
	l.table[m.Name] = e
	l.alive = append(l.alive, m.Name)
	l.flipDigest(&e.Member)
	l.setDeadline(now, e)
	l.noteChange(e)
	l.releaseAddress(now, e)
}

// setState changes the state that the node itself gives to a member.
func (l *List) setState(now time.Duration, e *entry, state State) {
	l.change(now, e, func() { e.State = state })
}

// change applies an edit to an entry and keeps the digest, the list of alive
// members and the deadline in step.
func (l *List) change(now time.Duration, e *entry, edit func()) {
	l.flipDigest(&e.Member)
	wasDead := e.State == Dead
	edit()
	l.flipDigest(&e.Member)
	if isDead := e.State == Dead; isDead != wasDead {
		l.moveAlive(e.Name, isDead)
	}
	l.setDeadline(now, e)
	l.noteChange(e)
}

func (l *List) moveAlive(name string, dead bool) {
	if !dead {
		l.alive = append(l.alive, name)
		return
	}
	i := slices.Index(l.alive, name)
	l.alive = slices.Delete(l.alive, i, i+1)
}

func (l *List) setDeadline(now time.Duration, e *entry) {
	switch e.State {
	case Suspect:
		e.deadline = now + l.suspicion()
		e.confirmAt = now + l.suspicion()/2
	case Dead:
		e.deadline = now + deadRetention
	default:
		return
	}
	if !slices.Contains(l.timed, e.Name) {
		l.timed = append(l.timed, e.Name)
	}
}

func (l *List) noteChange(e *entry) {
	l.changed[e.Name] = true
	l.enqueue(e.Name)
}

// releaseAddress declares an older process at the member's address dead.
func (l *List) releaseAddress(now time.Duration, e *entry) {
	if e.State == Dead {
		return
	}
	i := slices.IndexFunc(l.alive, func(name string) bool {
		other := l.table[name]
		return other.Address == e.Address && other.Incarnation < e.Incarnation
	})
	if i >= 0 {
		l.setState(now, l.table[l.alive[i]], Dead)
	}
}
