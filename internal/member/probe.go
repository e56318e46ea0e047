package member

import (
	"slices"
	"time"
)

// prober holds the state of a node's probes.
type prober struct {
	next     time.Duration
	nextDead time.Duration
	// fastUntil is when probes return to their normal interval after one has failed.
	fastUntil time.Duration
	sequence  uint32
	// round holds the members that are still to be probed in the current round.
	round   []string
	pending []*probe
	relays  map[uint32]relayedPing
}

// probe is a Ping that has not been answered.
type probe struct {
	sequence    uint32
	name        string
	incarnation uint64
	indirectAt  time.Duration
	failAt      time.Duration
	indirect    bool
}

// relayedPing is a Ping that was sent on behalf of another node.
type relayedPing struct {
	address  string
	sequence uint32
	until    time.Duration
}

func (l *List) tickProbes(now time.Duration) {
	l.expireProbes(now)
	p := &l.prober
	if now >= p.next {
		p.next = now + l.probeInterval(now)
		if e := l.nextTarget(); e != nil {
			l.startProbe(now, e)
		}
	}
	if now >= p.nextDead {
		p.nextDead = now + l.deadProbeInterval()
		l.probeDead()
	}
}

// probeInterval returns the interval between probes. It is shorter after a failed probe,
// so that the loss of many members is detected sooner.
func (l *List) probeInterval(now time.Duration) time.Duration {
	if now < l.prober.fastUntil {
		return fastProbeInterval
	}
	return probeInterval
}

// expireProbes advances the pending probes and drops expired relayed pings.
func (l *List) expireProbes(now time.Duration) {
	l.prober.pending = slices.DeleteFunc(l.prober.pending, func(pr *probe) bool {
		return l.advanceProbe(now, pr)
	})
	for sequence, r := range l.prober.relays {
		if now >= r.until {
			delete(l.prober.relays, sequence)
		}
	}
}

// advanceProbe handles the timers of a probe: it first asks other members to probe, and then
// makes the member suspect. It reports whether the probe has ended.
func (l *List) advanceProbe(now time.Duration, pr *probe) bool {
	e, ok := l.table[pr.name]
	if !ok || e.Incarnation != pr.incarnation || e.State == Dead {
		return true
	}
	if now >= pr.failAt {
		l.prober.fastUntil = now + fastProbePeriod
		l.suspect(now, e)
		return true
	}
	if now >= pr.indirectAt && !pr.indirect {
		pr.indirect = true
		l.requestProbes(e, pr.sequence)
	}
	return false
}

func (l *List) suspect(now time.Duration, e *entry) {
	if e.State < Suspect {
		l.setState(now, e, Suspect)
	}
}

// nextTarget returns the next member to probe, in rounds over all members in random order.
func (l *List) nextTarget() *entry {
	p := &l.prober
	for range 2 {
		for len(p.round) > 0 {
			last := len(p.round) - 1
			name := p.round[last]
			p.round = p.round[:last]
			if e, ok := l.table[name]; ok && e.State != Dead {
				return e
			}
		}
		p.round = append(p.round[:0], l.alive...)
		l.rng.Shuffle(len(p.round), func(i, j int) {
			p.round[i], p.round[j] = p.round[j], p.round[i]
		})
	}
	return nil
}

func (l *List) startProbe(now time.Duration, e *entry) {
	sequence := l.nextSequence()
	l.prober.pending = append(l.prober.pending, &probe{
		sequence:    sequence,
		name:        e.Name,
		incarnation: e.Incarnation,
		indirectAt:  now + directTimeout,
		failAt:      now + probeTimeout,
	})
	l.ping(e.Address, e.Name, sequence)
}

func (l *List) nextSequence() uint32 {
	l.prober.sequence++
	return l.prober.sequence
}

func (l *List) ping(address, name string, sequence uint32) {
	l.send(address, &Ping{Self: l.self, Sequence: sequence, Updates: l.takeUpdates(name)})
}

// requestProbes asks up to indirectProbes members to ping the target.
func (l *List) requestProbes(e *entry, sequence uint32) {
	for _, name := range l.sample(indirectProbes, e.Name) {
		l.send(l.table[name].Address, &PingRequest{
			Self:     l.self,
			Sequence: sequence,
			Target:   e.Name,
			Address:  e.Address,
			Updates:  l.takeUpdates(name),
		})
	}
}

// probeDead picks a random suspect or dead member and pings it if it is dead, since it may
// be reachable again after a partition.
func (l *List) probeDead() {
	if len(l.expiring) == 0 {
		return
	}
	e := l.table[l.expiring[l.rng.IntN(len(l.expiring))]]
	if e.State == Dead {
		l.ping(e.Address, e.Name, l.nextSequence())
	}
}

// deadProbeInterval returns the interval between pings of dead members. It is shorter while
// more than half of the table is dead.
func (l *List) deadProbeInterval() time.Duration {
	if len(l.table) > 2*len(l.alive) {
		return probeInterval
	}
	return defaultDeadProbeInterval
}

func (l *List) receivePing(from string, m *Ping) {
	l.send(from, &Ack{Self: l.self, Sequence: m.Sequence, Updates: l.takeUpdates(m.Self.Name)})
}

func (l *List) receivePingRequest(now time.Duration, from string, m *PingRequest) {
	sequence := l.nextSequence()
	l.prober.relays[sequence] = relayedPing{address: from, sequence: m.Sequence, until: now + probeTimeout}
	l.ping(m.Address, m.Target, sequence)
}

func (l *List) receiveAck(m *Ack) {
	if r, ok := l.prober.relays[m.Sequence]; ok && m.Target == "" {
		delete(l.prober.relays, m.Sequence)
		l.send(r.address, &Ack{
			Self:     l.self,
			Sequence: r.sequence,
			Target:   m.Self.Name,
			Updates:  []Member{m.Self},
		})
		return
	}
	answered := m.Target
	if answered == "" {
		answered = m.Self.Name
	}
	l.prober.pending = slices.DeleteFunc(l.prober.pending, func(pr *probe) bool {
		return pr.sequence == m.Sequence && pr.name == answered
	})
}
