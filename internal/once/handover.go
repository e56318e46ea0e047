package once

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Moved is a ticket that has not been used, with the time it has left.
type Moved struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Ticket      Ticket
	Bound       bool
	Fingerprint Fingerprint
	Remaining   time.Duration
}

// Recorded is the outcome of a ticket, with the time that it is kept for.
type Recorded struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Ticket      Ticket
	Fingerprint Fingerprint
	Outcome     Outcome
	Remaining   time.Duration
}

// Handover passes tickets from a stopping process to its successor. The right
// to run a ticket moves: From has given it up before the message exists, and To
// takes each message at most once. A lost message loses the tickets in it.
type Handover struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	From     Process
	To       Process
	// Number counts the messages of From.
	Number   uint64
	Unused   []Moved
	Outcomes []Recorded
}

// received names a message that has been imported.
type received struct {
	from   Process
	number uint64
}

// transfer is the state of hand-overs from and to a Table.
type transfer struct {
	stopping atomic.Bool
	// mu guards the fields below. It may be taken under a shard's lock.
	mu        sync.Mutex
	successor Process
	moved     bool
	sent      uint64
	received  map[received]struct{}
}

// successorOf returns the process that tickets have been handed over to.
func (t *transfer) successorOf() (Process, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successor, t.moved
}

// Stop ends the issuing of tickets, for good. Requests with tickets issued
// before go on.
func (t *Table) Stop() { t.transfer.stopping.Store(true) }

// Counts returns the number of unused tickets and of running requests. A
// stopping process waits until no request is running, and without a successor
// until no ticket is unused or its longest time to stop is over.
func (t *Table) Counts(now time.Duration) (unusedTickets, runningRequests int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			switch {
			case e.state == running:
				runningRequests++
			case e.state == unused && !e.expired(now):
				unusedTickets++
			}
		}
		s.mu.Unlock()
	}
	return unusedTickets, runningRequests
}

// Export takes up to limit tickets and outcomes out for the successor to. It
// returns false when there is nothing to hand over. A stopping process calls it
// until then, and again after running requests have ended. Each message may be
// sent again to the same successor, and never to another one.
func (t *Table) Export(now time.Duration, to Process, limit int) (Handover, bool, error) {
	if !t.transfer.stopping.Load() {
		return Handover{}, false, fmt.Errorf("host %q has not stopped issuing tickets", t.self.Host)
	}
	number, err := t.transfer.next(to)
	if err != nil {
		return Handover{}, false, err
	}
	h := Handover{From: t.self, To: to, Number: number}
	for i := range t.shards {
		t.shards[i].export(now, &h, limit)
	}
	return h, len(h.Unused)+len(h.Outcomes) > 0, nil
}

// next returns the number of the next message to the successor.
func (t *transfer) next(to Process) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.moved && t.successor != to {
		return 0, fmt.Errorf("tickets have been handed over to host %q already", t.successor.Host)
	}
	t.successor = to
	t.moved = true
	t.sent++
	return t.sent, nil
}

// export moves entries of the shard into h, up to its limit.
func (s *tableShard) export(now time.Duration, h *Handover, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if len(h.Unused)+len(h.Outcomes) >= limit {
			return
		}
		switch {
		case e.expired(now):
		case e.state == unused:
			s.remove(e)
			h.Unused = append(h.Unused, Moved{
				Ticket: e.ticket, Bound: e.bound, Fingerprint: e.fingerprint, Remaining: e.expires - now,
			})
		case e.state == done && !e.exported:
			e.exported = true
			h.Outcomes = append(h.Outcomes, Recorded{
				Ticket: e.ticket, Fingerprint: e.fingerprint, Outcome: e.outcome, Remaining: e.expires - now,
			})
		}
	}
}

// Import takes over the tickets of a Handover. It refuses one that names
// another process, and ignores one that it has taken before. What does not fit
// is lost.
func (t *Table) Import(now time.Duration, h Handover) error {
	if h.To != t.self {
		return kind.Errorf(kind.NotHolder, "hand-over from host %q is for another process of host %q", h.From.Host, h.To.Host)
	}
	if t.transfer.stopping.Load() {
		return kind.Errorf(kind.Stopping, "host %q is stopping", t.self.Host)
	}
	if !t.transfer.first(received{from: h.From, number: h.Number}) {
		return nil
	}
	for i := range h.Unused {
		m := &h.Unused[i]
		t.adopt(&entry{
			ticket: m.Ticket, bound: m.Bound, fingerprint: m.Fingerprint, expires: now + m.Remaining,
		}, now)
	}
	for i := range h.Outcomes {
		r := &h.Outcomes[i]
		t.adopt(&entry{
			ticket: r.Ticket, state: done, bound: true, fingerprint: r.Fingerprint,
			outcome: r.Outcome, sent: true, expires: now + r.Remaining,
		}, now)
	}
	return nil
}

// first reports whether a message has not been received before.
func (t *transfer) first(r received) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, seen := t.received[r]; seen {
		return false
	}
	if t.received == nil {
		t.received = make(map[received]struct{})
	}
	t.received[r] = struct{}{}
	return true
}

// adopt keeps an entry of another process. A recorded outcome replaces one that
// was not known.
func (t *Table) adopt(e *entry, now time.Duration) {
	s := t.shard(e.ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if known := s.entries[e.ticket]; known != nil {
		if e.state != done || known.state != done || known.outcome.Run != kind.RunUnknown {
			return
		}
		s.remove(known)
	}
	if s.add(e) && e.state == done {
		s.keep(e, t.options.MaxBody)
	}
}
