package confsync

import "time"

// push schedules announcements of the current revision.
type push struct {
	roundsLeft int
	nextRound  time.Duration
	nextGossip time.Duration
	// joinAnnounces lists the addresses of joined peers to which an Announce is
	// still to be sent.
	joinAnnounces []string
}

// startPush starts to announce the current revision in pushRounds rounds.
func (s *Syncer) startPush(now time.Duration) {
	s.push.roundsLeft = pushRounds
	s.push.nextRound = now
	s.tickRounds(now)
}

// tickPush sends due announcements, and a query to a random peer at each gossip
// interval.
func (s *Syncer) tickPush(now time.Duration) {
	s.tickRounds(now)
	s.tickJoinAnnounces(now)
	if now < s.push.nextGossip {
		return
	}
	interval := gossipInterval
	if !s.ready {
		interval = startupGossipInterval
	}
	s.push.nextGossip = now + interval/2 + s.jitter(interval)
	if n := len(s.peers.list); n > 0 {
		s.sendQuery(s.peers.list[s.rng.IntN(n)].Address)
	}
}

// tickRounds sends the next round of announcements to pushFanout random peers if it
// is due.
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

// samplePeers returns up to n distinct random peers.
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

// scheduleJoinAnnounces schedules announcements to peers that joined. Each ready node
// chooses at random, so that on average announcersPerJoin of them announce to a
// peer.
func (s *Syncer) scheduleJoinAnnounces(joined []Peer) {
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
		chosen := s.rng.IntN(ready) < announcersPerJoin
		if chosen && len(s.push.joinAnnounces) < maxJoinAnnounces {
			s.push.joinAnnounces = append(s.push.joinAnnounces, p.Address)
		}
	}
}

func (s *Syncer) tickJoinAnnounces(now time.Duration) {
	n := min(peerQueriesPerTick, len(s.push.joinAnnounces))
	for _, address := range s.push.joinAnnounces[:n] {
		s.send(address, s.announce(now, Identity{}, false))
	}
	s.push.joinAnnounces = s.push.joinAnnounces[n:]
}

// announce returns this node's Announce. It includes the delta from the given
// identity if that revision is kept and the delta is small.
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
	s.handlePeerIdentity(now, from, m.Identity)
}

func (s *Syncer) receiveAnnounce(now time.Duration, from string, m *Announce) {
	s.peers.recordReadStatus(now, from, m.ReadFailing)
	s.updateRank(now)
	if m.Answer && !s.ready {
		s.start.recordAnswer(from, m.Ready)
	}
	s.applyInlineDelta(now, from, m)
	s.handlePeerIdentity(now, from, m.Identity)
	if m.Confirmed && m.Identity.Revision >= s.Identity().Revision {
		s.reader.confirm(now - time.Duration(m.ConfirmedAgeMS)*time.Millisecond)
	}
	if !m.Answer && m.Identity.Revision < s.Identity().Revision {
		s.send(from, s.announce(now, m.Identity, true))
	}
}

// applyInlineDelta applies the delta of an Announce if it starts from the current
// revision.
func (s *Syncer) applyInlineDelta(now time.Duration, from string, m *Announce) {
	if len(m.Delta) == 0 || m.From != s.Identity() || s.isRejected(now, m.Identity) {
		return
	}
	s.applyDelta(now, from, m.Identity, m.Delta)
}
