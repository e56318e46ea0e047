package confsync

import (
	"cmp"
	"slices"
	"time"
)

// startup holds what a starting node has heard before it serves.
type startup struct {
	seeds      []string
	queried    map[string]bool
	answered   map[string]bool
	ready      map[string]bool
	heardPeers bool
	// held is a body of the service that waits for the answers of peers.
	held ReadResult
}

func newStartup(seeds []string) startup {
	return startup{
		seeds:    seeds,
		queried:  make(map[string]bool),
		answered: make(map[string]bool),
		ready:    make(map[string]bool),
	}
}

// noteAnswer records the answer of a peer.
func (st *startup) noteAnswer(from string, ready bool) {
	st.answered[from] = true
	if ready {
		st.ready[from] = true
	}
}

// tickStartup queries peers until enough have answered.
func (s *Syncer) tickStartup(now time.Duration) {
	if s.ready || s.start.heardPeers {
		return
	}
	s.queryPeers(now)
	if !s.peersHeard(now) {
		return
	}
	s.start.heardPeers = true
	s.adjustRank(now)
	s.offerHeld(now)
}

// queryPeers asks a bounded number of peers that have not been asked.
func (s *Syncer) queryPeers(now time.Duration) {
	budget := peerQueriesPerTick
	for _, address := range s.askOrder(now) {
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
		s.forgetUnanswered()
	}
}

// askOrder returns the addresses to ask: the readers of the data centre, the
// seeds, the ready peers and the others. Data centres alternate.
func (s *Syncer) askOrder(now time.Duration) []string {
	var addresses []string
	for _, p := range s.peers.watchers(now, readersPerDataCentre) {
		addresses = append(addresses, p.Address)
	}
	addresses = append(addresses, s.start.seeds...)
	turn := make(map[string]int)
	type turnOf struct {
		peer Peer
		turn int
	}
	var order []turnOf
	for _, i := range s.rng.Perm(len(s.peers.list)) {
		p := s.peers.list[i]
		turn[p.DataCentre]++
		order = append(order, turnOf{peer: p, turn: turn[p.DataCentre]})
	}
	slices.SortStableFunc(order, func(a, b turnOf) int {
		return cmp.Or(compareReady(a.peer, b.peer), cmp.Compare(a.turn, b.turn))
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

// forgetUnanswered lets every peer that has not answered be asked again.
func (s *Syncer) forgetUnanswered() {
	for address := range s.start.queried {
		if !s.start.answered[address] {
			delete(s.start.queried, address)
		}
	}
}

// peersHeard reports whether enough ready peers, or all peers, have answered,
// or the time for it has passed.
func (s *Syncer) peersHeard(now time.Duration) bool {
	if len(s.start.ready) >= peerAnswersWanted || now-s.started >= peerBound {
		return true
	}
	if len(s.peers.list) == 0 || now-s.started < peerSettle {
		return false
	}
	for _, p := range s.peers.list {
		if !s.start.answered[p.Address] {
			return false
		}
	}
	return true
}

// offerHeld offers what the service returned before the peers were heard.
func (s *Syncer) offerHeld(now time.Duration) {
	held := s.start.held
	s.start.held = ReadResult{}
	if len(held.Body) > 0 {
		s.noteServiceRevision(held.Revision)
		s.takeBody(now, held)
	}
}

// serviceHeard reports whether the service was read by the node or by a peer,
// or the time for it has passed.
func (s *Syncer) serviceHeard(now time.Duration) bool {
	r := &s.reader
	if r.attempted || r.confirmedWithin(now, confirmedFor) {
		return true
	}
	return now-s.started >= s.spread(fleetStartReadsPerSecond)+serviceBound
}

// checkReady decides whether the node may serve.
func (s *Syncer) checkReady(now time.Duration) {
	current := s.Identity()
	if s.ready || current.IsZero() || current.Revision < s.opts.MinimumRevision {
		return
	}
	if !s.start.heardPeers || !s.serviceHeard(now) || s.newerExpected(now) {
		return
	}
	s.ready = true
	s.emit(BecameReady{Blob: s.opts.Blob, Identity: current, Unconfirmed: !s.reader.confirmed})
	s.start = newStartup(nil)
	s.start.heardPeers = true
	s.startPush(now)
}

// newerExpected reports whether a peer said a short while ago that it has a
// higher revision.
func (s *Syncer) newerExpected(now time.Duration) bool {
	f := &s.fetch
	if f.newest.Revision <= s.Identity().Revision || s.isRefused(now, f.newest) {
		return false
	}
	return now-f.newestAt < newerHeardFor
}
