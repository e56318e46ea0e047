package confsync

import "time"

// readersPerDataCentre is the number of nodes per data centre that read the service
// frequently: the first by rank waits for changes with long polls, the others poll
// at short intervals.
const readersPerDataCentre = 2

// reader schedules the reads of the service.
type reader struct {
	// nextID is the ID of the latest read.
	nextID   uint64
	inFlight bool
	deadline time.Duration
	nextRead time.Duration
	// rank is the node's position among the nodes of its data centre that can read
	// the service, from 0.
	rank int

	// answered is set once the service has answered a read of this node. attempted
	// is set once a read has ended or the first one was skipped.
	answered  bool
	attempted bool
	// failures counts consecutive failed reads.
	failures int

	// floor is the revision of the service's body that was last not accepted.
	// Until floorUntil, reads ask only for revisions above it.
	floor      uint64
	floorUntil time.Duration
	// nextVerify is when the node next reads the current revision again, to detect
	// that the service has other bytes for it.
	nextVerify time.Duration
	verifying  bool

	// confirmed is set once this node or a peer has read the service, last at
	// confirmedAt.
	confirmed   bool
	confirmedAt time.Duration

	// tokens and refilledAt are the token bucket that limits the reads.
	tokens     float64
	refilledAt time.Duration
}

func newReader(now, delay time.Duration) reader {
	return reader{
		nextRead:   now + delay,
		rank:       readersPerDataCentre,
		tokens:     readBurst,
		refilledAt: now,
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

// ConfirmedAt returns when the service was last read, by this node or, as far as
// peers announced it, by a peer. It returns false if no read is known.
func (s *Syncer) ConfirmedAt() (time.Duration, bool) {
	return s.reader.confirmedAt, s.reader.confirmed
}

// confirmedWithin reports whether a read of the service within the last d is known.
func (r *reader) confirmedWithin(now, d time.Duration) bool {
	return r.confirmed && now-r.confirmedAt <= d
}

// takeToken takes one token of the read budget, which refills by one token per gap.
// It reports whether a token was available.
func (r *reader) takeToken(now, gap time.Duration) bool {
	r.tokens += float64(now-r.refilledAt) / float64(gap)
	r.tokens = min(r.tokens, readBurst)
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// tickReader starts a read if one is due and handles the timeout of the read in
// flight.
func (s *Syncer) tickReader(now time.Duration) {
	r := &s.reader
	if r.inFlight {
		if now < r.deadline {
			return
		}
		r.inFlight = false
		s.readFailed(now)
	}
	if now < r.nextRead || s.skipFirstRead(now) {
		return
	}
	if !r.takeToken(now, max(minReadGap, s.fleetInterval(fleetReadsPerSecond))) {
		return
	}
	s.startRead(now)
}

// skipFirstRead reports whether a node that is not a reader skips its first read
// because a peer has read the service recently. It then postpones the read to the
// regular poll interval.
func (s *Syncer) skipFirstRead(now time.Duration) bool {
	r := &s.reader
	if r.attempted || r.rank < readersPerDataCentre || !r.confirmedWithin(now, confirmationTTL) {
		return false
	}
	if s.Identity().IsZero() {
		return false
	}
	r.attempted = true
	r.nextRead = now + s.pollDelay()
	return true
}

// startRead emits a Read. Only the node of rank 0 waits for changes and verifies.
func (s *Syncer) startRead(now time.Duration) {
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

// ReadDone handles the result of a Read. It ignores a result that is not of the
// read in flight.
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
	r.nextRead = now + s.readDelay()
	s.checkServiceRevision(result.Revision)
	if len(result.Body) > 0 {
		s.handleBody(now, result)
	}
	return s.flush(now)
}

// handleBody tries to accept the body of a read. A starting node keeps it until the
// peer queries are done, because the peers' current revision takes precedence.
func (s *Syncer) handleBody(now time.Duration, result ReadResult) {
	if len(result.Body) > MaxBlobBytes {
		s.raiseFloor(now, result.Revision)
		s.rejectAndRemember(now, NewIdentity(result.Revision, ""), TooLarge, ServiceSource, nil)
		return
	}
	if !s.ready && !s.start.peersDone {
		s.start.pendingRead = result
		return
	}
	if s.tryAccept(now, result.Body, Identity{}, ServiceSource) {
		return
	}
	s.raiseFloor(now, result.Revision)
}

// raiseFloor keeps bytes that were not accepted from being read again immediately.
func (s *Syncer) raiseFloor(now time.Duration, revision uint64) {
	r := &s.reader
	r.floor = revision
	r.floorUntil = now + rejectedTTL
	if revision <= s.Identity().Revision && !r.verifying {
		r.nextRead = max(r.nextRead, now+maxReadBackoff)
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
	r.nextRead = now + max(delay, s.readDelay())
}

// readDelay returns the time until the next read, which depends on the rank.
func (s *Syncer) readDelay() time.Duration {
	switch {
	case s.reader.rank == 0:
		return 0
	case s.reader.rank < readersPerDataCentre:
		return standbyInterval/2 + s.jitter(standbyInterval)
	}
	return s.pollDelay()
}

// pollDelay returns the jittered interval between reads of a node that is not a
// reader.
func (s *Syncer) pollDelay() time.Duration {
	interval := max(minPollInterval, s.fleetInterval(fleetPollsPerSecond))
	return interval/2 + s.jitter(interval)
}

// updateRank recomputes the rank. If the rank improved to that of a reader, it brings
// the next read forward.
func (s *Syncer) updateRank(now time.Duration) {
	r := &s.reader
	before := r.rank
	r.rank = s.peers.rank(now)
	if r.rank >= before || r.rank >= readersPerDataCentre || !r.attempted {
		return
	}
	soon := now + s.jitter(s.fleetInterval(fleetReadsPerSecond))
	r.nextRead = min(r.nextRead, soon)
}

// checkServiceRevision reports a service revision below the current one, once for
// each such revision.
func (s *Syncer) checkServiceRevision(serviceRevision uint64) {
	current := s.Identity()
	if serviceRevision == 0 || serviceRevision >= current.Revision {
		s.lastBehind = 0
		return
	}
	if s.lastBehind == serviceRevision {
		return
	}
	s.lastBehind = serviceRevision
	s.reject(NewIdentity(serviceRevision, ""), ServiceBehind, ServiceSource, nil)
}
