package member

import (
	"slices"
	"time"
)

// prober holds the probes of a node.
type prober struct {
	next     time.Duration
	nextDead time.Duration
	// fastUntil is the end of a time of more probes after one that failed.
	fastUntil time.Duration
	sequence  uint32
	// order is the remaining round of members to probe.
	order   []string
	pending []*probe
	relays  map[uint32]relay
}

// probe is a Ping without an answer.
type probe struct {
	sequence    uint32
	name        string
	incarnation uint64
	indirectAt  time.Duration
	failAt      time.Duration
	indirect    bool
}

// relay is a Ping sent for another node.
type relay struct {
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

// probeInterval is short after a failed probe, so that the loss of many members
// is found sooner.
func (l *List) probeInterval(now time.Duration) time.Duration {
	if now < l.prober.fastUntil {
		return fastProbeInterval
	}
	return probeInterval
}

// expireProbes asks others about silent members and suspects those that no one
// could reach.
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

// advanceProbe acts on the timers of a probe and reports whether it has ended.
func (l *List) advanceProbe(now time.Duration, pr *probe) bool {
	e, ok := l.table[pr.name]
	if !ok || e.Incarnation != pr.incarnation || e.State == Dead {
		return true
	}
	if now >= pr.failAt {
		l.prober.fastUntil = now + fastProbeTime
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

// nextTarget returns the next member of a shuffled round.
func (l *List) nextTarget() *entry {
	p := &l.prober
	for range 2 {
		for len(p.order) > 0 {
			last := len(p.order) - 1
			name := p.order[last]
			p.order = p.order[:last]
			if e, ok := l.table[name]; ok && e.State != Dead {
				return e
			}
		}
		p.order = append(p.order[:0], l.alive...)
		l.rng.Shuffle(len(p.order), func(i, j int) {
			p.order[i], p.order[j] = p.order[j], p.order[i]
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

// requestProbes asks a few members to ping the target.
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

// probeDead pings a random dead member, which may be back behind a partition.
func (l *List) probeDead() {
	if len(l.timed) == 0 {
		return
	}
	e := l.table[l.timed[l.rng.IntN(len(l.timed))]]
	if e.State == Dead {
		l.ping(e.Address, e.Name, l.nextSequence())
	}
}

// deadProbeInterval is short when the node has lost half of the fleet.
func (l *List) deadProbeInterval() time.Duration {
	if len(l.table) > 2*len(l.alive) {
		return probeInterval
	}
	return deadProbe
}

func (l *List) receivePing(from string, m *Ping) {
	l.send(from, &Ack{Self: l.self, Sequence: m.Sequence, Updates: l.takeUpdates(m.Self.Name)})
}

func (l *List) receivePingRequest(now time.Duration, from string, m *PingRequest) {
	sequence := l.nextSequence()
	l.prober.relays[sequence] = relay{address: from, sequence: m.Sequence, until: now + probeTimeout}
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
