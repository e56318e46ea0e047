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

// handoverMode says what a stopping process passes to its successor.
type handoverMode string

const (
	nothing         handoverMode = "nothing"
	outcomesOnly    handoverMode = "outcomes"
	outcomesAndRest handoverMode = "outcomes and unused tickets"
)

// event is something that happens in a rolling replacement.
type event struct {
	at  time.Duration
	run func()
}

// rolling replaces each of its hosts once while callers use tickets.
type rolling struct {
	mode      handoverMode
	random    *rand.Rand
	now       time.Duration
	events    []event
	tables    []*Table
	directory *Directory
	first     [Forward + 1]int
	resent    [Forward + 1]int
}

const (
	rollingHosts    = 6
	rollingInterval = 10 * time.Second
	ticketInterval  = 10 * time.Millisecond
	executionTime   = 50 * time.Millisecond
)

func (r *rolling) at(when time.Duration, run func()) {
	r.events = append(r.events, event{when, run})
}

// schedule plans the replacements and the callers.
func (r *rolling) schedule(wait time.Duration) {
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

// scheduleCaller gets a ticket, uses it after a while, and in one of ten cases
// sends the request again up to 5 s later.
func (r *rolling) scheduleCaller(at time.Duration) {
	var ticket Ticket
	use := at + time.Duration(r.random.ExpFloat64()*float64(200*time.Millisecond))
	r.at(at, func() { ticket = r.issue() })
	r.at(use, func() { r.send(ticket, &r.first) })
	r.at(use+executionTime, func() { r.finish(ticket) })
	if r.random.IntN(10) == 0 {
		again := use + time.Second + time.Duration(r.random.Int64N(int64(4*time.Second)))
		r.at(again, func() { r.send(ticket, &r.resent) })
	}
}

func (r *rolling) issue() Ticket {
	for {
		ticket, err := r.tables[r.random.IntN(rollingHosts)].Issue(r.now, r.random.Uint64())
		if err == nil {
			return ticket
		}
	}
}

// holder returns the running process that a ticket's request is sent to.
func (r *rolling) holder(ticket Ticket) *Table {
	home := r.directory.Resolve(ticket.Home)
	for _, table := range r.tables {
		if table.self == home {
			return table
		}
	}
	return nil
}

func (r *rolling) send(ticket Ticket, count *[Forward + 1]int) {
	verdict := Refuse
	if holder := r.holder(ticket); holder != nil {
		d := holder.Begin(r.now, ticket, Fingerprint{})
		verdict = d.Verdict
		holder.MarkSent(ticket)
	}
	count[verdict]++
}

func (r *rolling) finish(ticket Ticket) {
	for _, table := range r.tables {
		table.Finish(r.now, ticket, SaidRun, Outcome{Run: kind.RunYes})
	}
}

func (r *rolling) replace(i int) {
	old := r.tables[i]
	successor := r.tables[(i+1)%rollingHosts]
	if r.mode != nothing {
		h, _, _ := old.Export(r.now, successor.self, 1<<20)
		if r.mode == outcomesOnly {
			h.Unused = nil
		}
		_ = successor.Import(r.now, h)
		r.directory.RecordSuccessor(old.self, successor.self)
	}
	r.tables[i] = NewTable(Process{Host: old.self.Host, Incarnation: 2}, DefaultOptions())
}

// TestRollingReplacement counts the requests that a rolling replacement of all
// hosts refuses because their ticket is not known any more.
func TestRollingReplacement(t *testing.T) {
	for _, mode := range []handoverMode{nothing, outcomesOnly, outcomesAndRest} {
		for _, wait := range []time.Duration{0, time.Second, 5 * time.Second} {
			r := &rolling{mode: mode, random: rand.New(rand.NewPCG(1, 0)), directory: NewDirectory()}
			r.schedule(wait)
			for _, e := range r.events {
				r.now = e.at
				e.run()
			}
			t.Logf("hand over %s, exit after %v: refused %d of %d first requests, %d of %d resends",
				mode, wait, r.first[Refuse], r.first[Refuse]+r.first[Run], r.resent[Refuse], r.resent[Refuse]+r.resent[Replay])
			if mode == outcomesAndRest {
				require.Zero(t, r.first[Refuse])
			}
			if mode != nothing && wait > 0 {
				require.Zero(t, r.resent[Refuse])
			}
		}
	}
}
