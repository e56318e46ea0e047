package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// List is one node's view of the fleet.
type List struct {
	opts Options
	rng  *rand.Rand
	self Member

	table map[string]*entry
	// alive holds the names of the members that are not dead.
	alive []string
	// expiring holds the names of the suspect and dead members.
	expiring   []string
	digests    [bucketCount]uint32
	changed    map[string]bool
	queue      []queuedUpdate
	prober     prober
	hosts      []Host
	nextHint   time.Duration
	hintIndex  int
	nextSync   time.Duration
	nextGossip time.Duration

	// confirmPingsLeft is the number of suspects that may still be pinged in this tick.
	confirmPingsLeft int

	lastEvent  time.Duration
	pauses     int
	superseded bool

	out []Outgoing
}

// entry is a member with data that is local to this node.
type entry struct {
	Member
	// deadline is when a suspect member is declared dead or a dead one is removed.
	deadline time.Duration
	// confirmAt is when this node next pings a suspect member.
	confirmAt time.Duration
}

// New returns the List of a process that starts at now.
func New(opts Options, self Member, now time.Duration, rng *rand.Rand) *List {
	self.State = Alive
	l := &List{
		opts:      opts,
		rng:       rng,
		self:      self,
		table:     make(map[string]*entry),
		changed:   make(map[string]bool),
		lastEvent: now,
	}
	l.prober.relays = make(map[uint32]relayedPing)
	l.prober.next = now + l.jitter(probeInterval)
	l.nextSync = now
	l.nextHint = now + l.jitter(hintInterval)
	l.toggleInDigest(&l.self)
	return l
}

// Self returns the member that is the node itself.
func (l *List) Self() Member { return l.self }

// Superseded reports whether a newer process with the node's name was seen.
func (l *List) Superseded() bool { return l.superseded }

// Pauses returns the number of pauses of the process that were detected.
func (l *List) Pauses() int { return l.pauses }

// Alive reports whether the named member is known and not dead. A suspect member and
// the node itself count as alive.
func (l *List) Alive(name string) bool {
	if name == l.self.Name {
		return true
	}
	e, ok := l.table[name]
	return ok && e.State != Dead
}

// Members returns all members of the table, ordered by name. The node itself is not
// among them.
func (l *List) Members() []Member {
	members := make([]Member, 0, len(l.table))
	for _, e := range l.table {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Changes returns the members that have changed since the last call, ordered by name.
// Members that have been removed are left out.
func (l *List) Changes() []Member {
	var members []Member
	for name := range l.changed {
		if e, ok := l.table[name]; ok {
			members = append(members, e.Member)
		}
	}
	clear(l.changed)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// SetRecord sets the record that the node publishes about itself.
func (l *List) SetRecord(record Record) {
	if record == l.self.Record {
		return
	}
	urgent := record.Ready != l.self.Record.Ready
	l.self.Record = record
	l.self.RecordVersion++
	if urgent {
		l.announceSelf(l.self.State)
	}
}

// SetLeaving announces that the node is about to stop.
func (l *List) SetLeaving() { l.announceSelf(Leaving) }

// Stop returns the last messages of a stopping process, which announce its end.
func (l *List) Stop() []Outgoing {
	l.announceSelf(Dead)
	for _, name := range l.sample(2*gossipFanout, "") {
		l.gossipTo(name)
	}
	return l.flush()
}

// SetHosts sets the platform's host list. Its addresses are pinged if no live member
// has them.
func (l *List) SetHosts(hosts []Host) { l.hosts = slices.Clone(hosts) }

// Refused declares the named member dead, after its address has refused a connection,
// which proves that its process has ended.
func (l *List) Refused(now time.Duration, name, address string) []Outgoing {
	l.noticePause(now)
	e, ok := l.table[name]
	if ok && e.Address == address && e.State != Dead {
		l.setState(now, e, Dead)
	}
	return l.flush()
}

// Tick handles expired timers. The controller calls it every TickInterval.
func (l *List) Tick(now time.Duration) []Outgoing {
	l.noticePause(now)
	l.expire(now)
	l.tickProbes(now)
	l.tickHints(now)
	l.tickSync(now)
	l.tickGossip(now)
	return l.flush()
}

// noticePause detects a pause of the process by the gap between two events. The pending
// probes and the deadlines of suspects are stale after a pause, so noticePause drops the
// probes and the relayed pings, restarts the deadlines and makes a sync due.
func (l *List) noticePause(now time.Duration) {
	gap := now - l.lastEvent
	l.lastEvent = now
	if gap <= maxTickGap {
		return
	}
	l.pauses++
	l.prober.pending = nil
	clear(l.prober.relays)
	for _, name := range l.expiring {
		if e := l.table[name]; e.State == Suspect {
			l.setDeadline(now, e)
		}
	}
	l.nextSync = now
}

// expire declares suspects dead, and removes members that have been dead for
// deadRetention.
func (l *List) expire(now time.Duration) {
	names := l.expiring
	l.expiring = nil
	l.confirmPingsLeft = maxConfirmPings
	for _, name := range names {
		e := l.table[name]
		switch {
		case e.State < Suspect:
			continue
		case now >= e.deadline && e.State == Dead:
			delete(l.table, name)
			continue
		}
		l.expiring = append(l.expiring, name)
		l.advanceSuspect(now, e)
	}
}

// advanceSuspect pings a suspect in the second half of its suspicion timeout, and
// declares it dead at the end.
func (l *List) advanceSuspect(now time.Duration, e *entry) {
	switch {
	case e.State != Suspect:
	case now >= e.deadline:
		l.setState(now, e, Dead)
	case now >= e.confirmAt && l.confirmPingsLeft > 0:
		l.confirmPingsLeft--
		e.confirmAt = now + confirmInterval
		l.ping(e.Address, e.Name, l.nextSequence())
	}
}

// suspicionTimeout returns the time that a suspect has to refute the suspicion. It grows
// with the time that an update takes to reach all members.
func (l *List) suspicionTimeout() time.Duration {
	return minSuspicionTimeout + time.Duration(l.digits())*suspicionPerDigit
}

// digits returns about the number of decimal digits of the number of members that are
// not dead.
func (l *List) digits() int {
	return bits.Len(uint(len(l.alive)+1))*3/10 + 1
}

func (l *List) flush() []Outgoing {
	out := l.out
	l.out = nil
	return out
}

func (l *List) send(to string, msg Message) {
	l.out = append(l.out, Outgoing{To: to, Msg: msg})
}

func (l *List) jitter(d time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(d)))
}

// sample returns the names of up to n different random members that are not dead,
// without except.
func (l *List) sample(n int, except string) []string {
	var picked []string
	for range 4 * n {
		if len(picked) == n || len(l.alive) == 0 {
			break
		}
		name := l.alive[l.rng.IntN(len(l.alive))]
		if name != except && !slices.Contains(picked, name) {
			picked = append(picked, name)
		}
	}
	return picked
}
