package coverage

import "slices"

// maxInitialHits limits the number of hits for which space is allocated in advance.
const maxInitialHits = 128

// topHits keeps the best hits of at most limit distinct documents.
type topHits struct {
	limit int
	// hits holds the kept hits in no particular order.
	hits []heapHit
	// heap is a binary heap of positions in hits, with the worst hit at the root.
	heap []int32
	// index maps a document ID to its position in hits.
	index map[string]int32
	// truncated is set once a hit has been discarded because of limit.
	truncated bool
}

// heapHit is a hit with its position in the heap.
type heapHit struct {
	Hit
	heapIndex int32
}

// newTopHits returns an empty topHits.
func newTopHits(limit int) topHits {
	reserved := min(max(limit, 0), maxInitialHits)
	return topHits{
		limit: limit,
		hits:  make([]heapHit, 0, reserved),
		heap:  make([]int32, 0, reserved),
		index: make(map[string]int32, reserved),
	}
}

// add merges one hit. For a document with several hits, the best one is kept.
func (t *topHits) add(hit Hit) {
	hit = hit.normalized()
	full := len(t.hits) >= t.limit
	if full && t.truncated && t.ranksLast(&hit) {
		return
	}
	if at, seen := t.index[hit.ID]; seen {
		t.improve(at, hit)
		return
	}
	if !full {
		t.push(hit)
		return
	}
	t.truncated = true
	if t.ranksLast(&hit) {
		return
	}
	t.replaceWorst(hit)
}

// ranksLast reports whether hit ranks below every kept hit.
func (t *topHits) ranksLast(hit *Hit) bool {
	return len(t.heap) == 0 || t.hits[t.heap[0]].before(hit)
}

// improve replaces the kept hit at a position of hits if the new one ranks above it.
func (t *topHits) improve(at int32, hit Hit) {
	if !hit.before(&t.hits[at].Hit) {
		return
	}
	t.hits[at].Hit = hit
	t.siftDown(int(t.hits[at].heapIndex))
}

// replaceWorst replaces the worst kept hit with hit.
func (t *topHits) replaceWorst(hit Hit) {
	at := t.heap[0]
	delete(t.index, t.hits[at].ID)
	t.index[hit.ID] = at
	t.hits[at].Hit = hit
	t.siftDown(0)
}

// push adds a hit while fewer than limit hits are kept.
func (t *topHits) push(hit Hit) {
	at := int32(len(t.hits))
	heapIndex := len(t.heap)
	t.hits = append(t.hits, heapHit{Hit: hit, heapIndex: int32(heapIndex)})
	t.heap = append(t.heap, at)
	t.index[hit.ID] = at
	for heapIndex > 0 {
		parent := (heapIndex - 1) / 2
		if !t.ranksAbove(parent, heapIndex) {
			return
		}
		t.swap(heapIndex, parent)
		heapIndex = parent
	}
}

// siftDown moves the hit at a position of the heap away from the root until the heap
// property holds.
func (t *topHits) siftDown(place int) {
	for {
		worst := place
		for child := 2*place + 1; child <= 2*place+2 && child < len(t.heap); child++ {
			if t.ranksAbove(worst, child) {
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

// ranksAbove reports whether the hit at position a of the heap ranks above the hit
// at position b.
func (t *topHits) ranksAbove(a, b int) bool {
	return t.hits[t.heap[a]].before(&t.hits[t.heap[b]].Hit)
}

// swap swaps the hits at two positions of the heap.
func (t *topHits) swap(a, b int) {
	t.heap[a], t.heap[b] = t.heap[b], t.heap[a]
	t.hits[t.heap[a]].heapIndex = int32(a)
	t.hits[t.heap[b]].heapIndex = int32(b)
}

// sorted returns the kept hits in order, the best first.
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
