package coverage

import "slices"

// maxInitialHits bounds the space that is reserved before hits arrive.
const maxInitialHits = 128

// topHits keeps the best hits of distinct documents, at most limit of them.
type topHits struct {
	limit int
	// hits are the kept hits in no order.
	hits []rankedHit
	// heap orders positions in hits; the worst hit is at its root.
	heap []int32
	// position maps a document id to its position in hits.
	position  map[string]int32
	truncated bool
}

// rankedHit is a hit and its place in the heap.
type rankedHit struct {
	Hit
	place int32
}

// newTopHits returns an empty topHits.
func newTopHits(limit int) topHits {
	reserved := min(max(limit, 0), maxInitialHits)
	return topHits{
		limit:    limit,
		hits:     make([]rankedHit, 0, reserved),
		heap:     make([]int32, 0, reserved),
		position: make(map[string]int32, reserved),
	}
}

// add merges one hit. Of a document seen more than once the best hit is kept.
func (t *topHits) add(hit Hit) {
	hit = hit.normalized()
	full := len(t.hits) >= t.limit
	if full && t.truncated && t.belowAll(&hit) {
		return
	}
	if at, seen := t.position[hit.ID]; seen {
		t.improve(at, hit)
		return
	}
	if !full {
		t.push(hit)
		return
	}
	t.truncated = true
	if t.belowAll(&hit) {
		return
	}
	t.replaceWorst(hit)
}

// belowAll reports whether hit ranks below every kept hit.
func (t *topHits) belowAll(hit *Hit) bool {
	return len(t.heap) == 0 || t.hits[t.heap[0]].before(hit)
}

// improve replaces the hit at a position if the new one ranks above it.
func (t *topHits) improve(at int32, hit Hit) {
	if !hit.before(&t.hits[at].Hit) {
		return
	}
	t.hits[at].Hit = hit
	t.down(int(t.hits[at].place))
}

// replaceWorst puts hit in place of the worst kept hit.
func (t *topHits) replaceWorst(hit Hit) {
	at := t.heap[0]
	delete(t.position, t.hits[at].ID)
	t.position[hit.ID] = at
	t.hits[at].Hit = hit
	t.down(0)
}

// push adds a hit below the limit.
func (t *topHits) push(hit Hit) {
	at := int32(len(t.hits))
	place := len(t.heap)
	t.hits = append(t.hits, rankedHit{Hit: hit, place: int32(place)})
	t.heap = append(t.heap, at)
	t.position[hit.ID] = at
	for place > 0 {
		parent := (place - 1) / 2
		if !t.above(parent, place) {
			return
		}
		t.swap(place, parent)
		place = parent
	}
}

// down moves the hit at a place of the heap away from the root until the heap
// is in order.
func (t *topHits) down(place int) {
	for {
		worst := place
		for child := 2*place + 1; child <= 2*place+2 && child < len(t.heap); child++ {
			if t.above(worst, child) {
				worst = child
			}
		}
		if worst == place {
			return
		}
		t.swap(place, worst)
		place = worst
	}
}

// above reports whether the hit at place a of the heap ranks above that at b.
func (t *topHits) above(a, b int) bool {
	return t.hits[t.heap[a]].before(&t.hits[t.heap[b]].Hit)
}

// swap exchanges two places of the heap.
func (t *topHits) swap(a, b int) {
	t.heap[a], t.heap[b] = t.heap[b], t.heap[a]
	t.hits[t.heap[a]].place = int32(a)
	t.hits[t.heap[b]].place = int32(b)
}

// sorted returns the kept hits, the best first.
func (t *topHits) sorted() []Hit {
	hits := make([]Hit, len(t.hits))
	for i := range t.hits {
		hits[i] = t.hits[i].Hit
	}
	slices.SortFunc(hits, func(a, b Hit) int {
		if a.before(&b) {
			return -1
		}
		return 1
	})
	return hits
}
