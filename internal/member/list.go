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
	// timed holds the names of the suspect and the dead.
	timed    []string
	digests  [buckets]uint32
	changed  map[string]bool
	queue    []queued
	prober   prober
	hosts    []Host
	nextHint time.Duration
	hintAt   int
	nextSync time.Duration
	nextSend time.Duration

	// confirmsLeft is the number of suspects that may still be pinged in a tick.
	confirmsLeft int

	lastEvent  time.Duration
	pauses     int
	superseded bool

	out []Outgoing
}

// entry is a member with what only this node knows of it.
type entry struct {
	Member
	// deadline is when a suspect is declared dead or a dead one is forgotten.
	deadline time.Duration
	// confirmAt is when the node itself next pings a suspect.
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
	l.prober.relays = make(map[uint32]relay)
	l.prober.next = now + l.jitter(probeInterval)
	l.nextSync = now
	l.nextHint = now + l.jitter(hintInterval)
	l.flipDigest(&l.self)
	return l
}

// Self returns the node's own member.
func (l *List) Self() Member { return l.self }

// Superseded reports whether a newer process with the node's name was seen.
func (l *List) Superseded() bool { return l.superseded }

// Pauses returns the number of pauses of the process that the List noticed.
func (l *List) Pauses() int { return l.pauses }

// Alive reports whether the named member answers as far as the node knows. A
// suspect counts as alive.
func (l *List) Alive(name string) bool {
	if name == l.self.Name {
		return true
	}
	e, ok := l.table[name]
	return ok && e.State != Dead
}

// Members returns all known members but the node itself, ordered by name.
func (l *List) Members() []Member {
	members := make([]Member, 0, len(l.table))
	for _, e := range l.table {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Changes returns the members that changed since the last call. A forgotten
// member is left out.
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

// SetRecord changes what the node tells of itself.
func (l *List) SetRecord(record Record) {
	if record == l.self.Record {
		return
	}
	urgent := record.Ready != l.self.Record.Ready
	l.self.Record = record
	l.self.RecordVersion++
	if urgent {
		l.bumpSelf(l.self.State)
	}
}

// SetLeaving announces that the node stops.
func (l *List) SetLeaving() { l.bumpSelf(Leaving) }

// Stop returns the last messages of a process that ends.
func (l *List) Stop() []Outgoing {
	l.bumpSelf(Dead)
	for _, name := range l.sample(2*gossipFanout, "") {
		l.gossipTo(name)
	}
	return l.flush()
}

// SetHosts takes the platform's host list. Its entries are hints to probe.
func (l *List) SetHosts(hosts []Host) { l.hosts = slices.Clone(hosts) }

// Refused reports that the address of the named member refused a connection,
// which proves that its process has ended.
func (l *List) Refused(now time.Duration, name, address string) []Outgoing {
	l.noticePause(now)
	e, ok := l.table[name]
	if ok && e.Address == address && e.State != Dead {
		l.setState(now, e, Dead)
	}
	return l.flush()
}

// Tick advances timers. The controller calls it every TickInterval.
func (l *List) Tick(now time.Duration) []Outgoing {
	l.noticePause(now)
	l.expire(now)
	l.tickProbes(now)
	l.tickHints(now)
	l.tickSync(now)
	l.tickGossip(now)
	return l.flush()
}

// noticePause discards what a gap between events has made stale: open probes
// and the deadlines of suspects.
func (l *List) noticePause(now time.Duration) {
	gap := now - l.lastEvent
	l.lastEvent = now
	if gap <= maxTickGap {
		return
	}
	l.pauses++
	l.prober.pending = nil
	clear(l.prober.relays)
	for _, name := range l.timed {
		if e := l.table[name]; e.State == Suspect {
			l.setDeadline(now, e)
		}
	}
	l.nextSync = now
}

// expire declares suspects dead and forgets the long dead.
func (l *List) expire(now time.Duration) {
	names := l.timed
	l.timed = nil
	l.confirmsLeft = maxConfirms
	for _, name := range names {
		e := l.table[name]
		switch {
		case e.State < Suspect:
			continue
		case now >= e.deadline && e.State == Dead:
			delete(l.table, name)
			continue
		}
		l.timed = append(l.timed, name)
		l.advanceSuspect(now, e)
	}
}

// advanceSuspect pings a suspect from the middle of its time and declares it
// dead at the end.
func (l *List) advanceSuspect(now time.Duration, e *entry) {
	switch {
	case e.State != Suspect:
	case now >= e.deadline:
		l.setState(now, e, Dead)
	case now >= e.confirmAt && l.confirmsLeft > 0:
		l.confirmsLeft--
		e.confirmAt = now + confirmInterval
		l.ping(e.Address, e.Name, l.nextSequence())
	}
}

// suspicion returns how long a suspect has to refute; it grows with the time
// that an update takes to all members.
func (l *List) suspicion() time.Duration {
	return minSuspicion + time.Duration(l.digits())*suspicionPerStep
}

// digits returns the number of decimal digits of the number of members.
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

// sample returns up to n different random members that are not dead.
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
