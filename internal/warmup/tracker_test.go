package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const tick = 10 * time.Millisecond

var testConfig = Config{Slots: 3, ColdSlots: 1, WarmAfter: 4}

// answers feeds n successes of the present epoch and returns the time after.
func answers(t *Tracker, now time.Duration, n int, latency time.Duration) time.Duration {
	for range n {
		now += tick
		t.Success(now, Answer{Sent: t.Epoch(now), Incarnation: "a", Latency: latency})
	}
	return now
}

func warmTracker(t *testing.T) (*Tracker, time.Duration) {
	tr := New(0, testConfig)
	now := answers(tr, 0, 12, tick)
	require.Equal(t, Warm, tr.State(now))
	return tr, now
}

func TestBoundRisesBySuccessesOnly(t *testing.T) {
	tr := New(0, testConfig)
	require.Equal(t, 1, tr.Bound(time.Hour), "time alone must not raise the bound")
	bounds := []int{}
	now := time.Hour
	for range 12 {
		now = answers(tr, now, 1, tick)
		bounds = append(bounds, tr.Bound(now))
	}
	require.Equal(t, []int{1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 3}, bounds)
	require.Equal(t, Warm, tr.State(now))
}

func TestOneFallReturnsToCold(t *testing.T) {
	fail := func(r Reason, n int) func(*Tracker, time.Duration) {
		return func(tr *Tracker, now time.Duration) {
			for range n {
				tr.Failed(now, Failure{Sent: tr.Epoch(now), Incarnation: "a", Reason: r})
			}
		}
	}
	cases := []struct {
		name  string
		event func(*Tracker, time.Duration)
		state State
		bound int
	}{
		{"none", func(*Tracker, time.Duration) {}, Warm, 3},
		{"reset", func(tr *Tracker, now time.Duration) { tr.Reset(now) }, Cold, 1},
		{"incarnation of a connection", func(tr *Tracker, now time.Duration) { tr.SetIncarnation(now, "b") }, Cold, 1},
		{"same incarnation", func(tr *Tracker, now time.Duration) { tr.SetIncarnation(now, "a") }, Warm, 3},
		{"incarnation of an answer", func(tr *Tracker, now time.Duration) {
			tr.Success(now, Answer{Sent: tr.Epoch(now), Incarnation: "b", Latency: tick})
		}, Cold, 1},
		{"own word in an answer", func(tr *Tracker, now time.Duration) {
			tr.Success(now, Answer{Sent: tr.Epoch(now), Incarnation: "a", Cold: true})
		}, Cold, 1},
		{"own word in a refusal", fail(RefusedCold, 1), Cold, 1},
		{"disconnected", fail(Disconnected, 1), Cold, 1},
		{"one shed", fail(Shed, 1), Warm, 3},
		{"two sheds", fail(Shed, 2), Cold, 1},
		{"two timeouts", fail(Timeout, 2), Warm, 3},
		{"three timeouts", fail(Timeout, 3), Cold, 1},
		{"one straggler", func(tr *Tracker, now time.Duration) { answers(tr, now, 1, 10*tick) }, Warm, 3},
		{"latency jump", func(tr *Tracker, now time.Duration) { answers(tr, now, 4, 10*tick) }, Cold, 1},
		{"said leaving", fail(RefusedLeaving, 1), Leaving, 0},
		{"listed leaving", func(tr *Tracker, now time.Duration) { tr.SetLeaving(now, HostList, true) }, Leaving, 0},
		{"returned", func(tr *Tracker, now time.Duration) {
			tr.SetLeaving(now, HostList, true)
			tr.SetLeaving(now, HostList, false)
		}, Cold, 1},
		{"hint of load", func(tr *Tracker, now time.Duration) { tr.Hint(now, Hint{Overloaded: true}) }, Warm, 1},
		{"hint of health", func(tr *Tracker, now time.Duration) { tr.Hint(now, Hint{}) }, Warm, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tr, now := warmTracker(t)
			tc.event(tr, now)
			require.Equal(t, tc.state, tr.State(now))
			require.Equal(t, tc.bound, tr.Bound(now))
		})
	}
}

func TestSilenceMakesCold(t *testing.T) {
	tr, now := warmTracker(t)
	epoch := tr.Epoch(now)
	require.Equal(t, 3, tr.Bound(now+DefaultSilentAfter-1))
	require.Equal(t, 1, tr.Bound(now+DefaultSilentAfter))
	require.Greater(t, tr.Epoch(now+DefaultSilentAfter), epoch)
}

func TestLateAnswersOfEarlierEpochsAreNotCounted(t *testing.T) {
	tr, now := warmTracker(t)
	old := tr.Epoch(now)
	tr.SetIncarnation(now, "b")
	for range 20 {
		tr.Success(now, Answer{Sent: old, Incarnation: "a", Latency: tick})
		tr.Failed(now, Failure{Sent: old, Incarnation: "a", Reason: RefusedLeaving})
	}
	require.Equal(t, Cold, tr.State(now))
	require.Equal(t, "b", tr.Incarnation())
}

func TestRepeatedFallsNeedMoreSuccesses(t *testing.T) {
	tr, now := warmTracker(t)
	shed := func() { tr.Failed(now, Failure{Sent: tr.Epoch(now), Incarnation: "a", Reason: RefusedCold}) }
	shed()
	now = answers(tr, now, 4, tick)
	require.Equal(t, Warming, tr.State(now))
	shed()
	now = answers(tr, now, 7, tick)
	require.Equal(t, 1, tr.Bound(now), "a second fall doubles the successes needed")
	now = answers(tr, now, 1, tick)
	require.Equal(t, 2, tr.Bound(now))
}

func TestHintsNeverRaise(t *testing.T) {
	tr := New(0, testConfig)
	tr.Hint(0, Hint{})
	require.Equal(t, 1, tr.Bound(0))
	tr.SetLeaving(0, Document, true)
	tr.Hint(0, Hint{})
	require.Zero(t, tr.Bound(0))
	tr.SetLeaving(0, LeafReport, true)
	require.Zero(t, tr.Bound(DefaultLeavingFor), "the document's word does not end by time")
}

func TestLeafWordOfLeavingEnds(t *testing.T) {
	tr, now := warmTracker(t)
	tr.SetLeaving(now, LeafReport, true)
	require.Zero(t, tr.Bound(now+DefaultLeavingFor-1))
	require.Equal(t, 1, tr.Bound(now+DefaultLeavingFor))
}

func TestHolderWithoutColdSlots(t *testing.T) {
	tr := New(0, Config{Slots: 1, WarmAfter: 2})
	require.Zero(t, tr.Bound(0))
	tr.PeerWarm(0, "a")
	require.Equal(t, 1, tr.Bound(0))
	tr.SetIncarnation(0, "b")
	tr.PeerWarm(0, "a")
	require.Zero(t, tr.Bound(0), "the word about an earlier incarnation is ignored")
	tr.PeerWarm(0, "b")
	tr.Failed(0, Failure{Sent: tr.Epoch(0), Incarnation: "b", Reason: RefusedCold})
	tr.PeerWarm(0, "b")
	require.Zero(t, tr.Bound(0), "the word is ignored directly after a fall")
}

func TestHintOfColdBoundsAHolderWithoutColdSlots(t *testing.T) {
	tr := New(0, Config{Slots: 1, WarmAfter: 2})
	tr.PeerWarm(0, "a")
	tr.Hint(0, Hint{Overloaded: true})
	require.Equal(t, 1, tr.Bound(0))
	tr.Hint(0, Hint{Cold: true})
	require.Zero(t, tr.Bound(DefaultHintFor-1))
	require.Equal(t, 1, tr.Bound(DefaultHintFor))
}

func BenchmarkCall(b *testing.B) {
	tr := New(0, testConfig)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		_ = tr.Bound(now)
		tr.Success(now, Answer{Sent: tr.Epoch(now), Incarnation: "a", Latency: tick})
	}
}
