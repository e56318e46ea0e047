package once

import (
	"sync"
	"time"
)

// maxExpired bounds the entries that one call removes, so that no call waits
// for a long cleanup.
const maxExpired = 8

// tableShard holds a part of a Table's tickets under one lock.
type tableShard struct {
	mu      sync.Mutex
	entries map[Ticket]*entry
	limit   int
	// bodies is the size of the answers kept, in bytes.
	bodies    int
	bodyLimit int
	// byUnused and byDone are ordered by the end of their entries' lifetime.
	byUnused queue
	byDone   queue
}

// queue is a first-in, first-out list of tickets to expire.
type queue struct {
	items []queued
	head  int
}

// queued is an entry and its end when it was queued.
type queued struct {
	entry   *entry
	state   state
	expires time.Duration
}

// add keeps a new entry. It returns false if the shard is full and has no
// outcome to forget.
func (s *tableShard) add(e *entry) bool {
	if len(s.entries) >= s.limit && !s.evict() {
		return false
	}
	s.entries[e.ticket] = e
	s.schedule(e)
	return true
}

// live returns the entry of a ticket that has not expired, or nil.
func (s *tableShard) live(now time.Duration, ticket Ticket) *entry {
	e := s.entries[ticket]
	if e == nil || e.expired(now) {
		return nil
	}
	return e
}

// schedule queues an entry to be removed when it expires.
func (s *tableShard) schedule(e *entry) {
	item := queued{entry: e, state: e.state, expires: e.expires}
	if e.state == done {
		s.byDone.push(item)
		return
	}
	s.byUnused.push(item)
}

// expire removes a bounded number of expired entries.
func (s *tableShard) expire(now time.Duration) {
	for range maxExpired {
		if !s.expireOne(now, &s.byUnused) && !s.expireOne(now, &s.byDone) {
			return
		}
	}
}

// expireOne removes the first item of q if its time has come.
func (s *tableShard) expireOne(now time.Duration, q *queue) bool {
	item, ok := q.first()
	if !ok || now < item.expires {
		return false
	}
	q.pop()
	if s.current(item) {
		s.remove(item.entry)
	}
	return true
}

// evict forgets the oldest outcome. A resend of it is answered as unknown.
func (s *tableShard) evict() bool {
	for {
		item, ok := s.byDone.first()
		if !ok {
			return false
		}
		s.byDone.pop()
		if s.current(item) {
			s.remove(item.entry)
			return true
		}
	}
}

// current reports whether an entry has not changed since it was queued.
func (s *tableShard) current(item queued) bool {
	e := item.entry
	return s.entries[e.ticket] == e && e.state == item.state && e.expires == item.expires
}

// remove forgets an entry.
func (s *tableShard) remove(e *entry) {
	s.bodies -= len(e.outcome.Body)
	delete(s.entries, e.ticket)
}

// keep counts the entry's answer against the bounds, and drops it if it is too
// large.
func (s *tableShard) keep(e *entry, maxBody int) {
	size := len(e.outcome.Body)
	if size > maxBody || s.bodies+size > s.bodyLimit {
		e.outcome.Body = nil
		e.outcome.BodyDropped = true
		return
	}
	s.bodies += size
}

// push appends an item.
func (q *queue) push(item queued) {
	q.items = append(q.items, item)
}

// first returns the oldest item.
func (q *queue) first() (queued, bool) {
	if q.head == len(q.items) {
		return queued{}, false
	}
	return q.items[q.head], true
}

// pop removes the oldest item and gives back space once half is free.
func (q *queue) pop() {
	q.items[q.head] = queued{}
	q.head++
	if q.head*2 >= len(q.items) {
		kept := copy(q.items, q.items[q.head:])
		clear(q.items[kept:])
		q.items = q.items[:kept]
		q.head = 0
	}
}
