package member

import (
	"slices"
	"time"
)

// toggleInDigest adds a member to the digest of its bucket, or removes it.
func (l *List) toggleInDigest(m *Member) {
	l.digests[bucketOf(m.Name)] ^= m.hash()
}

// merge merges another node's view of a member.
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
	l.declareReplacedDead(now, e)
}

// mergeRecord merges a newer record of a member whose state has not changed.
func (l *List) mergeRecord(e *entry, m *Member) {
	if m.Incarnation != e.Incarnation || m.RecordVersion <= e.RecordVersion {
		return
	}
	e.Record = m.Record
	e.RecordVersion = m.RecordVersion
	l.changed[e.Name] = true
}

// mergeSelf refutes a wrong view that others have of the node itself.
func (l *List) mergeSelf(m *Member) {
	if m.Incarnation > l.self.Incarnation {
		l.superseded = true
		return
	}
	if m.overrides(&l.self) && l.self.State != Dead {
		l.self.Version = m.Version
		l.announceSelf(l.self.State)
	}
}

// announceSelf sets the node's state, increments its version and queues both to be
// gossiped.
func (l *List) announceSelf(state State) {
	l.toggleInDigest(&l.self)
	l.self.Version++
	l.self.State = state
	l.toggleInDigest(&l.self)
	l.enqueue(l.self.Name)
}

// add adds a member that is not in the table. It ignores a dead member, and any member
// if the table is full.
func (l *List) add(now time.Duration, m *Member) {
	if m.State == Dead || m.Name == "" || len(l.table) >= maxMembers {
		return
	}
	e := &entry{Member: *m}
	l.table[m.Name] = e
	l.alive = append(l.alive, m.Name)
	l.toggleInDigest(&e.Member)
	l.setDeadline(now, e)
	l.markChanged(e)
	l.declareReplacedDead(now, e)
}

// setState sets the state that this node itself assigns to a member.
func (l *List) setState(now time.Duration, e *entry, state State) {
	l.change(now, e, func() { e.State = state })
}

// change applies an edit to an entry, and updates the digest, the list of members that
// are not dead and the deadline accordingly.
func (l *List) change(now time.Duration, e *entry, edit func()) {
	l.toggleInDigest(&e.Member)
	wasDead := e.State == Dead
	edit()
	l.toggleInDigest(&e.Member)
	if isDead := e.State == Dead; isDead != wasDead {
		l.updateAlive(e.Name, isDead)
	}
	l.setDeadline(now, e)
	l.markChanged(e)
}

func (l *List) updateAlive(name string, dead bool) {
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
		e.deadline = now + l.suspicionTimeout()
		e.confirmAt = now + l.suspicionTimeout()/2
	case Dead:
		e.deadline = now + deadRetention
	default:
		return
	}
	if !slices.Contains(l.expiring, e.Name) {
		l.expiring = append(l.expiring, e.Name)
	}
}

func (l *List) markChanged(e *entry) {
	l.changed[e.Name] = true
	l.enqueue(e.Name)
}

// declareReplacedDead declares an older process with the address of the member dead.
func (l *List) declareReplacedDead(now time.Duration, e *entry) {
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
