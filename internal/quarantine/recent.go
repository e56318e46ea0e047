package quarantine

// completedSet remembers the contents that completed most recently, in two
// generations of at most limit contents each.
type completedSet struct {
	limit    int
	current  map[Fingerprint]struct{}
	previous map[Fingerprint]struct{}
}

// newCompletedSet returns an empty set that remembers at least limit contents, if as
// many have completed.
func newCompletedSet(limit int) completedSet {
	return completedSet{limit: limit, current: make(map[Fingerprint]struct{}), previous: nil}
}

// add adds a content. If the current generation is full, it becomes the previous
// one, and the contents of the previous one are dropped.
func (s *completedSet) add(fingerprint Fingerprint) {
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

// has reports whether a content is in the set.
func (s *completedSet) has(fingerprint Fingerprint) bool {
	if _, known := s.current[fingerprint]; known {
		return true
	}
	_, known := s.previous[fingerprint]
	return known
}

// remove removes a content from both generations.
func (s *completedSet) remove(fingerprint Fingerprint) {
	delete(s.current, fingerprint)
	delete(s.previous, fingerprint)
}
