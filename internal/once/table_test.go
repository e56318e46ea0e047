package once

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

func TestParseTicket(t *testing.T) {
	ticket := Ticket{Home: Process{Host: "gw-1.example", Incarnation: 1 << 60}, Sequence: 7, Random: 35}
	parsed, err := ParseTicket(ticket.String())
	require.NoError(t, err)
	require.Equal(t, ticket, parsed)
	for _, text := range []string{
		"", "a.b.c", ".1.2.3", "h.1.2.", "h.01.2.3", "h.1.2.-3", "h.1.2.Z", "h.1.2.!", "h.1.2.zzzzzzzzzzzzzzz",
	} {
		_, err := ParseTicket(text)
		require.Error(t, err, text)
	}
}

func TestTicketSteps(t *testing.T) {
	content, other := Fingerprint{1}, Fingerprint{2}
	answer := Outcome{Status: 200, Body: []byte("ok")}
	type steps func(table *Table, ticket Ticket)
	begun := func(table *Table, ticket Ticket) { table.Begin(0, ticket, content) }
	sent := func(table *Table, ticket Ticket) {
		begun(table, ticket)
		table.MarkSent(ticket)
	}
	finished := func(report TargetReport) steps {
		return func(table *Table, ticket Ticket) {
			sent(table, ticket)
			table.Finish(0, ticket, report, answer)
		}
	}
	for _, tc := range []struct {
		name    string
		before  steps
		now     time.Duration
		content Fingerprint
		want    Verdict
		kind    kind.Kind
		run     kind.Run
	}{
		{"unused", func(*Table, Ticket) {}, 0, content, Run, 0, ""},
		{"unused too long", func(*Table, Ticket) {}, time.Hour, content, Refuse, kind.TicketUnknown, ""},
		{"running", begun, 0, content, Running, kind.AlreadyRunning, ""},
		{"running after a freeze", begun, time.Hour, content, Running, kind.AlreadyRunning, ""},
		{"other content", begun, 0, other, Refuse, kind.BadRequest, ""},
		{"answered", finished(ReportedRun), 0, content, Replay, 0, kind.RunYes},
		{"answered, other content", finished(ReportedRun), 0, other, Refuse, kind.BadRequest, ""},
		{"answered long ago", finished(ReportedRun), time.Hour, content, Refuse, kind.TicketUnknown, ""},
		{"no answer after sending", finished(NoReport), 0, content, Replay, 0, kind.RunUnknown},
		{"target says not run", finished(ReportedNotRun), 0, content, Replay, 0, kind.RunNo},
		{"late answer", func(table *Table, ticket Ticket) {
			finished(NoReport)(table, ticket)
			table.Finish(0, ticket, ReportedRun, answer)
		}, 0, content, Replay, 0, kind.RunYes},
		{"second answer", func(table *Table, ticket Ticket) {
			finished(ReportedRun)(table, ticket)
			table.Finish(0, ticket, ReportedNotRun, answer)
		}, 0, content, Replay, 0, kind.RunYes},
		{"ended before sending", func(table *Table, ticket Ticket) {
			begun(table, ticket)
			table.Finish(0, ticket, NoReport, answer)
		}, 0, content, Replay, 0, kind.RunNo},
		{"canceled before sending", func(table *Table, ticket Ticket) {
			begun(table, ticket)
			require.True(t, table.CancelBeforeSend(0, ticket))
			require.False(t, table.MarkSent(ticket))
		}, 0, content, Run, 0, ""},
		{"canceled, other content", func(table *Table, ticket Ticket) {
			begun(table, ticket)
			table.CancelBeforeSend(0, ticket)
		}, 0, other, Refuse, kind.BadRequest, ""},
		{"can't cancel after sending", func(table *Table, ticket Ticket) {
			sent(table, ticket)
			require.False(t, table.CancelBeforeSend(0, ticket))
		}, 0, content, Running, kind.AlreadyRunning, ""},
	} {
		table := NewTable(Process{Host: "a", Incarnation: 1}, DefaultOptions())
		ticket, err := table.Issue(0, 1)
		require.NoError(t, err)
		tc.before(table, ticket)
		got := table.Begin(tc.now, ticket, tc.content)
		require.Equal(t, tc.want, got.Verdict, tc.name)
		require.Equal(t, tc.kind, got.Kind, tc.name)
		require.Equal(t, tc.run, got.Outcome.Run, tc.name)
	}
}

func TestTableBounds(t *testing.T) {
	table := NewTable(Process{Host: "a"}, Options{
		UnusedLifetime: 1, OutcomeLifetime: 10, MaxTickets: tableShards, MaxBodyBytes: 4, MaxTotalBodyBytes: 6 * tableShards,
	})
	end := func(body string) Ticket {
		ticket, err := table.Issue(0, 0)
		require.NoError(t, err)
		table.Begin(0, ticket, Fingerprint{})
		table.MarkSent(ticket)
		answer := table.Finish(0, ticket, ReportedRun, Outcome{Body: []byte(body)})
		require.Equal(t, body, string(answer.Body))
		return ticket
	}
	small, large := end("abcd"), end("abcde")
	require.Equal(t, "abcd", string(table.Begin(0, small, Fingerprint{}).Outcome.Body))
	require.True(t, table.Begin(0, large, Fingerprint{}).Outcome.BodyDropped)
	var unused, running []Ticket
	for range tableShards {
		ticket, err := table.Issue(0, 0)
		require.NoError(t, err)
		unused = append(unused, ticket)
	}
	require.Equal(t, kind.TicketUnknown, table.Begin(0, small, Fingerprint{}).Kind)
	for range tableShards {
		ticket, err := table.Issue(0, 0)
		require.NoError(t, err, "the oldest unused ticket gives way")
		running = append(running, ticket)
		require.Equal(t, Run, table.Begin(0, ticket, Fingerprint{}).Verdict)
	}
	for _, ticket := range unused {
		require.Equal(t, kind.TicketUnknown, table.Begin(0, ticket, Fingerprint{}).Kind)
	}
	_, err := table.Issue(0, 0)
	require.Equal(t, kind.Overloaded, kind.Of(err))
	_, err = table.Issue(1, 0)
	require.Equal(t, kind.Overloaded, kind.Of(err), "running requests do not expire")
	for _, ticket := range running {
		require.True(t, table.CancelBeforeSend(0, ticket))
	}
	_, err = table.Issue(1, 0)
	require.NoError(t, err)
	table.Stop()
	_, err = table.Issue(1, 0)
	require.Equal(t, kind.Stopping, kind.Of(err))
}

func TestConcurrentResends(t *testing.T) {
	table := NewTable(Process{Host: "a"}, DefaultOptions())
	var runs atomic.Int32
	for range 100 {
		ticket, err := table.Issue(0, 0)
		require.NoError(t, err)
		var group errgroup.Group
		for range 4 {
			group.Go(func() error {
				if table.Begin(0, ticket, Fingerprint{}).Verdict == Run && table.MarkSent(ticket) {
					runs.Add(1)
					table.Finish(0, ticket, ReportedRun, Outcome{})
				}
				return nil
			})
		}
		require.NoError(t, group.Wait())
	}
	require.Equal(t, int32(100), runs.Load())
}

func TestHandoverMessage(t *testing.T) {
	from := NewTable(Process{Host: "a", Incarnation: 1}, DefaultOptions())
	to := NewTable(Process{Host: "b", Incarnation: 2}, DefaultOptions())
	ticket, err := from.Issue(0, 1)
	require.NoError(t, err)
	_, _, err = from.Export(0, to.self, 10)
	require.Error(t, err)
	ended, err := from.Issue(0, 2)
	require.NoError(t, err)
	from.Begin(0, ended, Fingerprint{1})
	from.MarkSent(ended)
	from.Finish(0, ended, ReportedRun, Outcome{Status: 201, Body: []byte("booked")})
	from.Stop()
	sent, any, err := from.Export(0, to.self, 10)
	require.NoError(t, err)
	require.True(t, any)
	require.Equal(t, Decision{Verdict: Forward, To: to.self}, from.Begin(0, ticket, Fingerprint{}))
	_, _, err = from.Export(0, Process{Host: "c"}, 10)
	require.Error(t, err)

	encoded, err := msgpack.Marshal(&sent)
	require.NoError(t, err)
	var received Handover
	require.NoError(t, msgpack.Unmarshal(encoded, &received))
	require.Equal(t, sent, received)
	restarted := NewTable(Process{Host: "b", Incarnation: 3}, DefaultOptions())
	require.Equal(t, kind.NotHolder, kind.Of(restarted.Import(0, received)))
	require.False(t, to.Local(0, ended))
	require.NoError(t, to.Import(0, received))
	require.True(t, to.Local(0, ended))
	replay := to.Begin(0, ended, Fingerprint{1})
	require.Equal(t, Outcome{Run: kind.RunYes, Status: 201, Body: []byte("booked")}, replay.Outcome)
	require.Equal(t, Run, to.Begin(0, ticket, Fingerprint{}).Verdict)
	to.Finish(0, ticket, ReportedRun, Outcome{})
	late := DefaultOptions().OutcomeLifetime
	require.Equal(t, kind.TicketUnknown, to.Begin(late, ticket, Fingerprint{}).Kind)
	require.NoError(t, to.Import(late, received))
	require.Equal(t, kind.TicketUnknown, to.Begin(late, ticket, Fingerprint{}).Kind)
}

func BenchmarkTicket(b *testing.B) {
	table := NewTable(Process{Host: "gateway-1", Incarnation: 1 << 60}, DefaultOptions())
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		ticket, _ := table.Issue(now, 1)
		table.Begin(now, ticket, Fingerprint{})
		table.MarkSent(ticket)
		table.Finish(now, ticket, ReportedRun, Outcome{Status: 200})
	}
}

func BenchmarkParseTicket(b *testing.B) {
	text := Ticket{Home: Process{Host: "gateway-1", Incarnation: 1 << 60}, Sequence: 1 << 20, Random: 1 << 62}.String()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = ParseTicket(text)
	}
}
