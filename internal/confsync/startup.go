package confsync

import (
	"cmp"
	"slices"
	"time"
)

// startup is the state of a node that is not ready. A starting node first queries its
// peers, then applies what the service returned.
type startup struct {
	seeds []string
	// queried, answered and ready are sets of peer addresses; ready holds those
	// that answered as ready to serve.
	queried  map[string]bool
	answered map[string]bool
	ready    map[string]bool
	// peersDone is set when enough peers have answered or peerTimeout has passed.
	peersDone bool
	// pendingRead is a result of the service that is applied once the peer queries
	// are done.
	pendingRead ReadResult
}

func newStartup(seeds []string) startup {
	return startup{
		seeds:    seeds,
		queried:  make(map[string]bool),
		answered: make(map[string]bool),
		ready:    make(map[string]bool),
	}
}

// recordAnswer records that a peer answered a query.
func (st *startup) recordAnswer(from string, ready bool) {
	st.answered[from] = true
	if ready {
		st.ready[from] = true
	}
}

// tickStartup queries peers until enough have answered or peerTimeout has passed.
func (s *Syncer) tickStartup(now time.Duration) {
	if s.ready || s.start.peersDone {
		return
	}
	s.queryPeers(now)
	if !s.enoughPeersAnswered(now) {
		return
	}
	s.start.peersDone = true
	s.updateRank(now)
	s.applyPendingRead(now)
}

// queryPeers queries up to peerQueriesPerTick peers that have not been queried. If
// all have been queried, those that did not answer become eligible again.
func (s *Syncer) queryPeers(now time.Duration) {
	budget := peerQueriesPerTick
	for _, address := range s.queryOrder(now) {
		if budget == 0 {
			return
		}
		if s.start.queried[address] {
			continue
		}
		budget--
		s.start.queried[address] = true
		s.sendQuery(address)
	}
	if budget == peerQueriesPerTick {
		s.retryUnanswered()
	}
}

// queryOrder returns the addresses to query, in order: the readers of the data
// centre, the seeds, the ready peers, then the other peers. Among the ready and
// among the other peers, data centres alternate in random order.
func (s *Syncer) queryOrder(now time.Duration) []string {
	var addresses []string
	for _, p := range s.peers.readers(now, readersPerDataCentre) {
		addresses = append(addresses, p.Address)
	}
	addresses = append(addresses, s.start.seeds...)
	round := make(map[string]int)
	type candidate struct {
		peer  Peer
		round int
	}
	var order []candidate
	for _, i := range s.rng.Perm(len(s.peers.list)) {
		p := s.peers.list[i]
		round[p.DataCentre]++
		order = append(order, candidate{peer: p, round: round[p.DataCentre]})
	}
	slices.SortStableFunc(order, func(a, b candidate) int {
		return cmp.Or(compareReady(a.peer, b.peer), cmp.Compare(a.round, b.round))
	})
	for _, o := range order {
		addresses = append(addresses, o.peer.Address)
	}
	return addresses
}

// compareReady orders ready peers before the others.
func compareReady(a, b Peer) int {
	switch {
	case a.Ready == b.Ready:
		return 0
	case a.Ready:
		return -1
	}
	return 1
}

// retryUnanswered makes peers that have not answered eligible for another query.
func (s *Syncer) retryUnanswered() {
	for address := range s.start.queried {
		if !s.start.answered[address] {
			delete(s.start.queried, address)
		}
	}
}

// enoughPeersAnswered reports whether enough ready peers have answered, all peers
// have answered, or peerTimeout has passed.
func (s *Syncer) enoughPeersAnswered(now time.Duration) bool {
	if len(s.start.ready) >= readyAnswersNeeded || now-s.startedAt >= peerTimeout {
		return true
	}
	if len(s.peers.list) == 0 || now-s.startedAt < peerSettleTime {
		return false
	}
	for _, p := range s.peers.list {
		if !s.start.answered[p.Address] {
			return false
		}
	}
	return true
}

// applyPendingRead applies the result of the service that arrived before the peer
// queries were done.
func (s *Syncer) applyPendingRead(now time.Duration) {
	pendingRead := s.start.pendingRead
	s.start.pendingRead = ReadResult{}
	if len(pendingRead.Body) > 0 {
		s.checkServiceRevision(pendingRead.Revision)
		s.handleBody(now, pendingRead)
	}
}

// serviceReadDone reports whether this node has attempted to read the service, a
// peer has read it recently, or the time limit for the first read has passed.
func (s *Syncer) serviceReadDone(now time.Duration) bool {
	r := &s.reader
	if r.attempted || r.confirmedWithin(now, confirmationTTL) {
		return true
	}
	return now-s.startedAt >= s.fleetInterval(fleetStartReadsPerSecond)+serviceTimeout
}

// checkReady emits BecameReady once the node may serve.
func (s *Syncer) checkReady(now time.Duration) {
	current := s.Identity()
	if s.ready || current.IsZero() || current.Revision < s.opts.MinimumRevision {
		return
	}
	if !s.start.peersDone || !s.serviceReadDone(now) || s.expectsNewer(now) {
		return
	}
	s.ready = true
	s.emit(BecameReady{Blob: s.opts.Blob, Identity: current, Unconfirmed: !s.reader.confirmed})
	s.start = newStartup(nil)
	s.start.peersDone = true
	s.startPush(now)
}

// expectsNewer reports whether a peer announced a higher revision within
// newerRevisionTTL, and that revision was not rejected.
func (s *Syncer) expectsNewer(now time.Duration) bool {
	f := &s.fetch
	if f.newest.Revision <= s.Identity().Revision || s.isRejected(now, f.newest) {
		return false
	}
	return now-f.newestHeardAt < newerRevisionTTL
}
