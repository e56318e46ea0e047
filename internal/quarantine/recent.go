package quarantine

// recentSet remembers the keys that were added most recently, in two
// generations of at most limit keys each.
type recentSet[K comparable] struct {
	limit    int
	current  map[K]struct{}
	previous map[K]struct{}
}

// newRecentSet returns an empty set that remembers at least limit keys, if as
// many have been added.
func newRecentSet[K comparable](limit int) recentSet[K] {
	return recentSet[K]{limit: limit, current: make(map[K]struct{}), previous: nil}
}

// add adds a key. If the current generation is full, it becomes the previous
// one, and the keys of the previous one are dropped.
func (s *recentSet[K]) add(key K) {
	if _, known := s.current[key]; known {
		return
	}
	if len(s.current) >= s.limit {
		recycled := s.previous
		s.previous = s.current
		if recycled == nil {
			recycled = make(map[K]struct{}, s.limit)
		}
		clear(recycled)
		s.current = recycled
	}
	s.current[key] = struct{}{}
}

// has reports whether a key is in the set.
func (s *recentSet[K]) has(key K) bool {
	if _, known := s.current[key]; known {
		return true
	}
	_, known := s.previous[key]
	return known
}

// remove removes a key from both generations.
func (s *recentSet[K]) remove(key K) {
	delete(s.current, key)
	delete(s.previous, key)
}
