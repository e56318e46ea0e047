package once

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// UnusedTicket is an unused ticket with its remaining lifetime.
type UnusedTicket struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Ticket      Ticket
	Begun       bool
	Fingerprint Fingerprint
	Remaining   time.Duration
}

// RecordedOutcome is the outcome of a ticket with its remaining lifetime.
type RecordedOutcome struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Ticket      Ticket
	Fingerprint Fingerprint
	Outcome     Outcome
	Remaining   time.Duration
}

// Handover passes tickets from a stopping process to its successor. The right to
// run a ticket's request moves: From gives it up before the message exists, and To
// imports each message at most once. If a message is lost, so are its tickets.
type Handover struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	From     Process
	To       Process
	// Number is the sequence number of the message among those of From.
	Number   uint64
	Unused   []UnusedTicket
	Outcomes []RecordedOutcome
}

// imported identifies a hand-over message that has been imported.
type imported struct {
	from   Process
	number uint64
}

// handoverState is the state of the hand-overs from and to a Table.
type handoverState struct {
	stopping atomic.Bool
	// mu guards the fields below. It may be taken under a shard's lock.
	mu           sync.Mutex
	successor    Process
	hasSuccessor bool
	lastNumber   uint64
	imported     map[imported]struct{}
}

// currentSuccessor returns the process that tickets have been handed over to, and
// false if there is none.
func (t *handoverState) currentSuccessor() (Process, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successor, t.hasSuccessor
}

// Stop permanently stops the issuing of tickets. Requests with tickets that have
// been issued are still served.
func (t *Table) Stop() { t.handoverState.stopping.Store(true) }

// Counts returns the numbers of unused tickets and of running requests. A stopping
// process waits until no request is running and, if it has no successor, until no
// ticket is unused or its maximum time to stop is over.
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

// Export removes unused tickets and copies outcomes, up to limit in all, for
// hand-over to the successor to. It returns false if there is nothing to hand over.
// A stopping process calls it until then, and again after running requests have
// ended. A message may be sent again to the same successor, but never to another
// one.
func (t *Table) Export(now time.Duration, to Process, limit int) (Handover, bool, error) {
	if !t.handoverState.stopping.Load() {
		return Handover{}, false, fmt.Errorf("host %q has not stopped issuing tickets", t.self.Host)
	}
	number, err := t.handoverState.nextNumber(to)
	if err != nil {
		return Handover{}, false, err
	}
	h := Handover{From: t.self, To: to, Number: number}
	for i := range t.shards {
		t.shards[i].export(now, &h, limit)
	}
	return h, len(h.Unused)+len(h.Outcomes) > 0, nil
}

// nextNumber returns the number of the next message to the successor.
func (t *handoverState) nextNumber(to Process) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasSuccessor && t.successor != to {
		return 0, fmt.Errorf("tickets have already been handed over to host %q", t.successor.Host)
	}
	t.successor = to
	t.hasSuccessor = true
	t.lastNumber++
	return t.lastNumber, nil
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
			h.Unused = append(h.Unused, UnusedTicket{
				Ticket: e.ticket, Begun: e.begun, Fingerprint: e.fingerprint, Remaining: e.expires - now,
			})
		case e.state == done && !e.exported:
			e.exported = true
			h.Outcomes = append(h.Outcomes, RecordedOutcome{
				Ticket: e.ticket, Fingerprint: e.fingerprint, Outcome: e.outcome, Remaining: e.expires - now,
			})
		}
	}
}

// Import takes over the tickets of a Handover. It refuses a message to another
// process, and ignores one that it has already imported. Tickets that do not fit
// into the table are lost.
func (t *Table) Import(now time.Duration, h Handover) error {
	if h.To != t.self {
		return kind.Errorf(kind.NotHolder, "hand-over from host %q is addressed to another process, on host %q", h.From.Host, h.To.Host)
	}
	if t.handoverState.stopping.Load() {
		return kind.Errorf(kind.Stopping, "host %q is stopping", t.self.Host)
	}
	if !t.handoverState.markImported(imported{from: h.From, number: h.Number}) {
		return nil
	}
	for i := range h.Unused {
		m := &h.Unused[i]
		t.importEntry(&entry{
			ticket: m.Ticket, begun: m.Begun, fingerprint: m.Fingerprint, expires: now + m.Remaining,
		}, now)
	}
	for i := range h.Outcomes {
		r := &h.Outcomes[i]
		t.importEntry(&entry{
			ticket: r.Ticket, state: done, begun: true, fingerprint: r.Fingerprint,
			outcome: r.Outcome, sent: true, expires: now + r.Remaining,
		}, now)
	}
	return nil
}

// markImported marks a message as imported, and returns false if it already was.
func (t *handoverState) markImported(r imported) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, seen := t.imported[r]; seen {
		return false
	}
	if t.imported == nil {
		t.imported = make(map[imported]struct{})
	}
	t.imported[r] = struct{}{}
	return true
}

// importEntry stores an entry of another process. An outcome replaces a recorded one
// that is unknown; otherwise an existing entry stays.
func (t *Table) importEntry(e *entry, now time.Duration) {
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
		s.retainBody(e, t.options.MaxBodyBytes)
	}
}
