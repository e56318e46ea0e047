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
	// Refuse means that the request is refused with the kind of the decision.
	Refuse Verdict = iota
	// Run means that the request is run. MarkSent must be called immediately
	// before the first byte is sent, and Finish or CancelBeforeSend exactly once
	// at the end.
	Run
	// Replay means that the recorded outcome is the answer.
	Replay
	// Running means that an earlier request with the ticket has not ended.
	Running
	// Forward means that the request is forwarded to the process that took over
	// the ticket.
	Forward
)

// Decision is a verdict and its details.
type Decision struct {
	Verdict Verdict
	// Kind is the error kind of Refuse and Running.
	Kind kind.Kind
	// Outcome is the recorded outcome of Replay.
	Outcome Outcome
	// To is the process that Forward forwards the request to.
	To Process
}

// Options bounds a Table.
type Options struct {
	// UnusedLifetime is how long an unused ticket is valid.
	UnusedLifetime time.Duration
	// OutcomeLifetime is how long an outcome is kept for resends.
	OutcomeLifetime time.Duration
	// MaxTickets is the greatest number of tickets that are kept. Beyond it the
	// oldest outcomes are evicted first, then the oldest unused tickets.
	MaxTickets int
	// MaxBodyBytes is the greatest size of an answer that is kept.
	MaxBodyBytes int
	// MaxTotalBodyBytes is the greatest total size of the answers that are kept.
	MaxTotalBodyBytes int
}

// DefaultOptions returns the bounds for a small host.
func DefaultOptions() Options {
	return Options{
		UnusedLifetime:    30 * time.Second,
		OutcomeLifetime:   10 * time.Minute,
		MaxTickets:        1 << 16,
		MaxBodyBytes:      16 << 10,
		MaxTotalBodyBytes: 32 << 20,
	}
}

const (
	// ticketBytes is about the memory that a ticket takes without its answer.
	ticketBytes = 512
	// ticketRatio and bodyRatio are the fractions of the memory for data of a process that tickets and
	// the answers kept for them may take.
	ticketRatio = 0.05
	bodyRatio   = 0.05
)

// OptionsFor returns the bounds for a host with an amount of memory for data; zero means no limit.
func OptionsFor(memoryBytes int64) Options {
	o := DefaultOptions()
	if memoryBytes > 0 {
		o.MaxTickets = min(o.MaxTickets, int(ticketRatio*float64(memoryBytes)/ticketBytes))
		o.MaxTotalBodyBytes = min(o.MaxTotalBodyBytes, int(bodyRatio*float64(memoryBytes)))
	}
	return o
}

// tableShards is the number of shards of a Table, each of which has its own lock.
const tableShards = 16

// Table holds the tickets of one process. It is safe for concurrent use.
type Table struct {
	self          Process
	options       Options
	sequence      atomic.Uint64
	shards        [tableShards]tableShard
	handoverState handoverState
}

// NewTable returns the Table of the process self. Its incarnation must differ
// from those of all other starts of the program on the same host.
func NewTable(self Process, options Options) *Table {
	t := &Table{self: self, options: options}
	for i := range t.shards {
		t.shards[i].entries = make(map[Ticket]*entry)
		t.shards[i].maxEntries = max(options.MaxTickets/tableShards, 1)
		t.shards[i].maxTotalBodyBytes = options.MaxTotalBodyBytes / tableShards
	}
	return t
}

// Issue returns a new ticket. It fails with kind.Stopping after Stop and with
// kind.Overloaded when too many requests are running.
func (t *Table) Issue(now time.Duration, random uint64) (Ticket, error) {
	if t.handoverState.stopping.Load() {
		return Ticket{}, kind.Errorf(kind.Stopping, "host %q is stopping and issues no tickets", t.self.Host)
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

// Begin decides on a request with a ticket. A ticket that is not in the table was
// issued by another process, has expired or has been lost, so that the request may
// have run.
func (t *Table) Begin(now time.Duration, ticket Ticket, fingerprint Fingerprint) Decision {
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if e := s.lookup(now, ticket); e != nil {
		return e.begin(fingerprint)
	}
	if to, handedOver := t.handoverState.currentSuccessor(); handedOver {
		return Decision{Verdict: Forward, To: to}
	}
	return Decision{Verdict: Refuse, Kind: kind.TicketUnknown}
}

// MarkSent records that from now on the first byte of the running request may be
// sent. If it returns false, the request must not be sent.
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

// Finish records how the running request ended and returns the outcome to answer
// with. Run is set from whether the request may have been sent and from what the
// target reported. Finish also closes a ticket whose request has not run: the
// answer says so, and a delayed resend must not run the request later. A later
// Finish with a report of the target replaces an unknown outcome.
func (t *Table) Finish(now time.Duration, ticket Ticket, report TargetReport, outcome Outcome) Outcome {
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[ticket]
	if e == nil {
		outcome.Run = kind.RunUnknown
		return outcome
	}
	fullBody := outcome.Body
	previousBytes := len(e.outcome.Body)
	if !e.finish(report, outcome) {
		return e.outcome
	}
	s.bodyBytes -= previousBytes
	s.retainBody(e, t.options.MaxBodyBytes)
	e.expires = now + t.options.OutcomeLifetime
	s.scheduleExpiry(e)
	answer := e.outcome
	answer.Body = fullBody
	answer.BodyDropped = false
	return answer
}

// CancelBeforeSend ends the running request without an outcome, so that a
// resend may run it with the same ticket. It returns false and changes nothing
// if the request may have been sent. The answer to the caller must not say that
// the request has not run, since a delayed resend can still run it.
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
	s.scheduleExpiry(e)
	return true
}

// Local reports whether this process decides on requests with a ticket: the ticket
// was issued by this process, or has been handed over to it. Other requests are
// forwarded to the process that a Directory returns.
func (t *Table) Local(now time.Duration, ticket Ticket) bool {
	if ticket.Home == t.self {
		return true
	}
	s := t.shard(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(now, ticket) != nil
}

// shard returns the shard of a ticket.
func (t *Table) shard(ticket Ticket) *tableShard {
	return &t.shards[ticket.Sequence%tableShards]
}
