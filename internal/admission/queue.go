package admission

import (
	"slices"
	"time"
)

// entry is a queued call with the values that determine its position in the
// service order.
type entry struct {
	item     Item
	seq      uint64
	startTag float64
	cost     float64
	rank     float64
	// latestStart is the time from which the call may no longer start.
	latestStart time.Duration
}

func (e *entry) flow() flowKey { return flowKey{e.item.Class, e.item.Customer} }

// before reports whether e is served before o: by class, then by start tag,
// then by arrival.
func (e *entry) before(o *entry) bool {
	if e.item.Class != o.item.Class {
		return e.item.Class < o.item.Class
	}
	if e.startTag != o.startTag {
		return e.startTag < o.startTag
	}
	return e.seq < o.seq
}

// queue holds the queued calls in service order. free holds entries for reuse.
type queue struct {
	entries []*entry
	free    []*entry
}

// alloc returns an unused entry.
func (q *queue) alloc() *entry {
	if n := len(q.free); n > 0 {
		e := q.free[n-1]
		q.free = q.free[:n-1]
		return e
	}
	return &entry{}
}

// insert inserts e in service order and returns its index.
func (q *queue) insert(e *entry) int {
	at := len(q.entries)
	for at > 0 && e.before(q.entries[at-1]) {
		at--
	}
	q.entries = slices.Insert(q.entries, at, e)
	return q.promoteByRank(at)
}

// promoteByRank moves the call at index at ahead of the calls of the same flow with
// a higher rank and returns its new index. The start tags stay at their positions,
// so that the service that each flow receives does not change.
func (q *queue) promoteByRank(at int) int {
	e := q.entries[at]
	for i := at - 1; i >= 0; i-- {
		o := q.entries[i]
		if o.flow() != e.flow() {
			continue
		}
		if o.rank <= e.rank {
			break
		}
		o.startTag, e.startTag = e.startTag, o.startTag
		q.entries[i], q.entries[at] = e, o
		at = i
	}
	return at
}

// remove removes the entry at index at and returns it. The next alloc may reuse the
// entry.
func (q *queue) remove(at int) *entry {
	e := q.entries[at]
	q.entries = slices.Delete(q.entries, at, at+1)
	q.free = append(q.free, e)
	return e
}

// index returns the index of the call with the given ID, or -1 if it is not queued.
func (q *queue) index(id uint64) int {
	for i, e := range q.entries {
		if e.item.ID == id {
			return i
		}
	}
	return -1
}
