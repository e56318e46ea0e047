package member

import (
	"cmp"
	"slices"
	"time"
)

// queued is a member whose newest state is still to be spread.
type queued struct {
	name string
	sent int
}

// enqueue spreads the newest state of a member, in place of an older one.
func (l *List) enqueue(name string) {
	i := slices.IndexFunc(l.queue, func(q queued) bool { return q.name == name })
	if i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	l.queue = slices.Insert(l.queue, 0, queued{name: name})
}

// takeUpdates returns the updates of the next message to the named member: what
// it must refute, then those sent the fewest times.
func (l *List) takeUpdates(to string) []Member {
	var updates []Member
	if e, ok := l.table[to]; ok && e.State >= Suspect {
		updates = append(updates, e.Member)
	}
	n := min(maxUpdates-len(updates), len(l.queue))
	for i := range l.queue[:n] {
		q := &l.queue[i]
		q.sent++
		if m, ok := l.lookUp(q.name); ok && q.name != to {
			updates = append(updates, m)
		}
	}
	if n > 0 {
		l.trimQueue()
	}
	return updates
}

// lookUp returns a member other than the node itself, which each message
// carries anyway.
func (l *List) lookUp(name string) (Member, bool) {
	e, ok := l.table[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// trimQueue drops updates that were sent often enough and orders the others. In
// a long queue, as when the whole fleet starts, the comparison of tables brings
// what fewer transmissions miss.
func (l *List) trimQueue() {
	limit := retransmits * l.digits()
	if len(l.queue) > crowdedQueue {
		limit = l.digits()
	}
	l.queue = slices.DeleteFunc(l.queue, func(q queued) bool { return q.sent >= limit })
	slices.SortStableFunc(l.queue, func(a, b queued) int { return cmp.Compare(a.sent, b.sent) })
}

// tickGossip sends queued updates to random members.
func (l *List) tickGossip(now time.Duration) {
	if now < l.nextSend || len(l.queue) == 0 {
		return
	}
	l.nextSend = now + gossipInterval
	for _, name := range l.sample(gossipFanout, "") {
		if len(l.queue) > 0 {
			l.gossipTo(name)
		}
	}
}

func (l *List) gossipTo(name string) {
	l.send(l.table[name].Address, &Gossip{Self: l.self, Updates: l.takeUpdates(name)})
}

// Receive takes a message from the given address.
func (l *List) Receive(now time.Duration, from string, msg Message) []Outgoing {
	l.noticePause(now)
	sender := msg.Sender()
	if l.isOld(from, sender) {
		return l.flush()
	}
	l.merge(now, sender)
	updates := msg.updates()
	for i := range updates {
		l.merge(now, &updates[i])
	}
	switch m := msg.(type) {
	case *Ping:
		l.receivePing(from, m)
	case *PingRequest:
		l.receivePingRequest(now, from, m)
	case *Ack:
		l.receiveAck(m)
	case *SyncRequest:
		l.receiveSyncRequest(now, from, m)
	case *SyncState:
		l.receiveSyncState(now, from, m)
	}
	return l.flush()
}

// isOld reports whether a message comes from a process that a newer one of the
// same name has replaced, and tells that process so.
func (l *List) isOld(from string, sender *Member) bool {
	if sender.Name == l.self.Name {
		l.mergeSelf(sender)
		if sender.Incarnation < l.self.Incarnation && from != l.self.Address {
			l.send(from, &Gossip{Self: l.self})
		}
		return true
	}
	e, ok := l.table[sender.Name]
	if !ok || sender.Incarnation >= e.Incarnation {
		return false
	}
	if from != e.Address {
		l.send(from, &Gossip{Self: l.self, Updates: []Member{e.Member}})
	}
	return true
}
