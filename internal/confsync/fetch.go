package confsync

import "time"

// maxHolders bounds the remembered peers that have a wanted revision.
const maxHolders = 4

// fetch is the transfer of the newest revision that the node has heard of.
type fetch struct {
	// newest is the highest identity heard of and not refused.
	newest   Identity
	newestAt time.Duration
	holders  []string

	active   bool
	from     string
	want     Identity
	full     bool
	data     []byte
	deadline time.Duration
}

// addHolder remembers a peer that has the newest revision.
func (f *fetch) addHolder(address string) {
	for _, holder := range f.holders {
		if holder == address {
			return
		}
	}
	if len(f.holders) < maxHolders {
		f.holders = append(f.holders, address)
	}
}

// rotate selects the next holder as the source of the transfer.
func (f *fetch) rotate() {
	f.from = f.holders[0]
	f.holders = append(f.holders[1:], f.from)
}

// cancelUpTo ends a transfer that can't give a higher revision.
func (f *fetch) cancelUpTo(id Identity) {
	if f.active && f.want.Revision <= id.Revision {
		f.active = false
		f.data = nil
	}
}

// heard takes the identity that a peer says it has in force.
func (s *Syncer) heard(now time.Duration, from string, id Identity) {
	current := s.Identity()
	if id.Revision <= current.Revision {
		s.noteConflict(now, id, from)
		return
	}
	f := &s.fetch
	if s.isRefused(now, id) || id.Revision < f.newest.Revision {
		return
	}
	if id.Revision > f.newest.Revision {
		f.newest = id
		f.holders = nil
	}
	f.newestAt = now
	f.addHolder(from)
	if !f.active {
		s.startFetch(now, false)
	}
}

// startFetch asks the next holder for the newest revision.
func (s *Syncer) startFetch(now time.Duration, full bool) {
	f := &s.fetch
	f.active = false
	f.data = nil
	if len(f.holders) == 0 || f.newest.Revision <= s.Identity().Revision || s.isRefused(now, f.newest) {
		return
	}
	f.active = true
	f.rotate()
	f.want = f.newest
	f.full = full
	s.requestNext(now)
}

// requestNext asks for the bytes that follow those already received.
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

// tickFetch moves a silent transfer to the next holder, which continues it. It
// gives up when no holder has answered for newerHeardFor.
func (s *Syncer) tickFetch(now time.Duration) {
	f := &s.fetch
	if !f.active || now < f.deadline {
		return
	}
	if now-f.newestAt >= newerHeardFor {
		*f = fetch{}
		return
	}
	if f.newest != f.want {
		s.startFetch(now, false)
		return
	}
	f.rotate()
	s.requestNext(now)
}

// receiveFetch serves a difference or a chunk. When the wanted revision is no
// longer kept, it announces the one in force.
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
	if s.isRefused(now, m.To) {
		f.active = false
		return
	}
	s.startFetch(now, true)
}

// applyDelta applies a difference to the bytes in force and offers the result.
func (s *Syncer) applyDelta(now time.Duration, from string, to Identity, delta []byte) bool {
	data, err := s.opts.Differ.Apply(s.Bytes(), delta)
	if err != nil {
		s.reject(to, IdentityMismatch, from, err)
		return false
	}
	return s.offer(now, data, to, from)
}

func (s *Syncer) receiveChunk(now time.Duration, from string, m *Chunk) {
	f := &s.fetch
	if !f.active || from != f.from || m.Identity != f.want || m.Offset != len(f.data) {
		return
	}
	if m.Total > MaxBlobBytes || m.Offset+len(m.Bytes) > m.Total {
		s.refuse(now, m.Identity, TooLarge, from, nil)
		f.active = false
		return
	}
	if f.data == nil {
		f.data = make([]byte, 0, m.Total)
	}
	f.newestAt = now
	f.data = append(f.data, m.Bytes...)
	if len(f.data) < m.Total {
		s.requestNext(now)
		return
	}
	data := f.data
	f.data = nil
	f.active = false
	if !s.offer(now, data, f.want, from) {
		s.remember(now+refusedFor, f.want)
	}
	s.startFetch(now, false)
}
