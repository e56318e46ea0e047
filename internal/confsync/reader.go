package confsync

import "time"

// readersPerDataCentre is the number of nodes that read the service often: the
// first one waits for changes, the others poll in short intervals.
const readersPerDataCentre = 2

// reader schedules the reads of the service.
type reader struct {
	nextID   uint64
	inFlight bool
	deadline time.Duration
	next     time.Duration
	rank     int

	answered  bool
	attempted bool
	failures  int

	// floor is the highest revision of the service whose bytes were refused.
	floor      uint64
	floorUntil time.Duration
	nextVerify time.Duration
	verifying  bool

	confirmed   bool
	confirmedAt time.Duration

	tokens   float64
	refilled time.Duration
}

func newReader(now, delay time.Duration) reader {
	return reader{
		next:       now + delay,
		rank:       readersPerDataCentre,
		tokens:     readBurst,
		refilled:   now,
		nextVerify: now + verifyInterval,
	}
}

// confirm records that the service was read at the given time.
func (r *reader) confirm(at time.Duration) {
	if !r.confirmed || at > r.confirmedAt {
		r.confirmed = true
		r.confirmedAt = at
	}
}

// ConfirmedAt returns when the service was last read by this node, or by a peer
// from which it heard so, and false if it never was.
func (s *Syncer) ConfirmedAt() (time.Duration, bool) {
	return s.reader.confirmedAt, s.reader.confirmed
}

// confirmedWithin reports whether the service was read in the last d.
func (r *reader) confirmedWithin(now, d time.Duration) bool {
	return r.confirmed && now-r.confirmedAt <= d
}

// take uses one token of the node's read budget.
func (r *reader) take(now, gap time.Duration) bool {
	r.tokens += float64(now-r.refilled) / float64(gap)
	r.tokens = min(r.tokens, readBurst)
	r.refilled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (s *Syncer) tickReader(now time.Duration) {
	r := &s.reader
	if r.inFlight {
		if now < r.deadline {
			return
		}
		r.inFlight = false
		s.readFailed(now)
	}
	if now < r.next || s.firstReadNeedless(now) {
		return
	}
	if !r.take(now, max(minReadGap, s.spread(fleetReadsPerSecond))) {
		return
	}
	s.read(now)
}

// firstReadNeedless reports whether a peer has read the service for a starting
// node, and moves the node's own read to the regular interval.
func (s *Syncer) firstReadNeedless(now time.Duration) bool {
	r := &s.reader
	if r.attempted || r.rank < readersPerDataCentre || !r.confirmedWithin(now, confirmedFor) {
		return false
	}
	if s.Identity().IsZero() {
		return false
	}
	r.attempted = true
	r.next = now + s.pollDelay()
	return true
}

// read emits a Read that fits the rank of the node.
func (s *Syncer) read(now time.Duration) {
	r := &s.reader
	r.nextID++
	r.inFlight = true
	after := s.Identity().Revision
	if now < r.floorUntil {
		after = max(after, r.floor)
	}
	wait := time.Duration(0)
	r.verifying = r.rank == 0 && r.answered && now >= r.nextVerify && after > 0
	switch {
	case r.verifying:
		after--
		r.nextVerify = now + verifyInterval
	case r.rank == 0 && r.answered:
		wait = (watchWait/2 + s.jitter(watchWait)).Truncate(time.Second)
	}
	r.deadline = now + wait + readGrace
	s.emit(Read{ID: r.nextID, After: after, Wait: wait})
}

// ReadDone takes the outcome of a Read.
func (s *Syncer) ReadDone(now time.Duration, result ReadResult) []Action {
	r := &s.reader
	if !r.inFlight || result.ID != r.nextID {
		return nil
	}
	r.inFlight = false
	if result.Err != nil {
		s.readFailed(now)
		return s.flush(now)
	}
	r.answered = true
	r.attempted = true
	r.failures = 0
	r.confirm(now)
	r.next = now + s.readDelay()
	s.noteServiceRevision(result.Revision)
	if len(result.Body) > 0 {
		s.takeBody(now, result)
	}
	return s.flush(now)
}

// takeBody offers the body of a read. A starting node holds it until it has
// heard its peers, whose revision in force goes first.
func (s *Syncer) takeBody(now time.Duration, result ReadResult) {
	if len(result.Body) > MaxBlobBytes {
		s.raiseFloor(now, result.Revision)
		s.refuse(now, NewIdentity(result.Revision, ""), TooLarge, ServiceSource, nil)
		return
	}
	if !s.ready && !s.start.heardPeers {
		s.start.held = result
		return
	}
	if s.offer(now, result.Body, Identity{}, ServiceSource) {
		return
	}
	s.raiseFloor(now, result.Revision)
}

// raiseFloor keeps bytes that were not taken from being read again at once.
func (s *Syncer) raiseFloor(now time.Duration, revision uint64) {
	r := &s.reader
	r.floor = revision
	r.floorUntil = now + refusedFor
	if revision <= s.Identity().Revision && !r.verifying {
		r.next = max(r.next, now+maxReadBackoff)
	}
}

func (s *Syncer) readFailed(now time.Duration) {
	r := &s.reader
	r.attempted = true
	r.failures++
	backoff := maxReadBackoff
	if r.failures < 8 {
		backoff = min(maxReadBackoff, minReadBackoff<<r.failures)
	}
	delay := backoff/2 + s.jitter(backoff/2)
	r.next = now + max(delay, s.readDelay())
}

// readDelay returns the time until the next read by rank.
func (s *Syncer) readDelay() time.Duration {
	switch {
	case s.reader.rank == 0:
		return 0
	case s.reader.rank < readersPerDataCentre:
		return standbyInterval/2 + s.jitter(standbyInterval)
	}
	return s.pollDelay()
}

// pollDelay returns the jittered time between reads of a node that hears from
// peers.
func (s *Syncer) pollDelay() time.Duration {
	interval := max(minPollInterval, s.spread(fleetPollsPerSecond))
	return interval/2 + s.jitter(interval)
}

// adjustRank recomputes the rank and reads soon when the node became a reader.
func (s *Syncer) adjustRank(now time.Duration) {
	r := &s.reader
	before := r.rank
	r.rank = s.peers.rank(now)
	if r.rank >= before || r.rank >= readersPerDataCentre || !r.attempted {
		return
	}
	soon := now + s.jitter(s.spread(fleetReadsPerSecond))
	r.next = min(r.next, soon)
}

// noteServiceRevision reports once that the service fell behind.
func (s *Syncer) noteServiceRevision(revisionHeld uint64) {
	current := s.Identity()
	if revisionHeld == 0 || revisionHeld >= current.Revision {
		s.behind = 0
		return
	}
	if s.behind == revisionHeld {
		return
	}
	s.behind = revisionHeld
	s.reject(NewIdentity(revisionHeld, ""), ServiceBehind, ServiceSource, nil)
}
