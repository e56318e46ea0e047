package confsync

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Syncer keeps one blob on one node at the newest revision known in the fleet.
type Syncer struct {
	opts      Options
	rng       *rand.Rand
	startedAt time.Duration
	ready     bool

	history history
	// rejectedUntil maps a rejected identity to the time until which it is not
	// tried again.
	rejectedUntil map[Identity]time.Duration
	// lastBehind is the service's revision that was last reported as
	// ServiceBehind, or zero if the service is not behind.
	lastBehind uint64

	peers  peerSet
	start  startup
	reader reader
	fetch  fetch
	push   push

	// out collects actions until flush returns them.
	out []Action
}

// New returns a Syncer for a node whose process starts at now. The node must not
// serve before the BecameReady action.
func New(opts Options, now time.Duration, rng *rand.Rand) *Syncer {
	if opts.FleetSize < 1 {
		opts.FleetSize = 1
	}
	s := &Syncer{
		opts:          opts,
		rng:           rng,
		startedAt:     now,
		history:       newHistory(opts.Differ),
		rejectedUntil: make(map[Identity]time.Duration),
		peers:         newPeerSet(opts),
		start:         newStartup(opts.Seeds),
	}
	s.reader = newReader(now, s.jitter(s.fleetInterval(fleetStartReadsPerSecond)))
	s.push.nextGossip = now + s.jitter(gossipInterval)
	return s
}

// Identity returns the identity of the current revision, or zero if there is none.
func (s *Syncer) Identity() Identity { return s.history.current().id }

// Bytes returns the bytes of the current revision. The caller must not modify them.
func (s *Syncer) Bytes() []byte { return s.history.current().bytes }

// Ready reports whether the node may serve.
func (s *Syncer) Ready() bool { return s.ready }

// Tick processes timers. The controller calls it every TickInterval.
func (s *Syncer) Tick(now time.Duration) []Action {
	s.tickReader(now)
	s.tickStartup(now)
	s.tickFetch(now)
	s.tickPush(now)
	return s.flush(now)
}

// MembersChanged sets the alive members of the fleet, excluding this node.
func (s *Syncer) MembersChanged(now time.Duration, members []Peer) []Action {
	joined := s.peers.update(members)
	s.scheduleJoinAnnounces(joined)
	s.updateRank(now)
	s.queryNewerPeer()
	return s.flush(now)
}

// Receive handles a message from the peer at the given address.
func (s *Syncer) Receive(now time.Duration, from string, msg Message) []Action {
	if msg.BlobName() != s.opts.Blob {
		return nil
	}
	switch m := msg.(type) {
	case *Query:
		s.receiveQuery(now, from, m)
	case *Announce:
		s.receiveAnnounce(now, from, m)
	case *Fetch:
		s.receiveFetch(now, from, m)
	case *Delta:
		s.receiveDelta(now, from, m)
	case *Chunk:
		s.receiveChunk(now, from, m)
	}
	return s.flush(now)
}

// queryNewerPeer queries a random peer whose membership record has a higher
// revision than both the current one and the newest one announced by a peer.
func (s *Syncer) queryNewerPeer() {
	known := max(s.Identity().Revision, s.fetch.newest.Revision)
	var newer []string
	for _, p := range s.peers.list {
		if p.Revision > known {
			newer = append(newer, p.Address)
		}
	}
	if len(newer) > 0 {
		s.sendQuery(newer[s.rng.IntN(len(newer))])
	}
}

// flush checks readiness, then returns and clears the collected actions.
func (s *Syncer) flush(now time.Duration) []Action {
	s.checkReady(now)
	out := s.out
	s.out = nil
	return out
}

func (s *Syncer) emit(a Action) { s.out = append(s.out, a) }

func (s *Syncer) send(to string, msg Message) {
	s.emit(Send{To: to, Msg: msg})
}

// tryAccept makes the bytes the current revision if they pass the check and their
// revision is higher. It reports whether they are current afterwards.
func (s *Syncer) tryAccept(now time.Duration, data []byte, claimed Identity, source string) bool {
	id, err := s.opts.Check(data)
	if err != nil {
		s.rejectAndRemember(now, claimed, CheckFailed, source, err)
		return false
	}
	if !claimed.IsZero() && claimed != id {
		err = fmt.Errorf("bytes have identity %s, but %s was announced", id, claimed)
		s.reject(claimed, IdentityMismatch, source, err)
		return false
	}
	current := s.Identity()
	if id.Revision <= current.Revision {
		s.checkConflict(now, id, source)
		return id == current
	}
	s.history.add(revision{id: id, bytes: data})
	s.fetch.cancelUpTo(id)
	s.emit(Accepted{Blob: s.opts.Blob, Identity: id, Bytes: data, Source: source})
	s.startPush(now)
	return true
}

// rejectAndRemember reports a rejected identity and doesn't try it again for
// rejectedTTL.
func (s *Syncer) rejectAndRemember(now time.Duration, id Identity, reason Reason, source string, err error) {
	s.rememberRejected(now+rejectedTTL, id)
	s.reject(id, reason, source, err)
}

func (s *Syncer) reject(id Identity, reason Reason, source string, err error) {
	s.emit(Rejected{
		Blob:     s.opts.Blob,
		Reason:   reason,
		Identity: id,
		Current:  s.Identity(),
		Source:   source,
		Err:      err,
	})
}

func (s *Syncer) rememberRejected(until time.Duration, id Identity) {
	if len(s.rejectedUntil) >= maxRejected {
		clear(s.rejectedUntil)
	}
	s.rejectedUntil[id] = until
}

func (s *Syncer) isRejected(now time.Duration, id Identity) bool {
	until, ok := s.rejectedUntil[id]
	return ok && now < until
}

// checkConflict reports an identity that has the current revision but another
// digest, at most once per rejectedTTL.
func (s *Syncer) checkConflict(now time.Duration, id Identity, source string) {
	current := s.Identity()
	if current.IsZero() || id.IsZero() || !current.ConflictsWith(id) || s.isRejected(now, id) {
		return
	}
	err := fmt.Errorf("revision %d has digest %q from %s, the current digest is %q",
		id.Revision, id.Digest, source, current.Digest)
	s.rejectAndRemember(now, id, DigestConflict, source, err)
}

// fleetInterval returns the interval at which each node may act so that the whole
// fleet stays within the given rate per second.
func (s *Syncer) fleetInterval(perSecond int) time.Duration {
	size := max(s.opts.FleetSize, len(s.peers.list)+1)
	return time.Duration(size) * time.Second / time.Duration(perSecond)
}

// jitter returns a random duration in [0, d).
func (s *Syncer) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}
