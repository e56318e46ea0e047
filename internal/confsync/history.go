package confsync

// revision is an accepted identity with its bytes.
type revision struct {
	id    Identity
	bytes []byte
}

// history holds the current revision and a few earlier ones, and caches the deltas
// from them to the current one.
type history struct {
	differ Differ
	// revisions is ordered from the oldest to the current one.
	revisions []revision
	deltas    map[Identity][]byte
}

func newHistory(differ Differ) history {
	return history{differ: differ, deltas: make(map[Identity][]byte)}
}

// current returns the current revision, or a zero one if there is none.
func (h *history) current() revision {
	if len(h.revisions) == 0 {
		return revision{}
	}
	return h.revisions[len(h.revisions)-1]
}

// add makes r the current revision and drops the oldest one if maxRevisions are
// kept.
func (h *history) add(r revision) {
	if len(h.revisions) == maxRevisions {
		copy(h.revisions, h.revisions[1:])
		h.revisions = h.revisions[:maxRevisions-1]
	}
	h.revisions = append(h.revisions, r)
	clear(h.deltas)
}

// find returns the bytes of a kept revision.
func (h *history) find(id Identity) ([]byte, bool) {
	for _, r := range h.revisions {
		if r.id == id {
			return r.bytes, true
		}
	}
	return nil, false
}

// deltaFrom returns the delta from a kept revision to the current one. It returns
// nil if that revision is not kept or is the current one.
func (h *history) deltaFrom(id Identity) []byte {
	if delta, ok := h.deltas[id]; ok {
		return delta
	}
	from, ok := h.find(id)
	if !ok || id == h.current().id {
		return nil
	}
	delta := h.differ.Delta(from, h.current().bytes)
	h.deltas[id] = delta
	return delta
}

// previous returns the identity before the current one, or zero if there is none.
func (h *history) previous() Identity {
	if len(h.revisions) < 2 {
		return Identity{}
	}
	return h.revisions[len(h.revisions)-2].id
}
