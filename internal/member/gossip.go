package member

import (
	"cmp"
	"slices"
	"time"
)

// queuedUpdate is a member whose latest state is being gossiped.
type queuedUpdate struct {
	name string
	sent int
}

// enqueue queues the latest state of a member to be gossiped, in place of an older one.
func (l *List) enqueue(name string) {
	i := slices.IndexFunc(l.queue, func(q queuedUpdate) bool { return q.name == name })
	if i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	l.queue = slices.Insert(l.queue, 0, queuedUpdate{name: name})
}

// takeUpdates returns the updates for the next message to the named member: first the
// suspicion or death that the member itself must refute, if any, and then queued updates,
// those that were sent the fewest times first.
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

// lookUp returns the named member, if it is in the table. The node itself is not, since
// each message carries its sender anyway.
func (l *List) lookUp(name string) (Member, bool) {
	e, ok := l.table[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// trimQueue drops updates that were sent often enough and orders the others by the number
// of transmissions. In a long queue, as when the whole fleet starts, updates are sent fewer
// times; the nodes that miss them get them in a sync.
func (l *List) trimQueue() {
	limit := retransmitsPerDigit * l.digits()
	if len(l.queue) > longQueue {
		limit = l.digits()
	}
	l.queue = slices.DeleteFunc(l.queue, func(q queuedUpdate) bool { return q.sent >= limit })
	slices.SortStableFunc(l.queue, func(a, b queuedUpdate) int { return cmp.Compare(a.sent, b.sent) })
}

// tickGossip sends queued updates to random members.
func (l *List) tickGossip(now time.Duration) {
	if now < l.nextGossip || len(l.queue) == 0 {
		return
	}
	l.nextGossip = now + gossipInterval
	for _, name := range l.sample(gossipFanout, "") {
		if len(l.queue) > 0 {
			l.gossipTo(name)
		}
	}
}

func (l *List) gossipTo(name string) {
	l.send(l.table[name].Address, &Gossip{Self: l.self, Updates: l.takeUpdates(name)})
}

// Receive handles a message from the given address.
func (l *List) Receive(now time.Duration, from string, msg Message) []Outgoing {
	l.noticePause(now)
	sender := msg.Sender()
	if l.fromReplacedProcess(from, sender) {
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

// fromReplacedProcess reports whether a message must be dropped, because its sender has
// been replaced by a newer process of the same name or has the name of this node. It notifies
// a replaced process that has another address than the newer one.
func (l *List) fromReplacedProcess(from string, sender *Member) bool {
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
