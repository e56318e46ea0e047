package once

import (
	"sync"
	"time"
)

// maxExpiredPerCall bounds the expired entries that one call removes, so that no call
// is delayed by a long cleanup.
const maxExpiredPerCall = 8

// tableShard holds a part of a Table's tickets under one lock.
type tableShard struct {
	mu         sync.Mutex
	entries    map[Ticket]*entry
	maxEntries int
	// bodyBytes is the total size of the answers that are kept.
	bodyBytes         int
	maxTotalBodyBytes int
	// unusedQueue and doneQueue are ordered by the expiry times of their items.
	unusedQueue expiryQueue
	doneQueue   expiryQueue
}

// expiryQueue is a first-in, first-out queue of entries that expire.
type expiryQueue struct {
	items []expiryItem
	head  int
}

// expiryItem is an entry with its state and expiry time when it was queued.
type expiryItem struct {
	entry   *entry
	state   state
	expires time.Duration
}

// add stores a new entry. It returns false if the shard is full of running requests.
func (s *tableShard) add(e *entry) bool {
	if len(s.entries) >= s.maxEntries && !s.evict() {
		return false
	}
	s.entries[e.ticket] = e
	s.scheduleExpiry(e)
	return true
}

// lookup returns the entry of a ticket, or nil if there is none or it has expired.
func (s *tableShard) lookup(now time.Duration, ticket Ticket) *entry {
	e := s.entries[ticket]
	if e == nil || e.expired(now) {
		return nil
	}
	return e
}

// scheduleExpiry queues an entry for removal when it expires.
func (s *tableShard) scheduleExpiry(e *entry) {
	item := expiryItem{entry: e, state: e.state, expires: e.expires}
	if e.state == done {
		s.doneQueue.push(item)
		return
	}
	s.unusedQueue.push(item)
}

// expire removes a bounded number of expired entries.
func (s *tableShard) expire(now time.Duration) {
	for range maxExpiredPerCall {
		if !s.expireOne(now, &s.unusedQueue) && !s.expireOne(now, &s.doneQueue) {
			return
		}
	}
}

// expireOne pops the first item of q if it is due, and removes its entry if that has
// not changed since. It returns false if no item is due.
func (s *tableShard) expireOne(now time.Duration, q *expiryQueue) bool {
	item, ok := q.first()
	if !ok || now < item.expires {
		return false
	}
	q.pop()
	if s.unchanged(item) {
		s.remove(item.entry)
	}
	return true
}

// evict removes the oldest outcome, or else the oldest unused ticket. To a later request its ticket is
// unknown.
func (s *tableShard) evict() bool { return s.evictFirst(&s.doneQueue) || s.evictFirst(&s.unusedQueue) }

// evictFirst removes the first entry of q that has not changed since it was queued.
func (s *tableShard) evictFirst(q *expiryQueue) bool {
	for {
		item, ok := q.first()
		if !ok {
			return false
		}
		q.pop()
		if s.unchanged(item) {
			s.remove(item.entry)
			return true
		}
	}
}

// unchanged reports whether an entry is the same as when it was queued.
func (s *tableShard) unchanged(item expiryItem) bool {
	e := item.entry
	return s.entries[e.ticket] == e && e.state == item.state && e.expires == item.expires
}

// remove deletes an entry and releases the size of its answer.
func (s *tableShard) remove(e *entry) {
	s.bodyBytes -= len(e.outcome.Body)
	delete(s.entries, e.ticket)
}

// retainBody adds the size of the entry's answer to bodyBytes, or drops the answer if
// it exceeds the bounds.
func (s *tableShard) retainBody(e *entry, maxBody int) {
	size := len(e.outcome.Body)
	if size > maxBody || s.bodyBytes+size > s.maxTotalBodyBytes {
		e.outcome.Body = nil
		e.outcome.BodyDropped = true
		return
	}
	s.bodyBytes += size
}

// push appends an item.
func (q *expiryQueue) push(item expiryItem) {
	q.items = append(q.items, item)
}

// first returns the oldest item.
func (q *expiryQueue) first() (expiryItem, bool) {
	if q.head == len(q.items) {
		return expiryItem{}, false
	}
	return q.items[q.head], true
}

// pop removes the oldest item, and moves the others to the front of the slice once
// half of it is free.
func (q *expiryQueue) pop() {
	q.items[q.head] = expiryItem{}
	q.head++
	if q.head*2 >= len(q.items) {
		kept := copy(q.items, q.items[q.head:])
		clear(q.items[kept:])
		q.items = q.items[:kept]
		q.head = 0
	}
}
