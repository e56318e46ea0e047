// Package intake bounds what callers hold of a process: their connections, and the bytes of requests
// that are not complete or not answered yet.
//
// If a bound is reached, the caller that has gone longest without progress loses its connection to the
// one that needs room, so that a crowd of callers which stop before the end of their requests, or do not
// take their answers, gives way to others. What is being served is never given up. Part of the bytes is
// kept for small requests.
//
// The package is pure: time is an argument, and the caller serializes the calls of an Account.
package intake

import (
	"bytes"
	"errors"
	"time"
)

// ErrNoRoom is the error of reading a request for which there is no room, nor any that could be made.
var ErrNoRoom = errors.New("the requests that are being served take all the room")

const (
	// smallBytes is the size up to which a request is small.
	smallBytes = 16 << 10
	// largeShare is the fraction of the bytes that requests may hold beyond smallBytes each.
	largeShare = 0.75
	// fieldBytes is about the memory that a field of a decoded head takes beside its bytes.
	fieldBytes = 160
	// stallTime is the time after which a caller that takes nothing of its answer may lose it to others
	// whose answers lack memory.
	stallTime = 200 * time.Millisecond
)

// Limits bound what all callers together hold.
type Limits struct {
	// Conns is the number of open connections.
	Conns int
	// Bytes is the size of the requests that are being received or served.
	Bytes int64
}

// Phase is what a connection is used for.
type Phase uint8

// The phases of a connection.
const (
	// Receiving is the time until a request is complete, that before its first byte included.
	Receiving Phase = iota
	// Serving is the time from there until the first byte of the answer is written.
	Serving
	// Answering is the time until the caller has taken the answer.
	Answering
	// Idle is the time between two requests.
	Idle
)

// Conn is one connection of a caller.
type Conn struct {
	phase Phase
	bytes int64
	// answer is the size of the part of an answer that is being written.
	answer int
	// progressAt is when the last byte arrived, the caller last took a part of its answer, or the phase
	// changed.
	progressAt time.Duration
	// index is the position among the connections of the account.
	index int
}

// HeadSize returns the size of a part of a request's head with what its decoded fields take.
func HeadSize(part []byte) int { return len(part) + fieldBytes*bytes.Count(part, []byte{'\n'}) }

// Account holds the connections of all callers.
type Account struct {
	limits Limits
	conns  []*Conn
	// bytes is the sum over all connections, and large the part beyond smallBytes of each.
	bytes, large int64
}

// NewAccount returns an account without connections.
func NewAccount(l Limits) *Account { return &Account{limits: l} }

// Conns returns the number of connections, and Bytes the bytes that they hold.
func (a *Account) Conns() int { return len(a.conns) }

// Bytes returns the size of the requests that are being received or served.
func (a *Account) Bytes() int64 { return a.bytes }

// Open adds a connection. If there are too many, it removes another one, which the caller must close.
// It returns no connection if all others are being served.
func (a *Account) Open(now time.Duration) (c, victim *Conn) {
	if len(a.conns) >= a.limits.Conns {
		victim = a.stalest(nil, func(c *Conn) bool { return c.phase == Idle })
		if victim == nil {
			victim = a.stalest(nil, (*Conn).waitsForCaller)
		}
		if victim == nil {
			return nil, nil
		}
		a.Close(victim)
	}
	c = &Conn{progressAt: now, index: len(a.conns)}
	a.conns = append(a.conns, c)
	return c, victim
}

// Grow adds n bytes to the request that is being received on a connection. If that is too much, it
// removes other connections, which the caller must close. It reports false if that gives too little
// room; the request must then be refused. What arrives while a request is served or answered is not
// counted, since to refuse it would end the request; the server reads no more than a byte then.
func (a *Account) Grow(now time.Duration, c *Conn, n int) (victims []*Conn, ok bool) {
	if c.index < 0 {
		return nil, false
	}
	if c.phase == Idle {
		c.phase = Receiving
	}
	if c.phase != Receiving {
		return nil, true
	}
	a.set(c, c.bytes+int64(n))
	c.progressAt = now
	for a.bytes > a.limits.Bytes || a.large > a.largeLimit() && c.bytes > smallBytes {
		onlyLarge := a.bytes <= a.limits.Bytes
		victim := a.stalest(c, func(o *Conn) bool {
			return o.waitsForCaller() && o.bytes > 0 && (!onlyLarge || o.bytes > smallBytes)
		})
		if victim == nil {
			return victims, false
		}
		a.Close(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

func (a *Account) largeLimit() int64 { return int64(largeShare * float64(a.limits.Bytes)) }

// SetPhase changes the phase of a connection. An idle one holds no bytes.
func (a *Account) SetPhase(now time.Duration, c *Conn, p Phase) {
	if c.index < 0 {
		return
	}
	c.phase, c.progressAt = p, now
	if p == Idle {
		a.set(c, 0)
	}
}

// BeginAnswer reports that n bytes of an answer are about to be written on a connection.
func (a *Account) BeginAnswer(now time.Duration, c *Conn, n int) {
	c.answer = n
	if c.phase == Serving {
		a.SetPhase(now, c, Answering)
	}
}

// Progress reports that the caller has taken a part of what BeginAnswer reported, and that left bytes of
// it are still to be written.
func (a *Account) Progress(now time.Duration, c *Conn, left int) { c.progressAt, c.answer = now, left }

// RemoveStalled removes the connection with the most bytes of an answer to be written, of those whose
// callers have not taken any for stallTime. The caller must close it. It returns nil if there is none.
func (a *Account) RemoveStalled(now time.Duration) *Conn {
	var found *Conn
	for _, c := range a.conns {
		if c.phase == Answering && c.answer > 0 && now-c.progressAt >= stallTime && (found == nil || c.answer > found.answer) {
			found = c
		}
	}
	if found != nil {
		a.Close(found)
	}
	return found
}

// waitsForCaller reports whether a connection waits for its caller to send or to take bytes.
func (c *Conn) waitsForCaller() bool { return c.phase == Receiving || c.phase == Answering }

// Close removes a connection, if it has not been removed before.
func (a *Account) Close(c *Conn) {
	if c.index < 0 {
		return
	}
	a.set(c, 0)
	last := len(a.conns) - 1
	moved := a.conns[last]
	a.conns[c.index], moved.index = moved, c.index
	a.conns[last] = nil
	a.conns = a.conns[:last]
	c.index = -1
}

// set sets the bytes of a connection.
func (a *Account) set(c *Conn, bytes int64) {
	a.bytes += bytes - c.bytes
	a.large += max(bytes-smallBytes, 0) - max(c.bytes-smallBytes, 0)
	c.bytes = bytes
}

// stalest returns the connection other than except that has gone longest without progress among those
// that may be removed, or nil.
func (a *Account) stalest(except *Conn, removable func(*Conn) bool) *Conn {
	var found *Conn
	for _, c := range a.conns {
		if c != except && removable(c) && (found == nil || c.progressAt < found.progressAt) {
			found = c
		}
	}
	return found
}
