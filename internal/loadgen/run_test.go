package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// serve starts a test server that answers with what handle returns, and returns its
// address.
func serve(t *testing.T, handle func(id string) (status int, body any)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := handle(r.Header.Get("X-Request-Id"))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func result(id string, covered uint32) Answer {
	return Answer{RequestID: id, Snapshot: "1-first", Coverage: Coverage{Known: true, Covered: covered, Total: 100}}
}

func options(address string) Options {
	return Options{
		Addresses:   []string{address},
		Mix:         []Stream{{Customer: "adom", Service: "dispatch", Weight: 1, Shards: 4}},
		Rate:        10_000,
		Duration:    MaxDuration,
		MaxRequests: 40,
		Seed:        1,
	}
}

func TestRunCountsOutcomesAndCoverage(t *testing.T) {
	var served atomic.Int64
	address := serve(t, func(id string) (int, any) {
		switch served.Add(1) % 4 {
		case 0:
			return http.StatusServiceUnavailable, Answer{RequestID: id, Kind: "overloaded", Run: "no"}
		case 1:
			return http.StatusOK, result(id, 50)
		default:
			return http.StatusOK, result(id, 100)
		}
	})
	o := options(address)
	o.TargetRequests = func() int { return int(served.Load()) * 6 }
	got, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.Equal(t, 40, got.Requests)
	require.Equal(t, []Outcome{{OutcomeOK, "yes", 30}, {"overloaded", "no", 10}}, got.Outcomes)
	require.Equal(t, int64(30), got.Latency.Count)
	require.Equal(t, int64(40), got.All.Count)
	require.InDelta(t, 0.25, got.Failed(), 1e-9)
	require.InDelta(t, 50.0/60, got.Coverage.Mean, 1e-9)
	require.InDelta(t, 2.0/3, got.Coverage.Full, 1e-9)
	require.InDelta(t, 0.5, got.Coverage.Lowest, 1e-9)
	require.InDelta(t, 1.5, got.Targets.Ratio, 1e-9)
	require.Zero(t, got.Wrong)
}

func TestRunFindsWrongAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(id string) Answer
		want   string
	}{
		{"crossed", func(string) Answer { return result("other", 100) }, `answered with the ID "other"`},
		{"no snapshot", func(id string) Answer { return Answer{RequestID: id} }, "has no snapshot"},
		{"too much", func(id string) Answer { return result(id, 101) }, "covers 101 of 100"},
		{"own check", func(id string) Answer { return result(id, 99) }, "hit is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := options(serve(t, func(id string) (int, any) { return http.StatusOK, c.answer(id) }))
			o.Mix[0].Check = func(*Answer) error { return fmt.Errorf("hit is missing") }
			got, err := Run(context.Background(), o)
			require.NoError(t, err)
			require.Equal(t, 40, got.Wrong)
			require.Len(t, got.WrongExamples, maxWrongExamples)
			require.Contains(t, got.WrongExamples[0], c.want)
		})
	}
}

// TestStallIsNotHidden withholds every answer until all 40 requests have arrived.
// They are due 1 ms apart, so the k-th waits for at least 40-k ms.
func TestStallIsNotHidden(t *testing.T) {
	var waiting sync.WaitGroup
	waiting.Add(40)
	address := serve(t, func(id string) (int, any) {
		waiting.Done()
		waiting.Wait()
		return http.StatusOK, result(id, 100)
	})
	o := options(address)
	o.Arrivals = Constant
	o.Rate = 1000
	got, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.GreaterOrEqual(t, got.Latency.Max, 39.0)
	require.GreaterOrEqual(t, got.Latency.P50, 19.0)
}

func TestRequestsAboveTheBoundAreNotSent(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(id string) (int, any) {
		<-release
		return http.StatusOK, result(id, 100)
	})
	o := options(address)
	o.MaxInFlight = 3
	r, err := newRunner(o)
	require.NoError(t, err)
	r.sendAll(context.Background())
	close(release)
	r.wg.Wait()
	got := r.result(false)
	require.Equal(t, 40, got.Requests)
	require.Equal(t, 3, got.Sent)
	require.Equal(t, Outcome{OutcomeNotSent, "no", 37}, got.Outcomes[0])
}

func TestScheduleIsSeeded(t *testing.T) {
	for _, arrivals := range []Arrivals{Poisson, Constant} {
		o := options("a")
		o.Addresses = []string{"a", "b"}
		o.Arrivals = arrivals
		o.MaxRequests = 2000
		o.Mix = []Stream{{Weight: 3}, {Weight: 1}}
		first, second := newSchedule(&o), newSchedule(&o)
		var perStream [2]int
		var last arrival
		for range o.MaxRequests {
			a, more := first.next()
			require.True(t, more)
			b, _ := second.next()
			require.Equal(t, a, b)
			require.GreaterOrEqual(t, a.due, last.due)
			perStream[a.stream]++
			last = a
		}
		_, more := first.next()
		require.False(t, more)
		require.InDelta(t, 1500, perStream[0], 100)
		require.InDelta(t, 0.2, last.due.Seconds(), 0.02)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	for _, c := range []struct {
		change func(*Options)
		want   string
	}{
		{func(o *Options) { o.Addresses = nil }, "needs the address"},
		{func(o *Options) { o.Mix = nil }, "needs at least one kind"},
		{func(o *Options) { o.Rate = 0 }, "rate 0 is not positive"},
		{func(o *Options) { o.Duration = 0 }, "must be positive"},
		{func(o *Options) { o.Duration = 2 * MaxDuration }, "is longer than"},
		{func(o *Options) { o.Arrivals = "bursts" }, `arrivals "bursts"`},
		{func(o *Options) { o.Mix[0].Weight = 0 }, "weight 0 of adom/dispatch"},
		{func(o *Options) { o.MaxRequests = -1 }, "-1 requests"},
	} {
		o := options("127.0.0.1:1")
		c.change(&o)
		_, err := Run(context.Background(), o)
		require.ErrorContains(t, err, c.want)
	}
}
