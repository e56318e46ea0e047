package confsync

import "time"

// push schedules the announcements of the revision in force.
type push struct {
	roundsLeft int
	nextRound  time.Duration
	nextGossip time.Duration
	// greetings are addresses of peers that joined.
	greetings []string
}

// startPush announces the revision in force in a few rounds.
func (s *Syncer) startPush(now time.Duration) {
	s.push.roundsLeft = pushRounds
	s.push.nextRound = now
	s.tickRounds(now)
}

func (s *Syncer) tickPush(now time.Duration) {
	s.tickRounds(now)
	s.tickGreetings(now)
	if now < s.push.nextGossip {
		return
	}
	interval := gossipInterval
	if !s.ready {
		interval = startGossip
	}
	s.push.nextGossip = now + interval/2 + s.jitter(interval)
	if n := len(s.peers.list); n > 0 {
		s.sendQuery(s.peers.list[s.rng.IntN(n)].Address)
	}
}

// tickRounds sends the next round to random peers.
func (s *Syncer) tickRounds(now time.Duration) {
	p := &s.push
	if p.roundsLeft == 0 || now < p.nextRound {
		return
	}
	p.roundsLeft--
	p.nextRound = now + pushInterval
	msg := s.announce(now, s.history.previous(), false)
	for _, peer := range s.samplePeers(pushFanout) {
		s.send(peer.Address, msg)
	}
}

// samplePeers returns up to n different random peers.
func (s *Syncer) samplePeers(n int) []Peer {
	list := s.peers.list
	if len(list) <= n {
		return list
	}
	picked := make([]Peer, 0, n)
	seen := make(map[int]bool, n)
	for len(picked) < n {
		i := s.rng.IntN(len(list))
		if !seen[i] {
			seen[i] = true
			picked = append(picked, list[i])
		}
	}
	return picked
}

// greet schedules announcements to peers that joined. Of all ready nodes only
// a few greet each peer.
func (s *Syncer) greet(joined []Peer) {
	if !s.ready {
		return
	}
	ready := 1
	for _, p := range s.peers.list {
		if p.Ready {
			ready++
		}
	}
	for _, p := range joined {
		chosen := s.rng.IntN(ready) < greetersPerPeer
		if chosen && len(s.push.greetings) < maxGreetings {
			s.push.greetings = append(s.push.greetings, p.Address)
		}
	}
}

func (s *Syncer) tickGreetings(now time.Duration) {
	n := min(peerQueriesPerTick, len(s.push.greetings))
	for _, address := range s.push.greetings[:n] {
		s.send(address, s.announce(now, Identity{}, false))
	}
	s.push.greetings = s.push.greetings[n:]
}

// announce returns the node's Announce with the difference from the given
// identity if it is known and small.
func (s *Syncer) announce(now time.Duration, from Identity, answer bool) *Announce {
	msg := &Announce{
		Blob:        s.opts.Blob,
		Identity:    s.Identity(),
		Answer:      answer,
		Ready:       s.ready,
		ReadFailing: s.reader.failures >= failuresToYield,
		Confirmed:   s.reader.confirmed,
	}
	if msg.Confirmed {
		age := min(now-s.reader.confirmedAt, time.Hour)
		msg.ConfirmedAgeMS = uint32(age / time.Millisecond)
	}
	if from.IsZero() {
		return msg
	}
	if delta := s.history.deltaFrom(from); len(delta) > 0 && len(delta) <= maxInlineDeltaBytes {
		msg.From = from
		msg.Delta = delta
	}
	return msg
}

func (s *Syncer) sendQuery(to string) {
	s.send(to, &Query{Blob: s.opts.Blob, Identity: s.Identity()})
}

func (s *Syncer) receiveQuery(now time.Duration, from string, m *Query) {
	s.send(from, s.announce(now, m.Identity, true))
	s.heard(now, from, m.Identity)
}

func (s *Syncer) receiveAnnounce(now time.Duration, from string, m *Announce) {
	s.peers.noteReading(now, from, m.ReadFailing)
	s.adjustRank(now)
	if m.Answer && !s.ready {
		s.start.noteAnswer(from, m.Ready)
	}
	s.applyInline(now, from, m)
	s.heard(now, from, m.Identity)
	if m.Confirmed && m.Identity.Revision >= s.Identity().Revision {
		s.reader.confirm(now - time.Duration(m.ConfirmedAgeMS)*time.Millisecond)
	}
	if !m.Answer && m.Identity.Revision < s.Identity().Revision {
		s.send(from, s.announce(now, m.Identity, true))
	}
}

// applyInline takes the difference that an Announce carries.
func (s *Syncer) applyInline(now time.Duration, from string, m *Announce) {
	if len(m.Delta) == 0 || m.From != s.Identity() || s.isRefused(now, m.Identity) {
		return
	}
	s.applyDelta(now, from, m.Identity, m.Delta)
}
