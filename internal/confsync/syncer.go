package confsync

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Syncer keeps one blob of one node at the newest revision of the fleet.
type Syncer struct {
	opts    Options
	rng     *rand.Rand
	started time.Duration
	ready   bool

	history history
	refused map[Identity]time.Duration
	behind  uint64

	peers  peerSet
	start  startup
	reader reader
	fetch  fetch
	push   push

	out []Action
}

// New returns a Syncer of a node whose process starts at now. The node serves
// only after a BecameReady.
func New(opts Options, now time.Duration, rng *rand.Rand) *Syncer {
	if opts.FleetSize < 1 {
		opts.FleetSize = 1
	}
	s := &Syncer{
		opts:    opts,
		rng:     rng,
		started: now,
		history: newHistory(opts.Differ),
		refused: make(map[Identity]time.Duration),
		peers:   newPeerSet(opts),
		start:   newStartup(opts.Seeds),
	}
	s.reader = newReader(now, s.jitter(s.spread(fleetStartReadsPerSecond)))
	s.push.nextGossip = now + s.jitter(gossipInterval)
	return s
}

// Identity returns the identity in force; it is zero when there is none.
func (s *Syncer) Identity() Identity { return s.history.current().id }

// Bytes returns the bytes in force. They must not be changed.
func (s *Syncer) Bytes() []byte { return s.history.current().bytes }

// Ready reports whether the node may serve.
func (s *Syncer) Ready() bool { return s.ready }

// Tick advances timers. The controller calls it every TickInterval.
func (s *Syncer) Tick(now time.Duration) []Action {
	s.tickReader(now)
	s.tickStartup(now)
	s.tickFetch(now)
	s.tickPush(now)
	return s.flush(now)
}

// MembersChanged takes the alive members of the fleet without the node itself.
func (s *Syncer) MembersChanged(now time.Duration, members []Peer) []Action {
	joined := s.peers.replace(members)
	s.greet(joined)
	s.adjustRank(now)
	s.queryNewer()
	return s.flush(now)
}

// Receive takes a message from the peer at the given address.
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

// queryNewer queries a random peer whose membership record has a higher
// revision than any that the node has heard of.
func (s *Syncer) queryNewer() {
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

// flush returns the collected actions after a check for readiness.
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

// offer puts the bytes in force when they pass the check and their revision is
// higher. It reports whether they are in force afterwards.
func (s *Syncer) offer(now time.Duration, data []byte, claimed Identity, source string) bool {
	id, err := s.opts.Check(data)
	if err != nil {
		s.refuse(now, claimed, CheckFailed, source, err)
		return false
	}
	if !claimed.IsZero() && claimed != id {
		err = fmt.Errorf("bytes have identity %s, announced was %s", id, claimed)
		s.reject(claimed, IdentityMismatch, source, err)
		return false
	}
	current := s.Identity()
	if id.Revision <= current.Revision {
		s.noteConflict(now, id, source)
		return id == current
	}
	s.history.add(revision{id: id, bytes: data})
	s.fetch.cancelUpTo(id)
	s.emit(Accepted{Blob: s.opts.Blob, Identity: id, Bytes: data, Source: source})
	s.startPush(now)
	return true
}

// refuse remembers an identity for a while and reports it.
func (s *Syncer) refuse(now time.Duration, id Identity, reason Reason, source string, err error) {
	s.remember(now+refusedFor, id)
	s.reject(id, reason, source, err)
}

func (s *Syncer) reject(id Identity, reason Reason, source string, err error) {
	s.emit(Rejected{
		Blob:     s.opts.Blob,
		Reason:   reason,
		Identity: id,
		InForce:  s.Identity(),
		Source:   source,
		Err:      err,
	})
}

func (s *Syncer) remember(until time.Duration, id Identity) {
	if len(s.refused) >= maxRefused {
		clear(s.refused)
	}
	s.refused[id] = until
}

func (s *Syncer) isRefused(now time.Duration, id Identity) bool {
	until, ok := s.refused[id]
	return ok && now < until
}

// noteConflict reports an identity that has the revision in force and another
// digest, at most once per refusedFor.
func (s *Syncer) noteConflict(now time.Duration, id Identity, source string) {
	current := s.Identity()
	if current.IsZero() || id.IsZero() || !current.Conflicts(id) || s.isRefused(now, id) {
		return
	}
	err := fmt.Errorf("revision %d has digest %q from %s, in force is digest %q",
		id.Revision, id.Digest, source, current.Digest)
	s.refuse(now, id, DigestConflict, source, err)
}

// spread returns the time over which the whole fleet acts once at the given
// rate per second.
func (s *Syncer) spread(perSecond int) time.Duration {
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
