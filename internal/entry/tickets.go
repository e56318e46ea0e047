package entry

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/once"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// Forwarder forwards requests to the processes that decide on their tickets.
type Forwarder interface {
	// Forward forwards a request. After any error the request may have run.
	Forward(ctx context.Context, to once.Process, m *wire.Forward) (*wire.ForwardResult, error)
}

// Tickets runs requests that are not idempotent at most once.
type Tickets struct {
	self      once.Process
	table     *once.Table
	forwarder Forwarder
	start     time.Time
	// mu guards directory.
	mu        sync.Mutex
	directory *once.Directory
}

// NewTickets returns the tickets of the process self, within the bounds of options.
func NewTickets(self once.Process, forwarder Forwarder, options once.Options) *Tickets {
	return &Tickets{
		self:      self,
		table:     once.NewTable(self, options),
		forwarder: forwarder,
		start:     time.Now(),
		directory: once.NewDirectory(),
	}
}

func (t *Tickets) now() time.Duration { return time.Since(t.start) }

// Issue returns the text of a new ticket.
func (t *Tickets) Issue() (string, error) {
	ticket, err := t.table.Issue(t.now(), rand.Uint64())
	if err != nil {
		return "", err
	}
	return ticket.String(), nil
}

// Stop permanently stops the issuing of tickets.
func (t *Tickets) Stop() { t.table.Stop() }

// Counts returns the numbers of unused tickets and of running requests.
func (t *Tickets) Counts() (unused, running int) { return t.table.Counts(t.now()) }

// Export removes unused tickets and copies outcomes, up to limit in all, for
// hand-over to the successor of this stopping process. It returns false if there
// is nothing to hand over.
func (t *Tickets) Export(to once.Process, limit int) (once.Handover, bool, error) {
	return t.table.Export(t.now(), to, limit)
}

// Import takes over the tickets of a stopping process.
func (t *Tickets) Import(h once.Handover) error {
	if err := t.table.Import(t.now(), h); err != nil {
		return err
	}
	t.RecordSuccessor(h.From, h.To)
	return nil
}

// RecordSuccessor records which process took over the tickets of another.
func (t *Tickets) RecordSuccessor(from, to once.Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.directory.RecordSuccessor(from, to)
}

func (t *Tickets) resolve(home once.Process) once.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.directory.Resolve(home)
}

// AtMostOnce is the filter that runs a request that is not idempotent only under
// its ticket, and only in the process that holds the ticket.
func AtMostOnce(t *Tickets) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			if r.Idempotent {
				return next(ctx, r)
			}
			if r.Ticket == "" {
				return nil, kind.Errorf(kind.TicketRequired, "header %s must contain a ticket", HeaderTicket)
			}
			ticket, err := once.ParseTicket(r.Ticket)
			if err != nil {
				return nil, kind.Errorf(kind.BadRequest, "header %s: %w", HeaderTicket, err)
			}
			if t.table.Local(t.now(), ticket) {
				return t.decide(ctx, r, ticket, next)
			}
			return t.forward(ctx, r, t.resolve(ticket.Home))
		}
	}
}

// ReportUndecidedAsUnknown is the filter that sets run to "unknown" in the error of a
// request with a ticket that failed before the ticket's process decided on it: an
// earlier request with the same ticket may have run.
func ReportUndecidedAsUnknown() Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request) (*Answer, error) {
			answer, err := next(ctx, r)
			if err != nil && r.Ticket != "" && !r.Idempotent && !r.Decided {
				err = kind.WithRun(err, kind.RunUnknown)
			}
			return answer, err
		}
	}
}

// Serve decides on a forwarded request in this process; next runs it.
func (t *Tickets) Serve(ctx context.Context, r *Request, next Handler) (*Answer, error) {
	ticket, err := once.ParseTicket(r.Ticket)
	if err != nil {
		return nil, kind.Errorf(kind.BadRequest, "ticket: %w", err)
	}
	return t.decide(ctx, r, ticket, next)
}

func (t *Tickets) decide(ctx context.Context, r *Request, ticket once.Ticket, next Handler) (*Answer, error) {
	decision := t.table.Begin(t.now(), ticket, requestFingerprint(r))
	r.Decided = true
	switch decision.Verdict {
	case once.Run:
		return t.run(ctx, r, ticket, next)
	case once.Replay:
		return replay(decision.Outcome)
	case once.Forward:
		return t.forward(ctx, r, decision.To)
	default:
		return nil, kind.Errorf(decision.Kind, "the request's ticket can't be used now")
	}
}

// run runs the request. It continues after the caller has canceled, so that a
// resend finds the outcome.
func (t *Tickets) run(ctx context.Context, r *Request, ticket once.Ticket, next Handler) (*Answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	r.MarkSent = func() bool { return t.table.MarkSent(ticket) }
	answer, err := next(ctx, r)
	outcome, report := outcomeAndReport(answer, err)
	recorded := t.table.Finish(t.now(), ticket, report, outcome)
	if err != nil {
		return nil, kind.WithRun(err, recorded.Run)
	}
	return answer, nil
}

func outcomeAndReport(answer *Answer, err error) (once.Outcome, once.TargetReport) {
	if err == nil {
		return once.Outcome{Run: kind.RunYes, Status: http.StatusOK, Body: answer.Body}, once.ReportedRun
	}
	outcome := once.Outcome{Failed: true, Kind: kind.Of(err), Run: kind.RunOf(err), Body: []byte(messageOf(err))}
	if outcome.Run == kind.RunNo {
		return outcome, once.ReportedNotRun
	}
	return outcome, once.NoReport
}

func replay(o once.Outcome) (*Answer, error) {
	switch {
	case o.Failed:
		return nil, kind.WithRun(kind.Errorf(o.Kind, "recorded earlier: %s", o.Body), o.Run)
	case o.BodyDropped:
		return nil, kind.WithRun(kind.Errorf(kind.OutcomeUnknown, "the request has run, but its answer was too large to store"), kind.RunYes)
	default:
		return &Answer{Body: o.Body, Replayed: true}, nil
	}
}

// forward forwards the request to the process that holds its ticket. After any
// failure on the way, an earlier request with the ticket may have run.
func (t *Tickets) forward(ctx context.Context, r *Request, to once.Process) (*Answer, error) {
	result, err := t.forwarder.Forward(ctx, to, &wire.Forward{
		RequestID:    r.ID,
		Ticket:       r.Ticket,
		Customer:     r.Customer,
		Service:      r.Service,
		Class:        r.Class,
		Key:          r.Key,
		BudgetMicros: time.Until(r.Deadline).Microseconds(),
		Body:         r.Body,
	})
	if err != nil {
		return nil, kind.WithRun(kind.Errorf(kind.TicketUnknown, "forward to the process that holds the ticket: %w", err), kind.RunUnknown)
	}
	r.Decided = true
	if result.Kind == "" {
		return &Answer{Leaf: result.Leaf, Body: result.Body, Replayed: result.Replayed}, nil
	}
	k, known := kind.Parse(result.Kind)
	if !known {
		k = kind.OutcomeUnknown
	}
	return nil, kind.WithRun(kind.Errorf(k, "%s", result.Message), reportedRun(result.Run))
}

// NewForwardResult returns the message for an answer or an error.
func NewForwardResult(answer *Answer, err error) *wire.ForwardResult {
	if err != nil {
		return &wire.ForwardResult{
			Kind:    kind.Of(err).String(),
			Run:     string(kind.RunOf(err)),
			Message: messageOf(err),
		}
	}
	return &wire.ForwardResult{Run: string(kind.RunYes), Leaf: answer.Leaf, Body: answer.Body, Replayed: answer.Replayed}
}

// requestFingerprint returns the fingerprint of a request's content.
func requestFingerprint(r *Request) once.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Customer, r.Service, r.Key} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	var f once.Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
