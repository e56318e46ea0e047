package once

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// handoverMode is what a stopping process hands over to its successor.
type handoverMode string

const (
	noHandover        handoverMode = "nothing"
	outcomesOnly      handoverMode = "outcomes"
	outcomesAndUnused handoverMode = "outcomes and unused tickets"
)

// event is one event of a rolling replacement.
type event struct {
	at  time.Duration
	run func()
}

// rollingReplacement replaces each of its hosts once while callers use tickets.
type rollingReplacement struct {
	mode           handoverMode
	random         *rand.Rand
	now            time.Duration
	events         []event
	tables         []*Table
	directory      *Directory
	firstVerdicts  [Forward + 1]int
	resendVerdicts [Forward + 1]int
}

const (
	rollingHosts    = 6
	rollingInterval = 10 * time.Second
	ticketInterval  = 10 * time.Millisecond
	executionTime   = 50 * time.Millisecond
)

func (r *rollingReplacement) at(when time.Duration, run func()) {
	r.events = append(r.events, event{when, run})
}

// schedule adds the events of the replacements and of the callers.
func (r *rollingReplacement) schedule(wait time.Duration) {
	for i := range rollingHosts {
		r.tables = append(r.tables, NewTable(Process{Host: strconv.Itoa(i), Incarnation: 1}, DefaultOptions()))
		stop := time.Duration(i+1) * rollingInterval
		r.at(stop, func() { r.tables[i].Stop() })
		r.at(stop+wait, func() { r.replace(i) })
	}
	for at := time.Duration(0); at < (rollingHosts+1)*rollingInterval; at += ticketInterval {
		r.scheduleCaller(at)
	}
	slices.SortStableFunc(r.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
}

// scheduleCaller adds the events of a caller that gets a ticket, uses it after a
// delay with a mean of 200 ms, and in one of ten cases resends the request 1 to 5 s
// after that.
func (r *rollingReplacement) scheduleCaller(at time.Duration) {
	var ticket Ticket
	use := at + time.Duration(r.random.ExpFloat64()*float64(200*time.Millisecond))
	r.at(at, func() { ticket = r.issue() })
	r.at(use, func() { r.send(ticket, &r.firstVerdicts) })
	r.at(use+executionTime, func() { r.finish(ticket) })
	if r.random.IntN(10) == 0 {
		again := use + time.Second + time.Duration(r.random.Int64N(int64(4*time.Second)))
		r.at(again, func() { r.send(ticket, &r.resendVerdicts) })
	}
}

func (r *rollingReplacement) issue() Ticket {
	for {
		ticket, err := r.tables[r.random.IntN(rollingHosts)].Issue(r.now, r.random.Uint64())
		if err == nil {
			return ticket
		}
	}
}

// holder returns the table of the running process that a ticket's request is sent
// to, or nil.
func (r *rollingReplacement) holder(ticket Ticket) *Table {
	home := r.directory.Resolve(ticket.Home)
	for _, table := range r.tables {
		if table.self == home {
			return table
		}
	}
	return nil
}

func (r *rollingReplacement) send(ticket Ticket, count *[Forward + 1]int) {
	verdict := Refuse
	if holder := r.holder(ticket); holder != nil {
		d := holder.Begin(r.now, ticket, Fingerprint{})
		verdict = d.Verdict
		holder.MarkSent(ticket)
	}
	count[verdict]++
}

func (r *rollingReplacement) finish(ticket Ticket) {
	for _, table := range r.tables {
		table.Finish(r.now, ticket, ReportedRun, Outcome{Run: kind.RunYes})
	}
}

func (r *rollingReplacement) replace(i int) {
	old := r.tables[i]
	successor := r.tables[(i+1)%rollingHosts]
	if r.mode != noHandover {
		h, _, _ := old.Export(r.now, successor.self, 1<<20)
		if r.mode == outcomesOnly {
			h.Unused = nil
		}
		_ = successor.Import(r.now, h)
		r.directory.RecordSuccessor(old.self, successor.self)
	}
	r.tables[i] = NewTable(Process{Host: old.self.Host, Incarnation: 2}, DefaultOptions())
}

// TestRollingReplacement counts the requests that are refused because their ticket
// is no longer known while all hosts are replaced one after the other. If unused
// tickets are handed over, no first request may be refused; if outcomes are handed
// over 1 s or more after the stop, no resend may be.
func TestRollingReplacement(t *testing.T) {
	for _, mode := range []handoverMode{noHandover, outcomesOnly, outcomesAndUnused} {
		for _, wait := range []time.Duration{0, time.Second, 5 * time.Second} {
			r := &rollingReplacement{mode: mode, random: rand.New(rand.NewPCG(1, 0)), directory: NewDirectory()}
			r.schedule(wait)
			for _, e := range r.events {
				r.now = e.at
				e.run()
			}
			t.Logf("hand over %s, exit after %v: refused %d of %d first requests, %d of %d resends",
				mode, wait, r.firstVerdicts[Refuse], r.firstVerdicts[Refuse]+r.firstVerdicts[Run], r.resendVerdicts[Refuse], r.resendVerdicts[Refuse]+r.resendVerdicts[Replay])
			if mode == outcomesAndUnused {
				require.Zero(t, r.firstVerdicts[Refuse])
			}
			if mode != noHandover && wait > 0 {
				require.Zero(t, r.resendVerdicts[Refuse])
			}
		}
	}
}
