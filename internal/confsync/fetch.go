package confsync

import "time"

// maxSources is the maximum number of peers remembered as sources of a revision.
const maxSources = 4

// fetch is the state of the transfer of the newest revision announced by peers.
type fetch struct {
	// newest is the highest identity announced by a peer that is not rejected.
	newest Identity
	// newestHeardAt is when a peer last announced newest or sent a chunk.
	newestHeardAt time.Duration
	// sources lists the addresses of peers that have newest, in the order in which
	// they are tried.
	sources []string

	// active is set while a transfer of want is in progress.
	active bool
	from   string
	want   Identity
	// full is set if the bytes are requested instead of a delta.
	full bool
	// data holds the bytes received so far.
	data     []byte
	deadline time.Duration
}

// addSource adds a peer that has the newest revision.
func (f *fetch) addSource(address string) {
	for _, source := range f.sources {
		if source == address {
			return
		}
	}
	if len(f.sources) < maxSources {
		f.sources = append(f.sources, address)
	}
}

// nextSource selects the next source round-robin.
func (f *fetch) nextSource() {
	f.from = f.sources[0]
	f.sources = append(f.sources[1:], f.from)
}

// cancelUpTo cancels the transfer if it doesn't yield a higher revision than id.
func (f *fetch) cancelUpTo(id Identity) {
	if f.active && f.want.Revision <= id.Revision {
		f.active = false
		f.data = nil
	}
}

// handlePeerIdentity handles the current identity of a peer, and starts a transfer
// if its revision is newer.
func (s *Syncer) handlePeerIdentity(now time.Duration, from string, id Identity) {
	current := s.Identity()
	if id.Revision <= current.Revision {
		s.checkConflict(now, id, from)
		return
	}
	f := &s.fetch
	if s.isRejected(now, id) || id.Revision < f.newest.Revision {
		return
	}
	if id.Revision > f.newest.Revision {
		f.newest = id
		f.sources = nil
	}
	f.newestHeardAt = now
	f.addSource(from)
	if !f.active {
		s.startFetch(now, false)
	}
}

// startFetch requests the newest revision from the next source. It cancels a
// transfer in progress.
func (s *Syncer) startFetch(now time.Duration, full bool) {
	f := &s.fetch
	f.active = false
	f.data = nil
	if len(f.sources) == 0 || f.newest.Revision <= s.Identity().Revision || s.isRejected(now, f.newest) {
		return
	}
	f.active = true
	f.nextSource()
	f.want = f.newest
	f.full = full
	s.requestNext(now)
}

// requestNext requests the bytes that follow those already received.
func (s *Syncer) requestNext(now time.Duration) {
	f := &s.fetch
	f.deadline = now + fetchTimeout
	s.send(f.from, &Fetch{
		Blob:   s.opts.Blob,
		Have:   s.Identity(),
		Want:   f.want,
		Offset: len(f.data),
		Full:   f.full,
	})
}

// tickFetch continues a transfer with the next source if the current one has not
// answered within fetchTimeout. It starts over if a newer revision was announced in
// the meantime, and gives up if newest was neither announced nor received for
// newerRevisionTTL.
func (s *Syncer) tickFetch(now time.Duration) {
	f := &s.fetch
	if !f.active || now < f.deadline {
		return
	}
	if now-f.newestHeardAt >= newerRevisionTTL {
		*f = fetch{}
		return
	}
	if f.newest != f.want {
		s.startFetch(now, false)
		return
	}
	f.nextSource()
	s.requestNext(now)
}

// receiveFetch answers with a delta or a chunk. If the wanted revision is not kept
// or the offset is invalid, it sends an Announce of the current revision.
func (s *Syncer) receiveFetch(now time.Duration, from string, m *Fetch) {
	data, ok := s.history.find(m.Want)
	if !ok || m.Offset < 0 || m.Offset > len(data) {
		s.send(from, s.announce(now, m.Have, false))
		return
	}
	current := s.Identity()
	if !m.Full && m.Offset == 0 {
		delta := s.history.deltaFrom(m.Have)
		if len(delta) > 0 && len(delta) <= maxChunkBytes {
			s.send(from, &Delta{Blob: s.opts.Blob, From: m.Have, To: current, Bytes: delta})
			return
		}
	}
	end := min(m.Offset+maxChunkBytes, len(data))
	s.send(from, &Chunk{
		Blob:     s.opts.Blob,
		Identity: m.Want,
		Offset:   m.Offset,
		Total:    len(data),
		Bytes:    data[m.Offset:end],
	})
}

func (s *Syncer) receiveDelta(now time.Duration, from string, m *Delta) {
	f := &s.fetch
	if !f.active || from != f.from || m.From != s.Identity() || m.To.Revision < f.want.Revision {
		return
	}
	if s.applyDelta(now, from, m.To, m.Bytes) {
		s.startFetch(now, false)
		return
	}
	if s.isRejected(now, m.To) {
		f.active = false
		return
	}
	s.startFetch(now, true)
}

// applyDelta applies a delta to the current bytes and tries to accept the result.
func (s *Syncer) applyDelta(now time.Duration, from string, to Identity, delta []byte) bool {
	data, err := s.opts.Differ.Apply(s.Bytes(), delta)
	if err != nil {
		s.reject(to, IdentityMismatch, from, err)
		return false
	}
	return s.tryAccept(now, data, to, from)
}

func (s *Syncer) receiveChunk(now time.Duration, from string, m *Chunk) {
	f := &s.fetch
	if !f.active || from != f.from || m.Identity != f.want || m.Offset != len(f.data) {
		return
	}
	if m.Total > MaxBlobBytes || m.Offset+len(m.Bytes) > m.Total {
		s.rejectAndRemember(now, m.Identity, TooLarge, from, nil)
		f.active = false
		return
	}
	if f.data == nil {
		f.data = make([]byte, 0, m.Total)
	}
	f.newestHeardAt = now
	f.data = append(f.data, m.Bytes...)
	if len(f.data) < m.Total {
		s.requestNext(now)
		return
	}
	data := f.data
	f.data = nil
	f.active = false
	if !s.tryAccept(now, data, f.want, from) {
		s.rememberRejected(now+rejectedTTL, f.want)
	}
	s.startFetch(now, false)
}
