package confsync

// revision is the bytes of one accepted identity.
type revision struct {
	id    Identity
	bytes []byte
}

// history holds the revision in force and a few earlier ones, with the
// differences from them to the one in force.
type history struct {
	differ Differ
	// kept is ordered from the oldest to the one in force.
	kept   []revision
	deltas map[Identity][]byte
}

func newHistory(differ Differ) history {
	return history{differ: differ, deltas: make(map[Identity][]byte)}
}

// current returns the revision in force, or a zero one.
func (h *history) current() revision {
	if len(h.kept) == 0 {
		return revision{}
	}
	return h.kept[len(h.kept)-1]
}

// add puts a revision in force.
func (h *history) add(r revision) {
	if len(h.kept) == keptRevisions {
		copy(h.kept, h.kept[1:])
		h.kept = h.kept[:keptRevisions-1]
	}
	h.kept = append(h.kept, r)
	clear(h.deltas)
}

// find returns the bytes of a kept revision.
func (h *history) find(id Identity) ([]byte, bool) {
	for _, r := range h.kept {
		if r.id == id {
			return r.bytes, true
		}
	}
	return nil, false
}

// deltaFrom returns the difference from a kept revision to the one in force,
// or nil when that revision is not kept.
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

// previous returns the identity that was in force before the current one.
func (h *history) previous() Identity {
	if len(h.kept) < 2 {
		return Identity{}
	}
	return h.kept[len(h.kept)-2].id
}
