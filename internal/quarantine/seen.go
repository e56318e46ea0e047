package quarantine

// seenSet remembers the contents that completed last, in two generations of
// limited size.
type seenSet struct {
	limit    int
	current  map[Fingerprint]struct{}
	previous map[Fingerprint]struct{}
}

// newSeenSet returns an empty set that remembers at least limit contents.
func newSeenSet(limit int) seenSet {
	return seenSet{limit: limit, current: make(map[Fingerprint]struct{}), previous: nil}
}

// add remembers a content.
func (s *seenSet) add(fingerprint Fingerprint) {
	if _, known := s.current[fingerprint]; known {
		return
	}
	if len(s.current) >= s.limit {
		recycled := s.previous
		s.previous = s.current
		if recycled == nil {
			recycled = make(map[Fingerprint]struct{}, s.limit)
		}
		clear(recycled)
		s.current = recycled
	}
	s.current[fingerprint] = struct{}{}
}

// has reports whether a content is remembered.
func (s *seenSet) has(fingerprint Fingerprint) bool {
	if _, known := s.current[fingerprint]; known {
		return true
	}
	_, known := s.previous[fingerprint]
	return known
}

// remove forgets a content.
func (s *seenSet) remove(fingerprint Fingerprint) {
	delete(s.current, fingerprint)
	delete(s.previous, fingerprint)
}
