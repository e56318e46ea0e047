package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/target"
)

const waitLimit = 30 * time.Second

func newTestLeaf(t *testing.T, o LeafOptions, held ...*Snapshot) *Leaf {
	t.Helper()
	l, err := NewLeaf(o, held...)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

// run sends one request and returns the leaf's refusal reason and answer.
func run(t *testing.T, l *Leaf, id string, idempotent bool) (refusal, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, l.URL()+target.PathRun, strings.NewReader(`{"text":"entry"}`))
	require.NoError(t, err)
	request.Header.Set(target.HeaderRequestID, id)
	request.Header.Set(target.HeaderIdempotent, strconv.FormatBool(idempotent))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.Header.Get(target.HeaderRefusal), string(data)
}

func wait(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "timed out waiting until %s", what)
	}
}

func TestDurationGrowsAboveSlots(t *testing.T) {
	for _, c := range []struct {
		name           string
		slots, running int
		want           time.Duration
	}{
		{"no bound", 0, 9, 6 * time.Millisecond},
		{"at the bound", 2, 2, 6 * time.Millisecond},
		{"above", 2, 3, 9 * time.Millisecond},
		{"far above", 2, 8, 24 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeaf(t, LeafOptions{Slots: c.slots, ServiceTime: 6 * time.Millisecond})
			l.running = c.running
			require.Equal(t, c.want, l.duration())
		})
	}
}

func TestLogNormalDurationIsSeeded(t *testing.T) {
	o := LeafOptions{ServiceTime: time.Millisecond, ServiceSigma: 0.5, Seed: 7}
	first, second := newTestLeaf(t, o), newTestLeaf(t, o)
	last := time.Duration(0)
	for range 10 {
		d := first.duration()
		require.Equal(t, d, second.duration())
		require.NotEqual(t, last, d)
		last = d
	}
}

func TestColdLeafFallsOverAboveItsBound(t *testing.T) {
	o := LeafOptions{ColdSlots: 1, WarmAfter: 1, FallTime: time.Hour, ServiceTime: time.Hour}
	l := newTestLeaf(t, o, NewSnapshot("1-first", 10, 1))
	first := make(chan string, 1)
	go func() {
		refusal, _ := run(t, l, "a", true)
		first <- refusal
	}()
	wait(t, "the first request runs", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.cancels) == 1
	})
	refusal, _ := run(t, l, "b", true)
	require.Equal(t, refusalShed, refusal)
	require.Equal(t, refusalCanceled, <-first)
	refusal, _ = run(t, l, "c", true)
	require.Equal(t, refusalShed, refusal)
	counts := l.Counts()
	require.Equal(t, 1, counts.Falls)
	require.Equal(t, 2, counts.MaxCold)
	require.Equal(t, 0, counts.Ran)
}

func TestCrashForRestartsCold(t *testing.T) {
	l := newTestLeaf(t, LeafOptions{StartWarm: true, WarmAfter: 1}, NewSnapshot("1-first", 10, 1))
	l.CrashFor(time.Millisecond)
	wait(t, "the leaf is up", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.incarnation == 2 && !l.down
	})
	require.True(t, l.cold)
	refusal, body := run(t, l, "a", false)
	require.Empty(t, refusal)
	require.JSONEq(t, `{"leaf":"","number":1}`, body)
	require.False(t, l.cold)
	require.Equal(t, map[string]int{"a": 1}, l.Runs())
}

func TestRolloutHoldsTwoSnapshots(t *testing.T) {
	first := NewSnapshot("1-first", 100, 2)
	var leaves []*Leaf
	for shard := range 2 {
		leaves = append(leaves, newTestLeaf(t, LeafOptions{Shard: shard, StartWarm: true}, first))
	}
	second := NewPartitionedSnapshot("2-second", 100, UnequalBounds(2, 3))
	third := NewPartitionedSnapshot("3-third", 100, UnequalBounds(2, 4))
	for _, next := range []*Snapshot{second, third} {
		require.NoError(t, Rollout(context.Background(), leaves, next, time.Nanosecond))
	}
	seen := 0
	for _, l := range leaves {
		require.Equal(t, []*Snapshot{third, second}, l.held)
		_, body := run(t, l, "a", true)
		seen += strings.Count(body, `"id"`)
	}
	require.Equal(t, 100, seen)
}

func TestRecorderKeepsTheLatest(t *testing.T) {
	r := newRecorder(3)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		record := &Record{RequestID: id}
		r.add(record)
		r.finish(record, true)
	}
	var ids []string
	for _, record := range r.all() {
		ids = append(ids, record.RequestID)
	}
	require.Equal(t, []string{"c", "d", "e"}, ids)
	require.Len(t, r.runs, 5)
}

func TestSummarizeCountsBoundsAndSecondRuns(t *testing.T) {
	first := newTestLeaf(t, LeafOptions{Slots: 2, ColdSlots: 1, Connections: 4})
	first.counts = Counts{Requests: 5, Ran: 3, Refused: 2, MaxConcurrent: 3, MaxCold: 1, MaxConnections: 4}
	first.recorder.runs = map[string]int{"r.1.1:a-0": 1, "r.2.1:a-0": 1}
	second := newTestLeaf(t, LeafOptions{Slots: 2, ColdSlots: 1, Connections: 4})
	second.counts = Counts{Requests: 1, Ran: 1, MaxConcurrent: 2, MaxCold: 2, MaxConnections: 5}
	second.recorder.runs = map[string]int{"r.1.2:b-0": 1}
	require.Equal(t, Summary{
		Leaves: 2, Requests: 6, Ran: 4, Refused: 2,
		OverSlots: 1, OverColdSlots: 1, OverConnections: 1, MaxConnections: 5, AllSlots: 2,
		SubmitsRun: 2, SubmitsRunAgain: 1,
	}, Summarize([]*Leaf{first, second}))
}
