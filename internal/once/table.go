package once

import (
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Verdict is what to do with a request that carries a ticket.
type Verdict uint8

// The verdicts of Begin.
const (
	// Refuse the request with the kind of the decision.
	Refuse Verdict = iota
	// Run the request. MarkSent must be called directly before the first byte
	// is sent, and Finish or CancelBeforeSend exactly once at the end.
	Run
	// Replay the recorded outcome.
	Replay
	// Running means that an earlier request with the ticket has not ended.
	Running
	// Forward the request to the process that took over the ticket.
	Forward
)

// Decision is a verdict and what it needs.
type Decision struct {
	Verdict Verdict
	// Kind is the error kind of Refuse and Running.
	Kind kind.Kind
	// Outcome is the recorded outcome of Replay.
	Outcome Outcome
	// To is the process of Forward.
	To Process
}

// Options bounds a Table.
type Options struct {
	// UnusedLifetime is how long an unused ticket is good for.
	UnusedLifetime time.Duration
	// OutcomeLifetime is how long an outcome is kept for resends.
	OutcomeLifetime time.Duration
	// MaxTickets is the greatest number of tickets that are kept. Beyond it the
	// oldest outcomes are forgotten first.
	MaxTickets int
	// MaxBody is the greatest size in bytes of an answer that is kept.
	MaxBody int
	// MaxBodies is the greatest size in bytes of all answers that are kept.
	MaxBodies int
}

// DefaultOptions returns the bounds for a small host.
func DefaultOptions() Options {
	return Options{
		UnusedLifetime:  30 * time.Second,
		OutcomeLifetime: 10 * time.Minute,
		MaxTickets:      1 << 16,
		MaxBody:         16 << 10,
		MaxBodies:       32 << 20,
	}
}

// tableShards is the number of locks of a Table.
const tableShards = 16

// Table holds the tickets of one process. It is safe for concurrent use.
type Table struct {
	self     Process
	options  Options
	sequence atomic.Uint64
	shards   [tableShards]tableShard
	transfer transfer
}

// NewTable returns the Table of the process self. The incarnation must differ
// from that of every other start on the same host.
func NewTable(self Process, options Options) *Table {
	t := &Table{self: self, options: options}
	for i := range t.shards {
		t.shards[i].entries = make(map[Ticket]*entry)
		t.shards[i].limit = max(options.MaxTickets/tableShards, 1)
		t.shards[i].bodyLimit = options.MaxBodies / tableShards
	}
	return t
}

// Issue returns a new ticket. It fails with kind.Stopping after Stop and with
// kind.Overloaded when too many tickets are unused or running.
func (t *Table) Issue(now time.Duration, random uint64) (Ticket, error) {
	if t.transfer.stopping.Load() {
		return Ticket{}, kind.Errorf(kind.Stopping, "host %q issues no more tickets", t.self.Host)
	}
	ticket := Ticket{Home: t.self, Sequence: t.sequence.Add(1), Random: random}
	e := &entry{ticket: ticket, expires: now + t.options.UnusedLifetime}
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if !s.add(e) {
		return Ticket{}, kind.Errorf(kind.Overloaded, "host %q has too many tickets in use", t.self.Host)
	}
	return ticket, nil
}

// Begin decides on a request with a ticket. A ticket that is not known here
// was issued by another process, has expired or has been lost, so that the
// request may have run.
func (t *Table) Begin(now time.Duration, ticket Ticket, fingerprint Fingerprint) Decision {
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if e := s.live(now, ticket); e != nil {
		return e.begin(fingerprint)
	}
	if to, moved := t.transfer.successorOf(); moved {
		return Decision{Verdict: Forward, To: to}
	}
	return Decision{Verdict: Refuse, Kind: kind.TicketUnknown}
}

// MarkSent records that the first byte of the running request may be sent from
// now on. The request must not be sent if it returns false.
func (t *Table) MarkSent(ticket Ticket) bool {
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[ticket]
	if e == nil || e.state != running {
		return false
	}
	e.sent = true
	return true
}

// Finish records how the running request ended and returns the outcome to
// answer, with Run set by what was sent and what the target said. A ticket
// whose request has not run is closed by it: since the caller is told so, a
// delayed resend must not run it later. A later Finish with the word of the
// target replaces an unknown outcome.
func (t *Table) Finish(now time.Duration, ticket Ticket, word Word, outcome Outcome) Outcome {
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[ticket]
	if e == nil {
		outcome.Run = kind.RunUnknown
		return outcome
	}
	whole := outcome.Body
	kept := len(e.outcome.Body)
	if !e.finish(word, outcome) {
		return e.outcome
	}
	s.bodies -= kept
	s.keep(e, t.options.MaxBody)
	e.expires = now + t.options.OutcomeLifetime
	s.schedule(e)
	answer := e.outcome
	answer.Body = whole
	answer.BodyDropped = false
	return answer
}

// CancelBeforeSend ends the running request without an outcome, so that a
// resend may run it with the same ticket. It returns false and changes nothing
// if the request may have been sent. The caller must not be told "not run",
// since a delayed resend can still run it.
func (t *Table) CancelBeforeSend(now time.Duration, ticket Ticket) bool {
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[ticket]
	if e == nil || e.state != running || e.sent {
		return false
	}
	e.state = unused
	e.expires = now + t.options.UnusedLifetime
	s.schedule(e)
	return true
}

// Local reports whether requests with a ticket are decided on here: the ticket
// was issued by this process, or has been handed over to it. Others are
// forwarded to the process that a Directory names.
func (t *Table) Local(now time.Duration, ticket Ticket) bool {
	if ticket.Home == t.self {
		return true
	}
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live(now, ticket) != nil
}

// shard returns the shard of a ticket.
func (t *Table) shard(ticket Ticket) *tableShard {
	return &t.shards[ticket.Sequence%tableShards]
}
