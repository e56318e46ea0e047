package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

var poisonContent = FingerprintOf("adom", "dispatch", "search", []byte("body"))

func TestFingerprint(t *testing.T) {
	require.NotEqual(t, poisonContent, FingerprintOf("adom", "dispatch", "search", []byte("body2")))
	require.NotEqual(t, FingerprintOf("a", "bc", "", nil), FingerprintOf("ab", "c", "", nil))
	require.NotEqual(t, FingerprintOf("a", "b", "c", nil), FingerprintOf("a", "b", "", []byte("c")))
}

func TestAdmit(t *testing.T) {
	options := DefaultOptions()
	died := func(tr *Tracker) { tr.Died(0, "s", []Fingerprint{poisonContent}) }
	end := func(end TrialResult) func(*Tracker) {
		return func(tr *Tracker) {
			died(tr)
			_, permit, _ := tr.RequestPermit(0, Record{Fingerprint: poisonContent})
			tr.EndTrial(0, permit, end)
		}
	}
	released := func(tr *Tracker) {
		end(TrialDied)(tr)
		_, known := tr.Release(0, poisonContent)
		require.True(t, known)
	}
	otherDied := func(tr *Tracker) { tr.Died(0, "s", nil) }
	completed := func(tr *Tracker) {
		otherDied(tr)
		tr.Completed(poisonContent)
	}
	nothing := func(*Tracker) {}
	for _, tc := range []struct {
		name  string
		learn func(*Tracker)
		now   time.Duration
		blind bool
		want  Verdict
	}{
		{"new", nothing, 0, false, Pass},
		{"new to a blind entry", nothing, 0, true, Stage},
		{"another content's target died", otherDied, 0, false, Stage},
		{"another died a while ago", otherDied, options.CautionPeriod, false, Pass},
		{"completed before", completed, 0, true, Pass},
		{"suspect", died, 0, false, Trial},
		{"suspect forgotten", died, options.Period, false, Pass},
		{"trial unclear", end(TrialUnclear), 0, false, Trial},
		{"trial completed", end(TrialCompleted), 0, false, Pass},
		{"trial died", end(TrialDied), 0, false, Refuse},
		{"still quarantined", end(TrialDied), options.Period - 1, false, Refuse},
		{"quarantine ended", end(TrialDied), options.Period, false, Trial},
		{"quarantine forgotten", end(TrialDied), 2 * options.Period, false, Pass},
		{"released", released, 0, false, Pass},
	} {
		tr := NewTracker(options)
		tc.learn(tr)
		require.Equal(t, tc.want, tr.Admit(tc.now, poisonContent, tc.blind), tc.name)
	}
}

func TestMerge(t *testing.T) {
	suspect := Record{Fingerprint: poisonContent, State: Suspect, Remaining: 2 * DefaultOptions().Period}
	with := func(epoch uint32, state State, trials uint8) Record {
		r := suspect
		r.Epoch, r.State, r.Trials = epoch, state, trials
		return r
	}
	for _, tc := range []struct {
		name   string
		first  Record
		second Record
		state  State
		trials uint8
		news   bool
	}{
		{"same", suspect, suspect, Suspect, 0, false},
		{"cleared", suspect, with(0, Cleared, 1), Cleared, 1, true},
		{"late suspicion", with(0, Cleared, 1), suspect, Cleared, 1, false},
		{"death holds over completion", with(0, Quarantined, 1), with(0, Cleared, 2), Quarantined, 2, true},
		{"suspect again", with(0, Cleared, 1), with(1, Suspect, 0), Suspect, 0, true},
		{"older epoch", with(1, Suspect, 0), with(0, Quarantined, 2), Suspect, 0, false},
		{"invalid state", suspect, with(0, 9, 0), Suspect, 0, false},
	} {
		tr := NewTracker(DefaultOptions())
		require.True(t, tr.Merge(0, tc.first), tc.name)
		require.Equal(t, tc.news, tr.Merge(0, tc.second), tc.name)
		got := tr.Records(0, 10)
		require.Len(t, got, 1, tc.name)
		require.Equal(t, tc.state, got[0].State, tc.name)
		require.Equal(t, tc.trials, got[0].Trials, tc.name)
	}
}

// TestQuarantineEndsOnOtherHosts passes a refusal on and lets it end.
func TestQuarantineEndsOnOtherHosts(t *testing.T) {
	period := DefaultOptions().Period
	holder, other := NewTracker(DefaultOptions()), NewTracker(DefaultOptions())
	holder.Died(0, "s", []Fingerprint{poisonContent})
	refused, clear := holder.EndTrial(0, Permit{Fingerprint: poisonContent}, TrialDied)
	require.True(t, clear)
	require.True(t, other.Merge(period/2, refused))
	require.Equal(t, Refuse, other.Admit(period+period/2-1, poisonContent, false))
	require.Equal(t, Trial, other.Admit(period+period/2, poisonContent, false))
	grant, permit, _ := other.RequestPermit(period+period/2, Record{Fingerprint: poisonContent})
	require.Equal(t, GrantPermit, grant)
	require.Equal(t, uint32(1), permit.Epoch)
}

func TestPermits(t *testing.T) {
	options := DefaultOptions()
	decider, holder := NewTracker(options), NewTracker(options)
	known := Record{Fingerprint: poisonContent, State: Suspect, Shard: "s", Remaining: time.Hour}
	ask := func(now time.Duration) (Grant, Permit) {
		grant, permit, _ := decider.RequestPermit(now, known)
		return grant, permit
	}
	grant, first := ask(0)
	require.Equal(t, GrantPermit, grant)
	require.Equal(t, "s", first.Shard)
	grant, _ = ask(0)
	require.Equal(t, GrantWait, grant)
	decider.EndPermit(0, first, false)
	grant, again := ask(0)
	require.Equal(t, GrantPermit, grant)
	require.Equal(t, first, again)
	require.True(t, holder.UsePermit(0, first))
	require.False(t, holder.UsePermit(0, first))
	require.False(t, holder.MaySend(0, poisonContent))
	decider.EndPermit(0, first, true)
	grant, second := ask(0)
	require.Equal(t, GrantPermit, grant)
	require.True(t, holder.UsePermit(0, second))
	require.False(t, holder.UsePermit(0, first))
	grant, _ = ask(options.PermitPeriod)
	require.Equal(t, GrantRefused, grant)
	cleared, ended := holder.EndTrial(0, second, TrialCompleted)
	require.True(t, ended)
	require.True(t, decider.Merge(0, cleared))
	grant, _, told := decider.RequestPermit(0, known)
	require.Equal(t, GrantPass, grant)
	require.Equal(t, Cleared, told.State)
}

func TestRecordsAreBounded(t *testing.T) {
	options := DefaultOptions()
	options.MaxRecords = 4
	tr := NewTracker(options)
	tr.Merge(0, Record{Fingerprint: poisonContent, State: Quarantined, Remaining: 2 * options.Period})
	for i := range byte(20) {
		tr.Died(time.Duration(i), "s", []Fingerprint{{i}})
	}
	require.Len(t, tr.records, 4)
	require.Equal(t, Refuse, tr.Admit(20, poisonContent, false))
	require.Equal(t, Trial, tr.Admit(20, Fingerprint{19}, false))
}

func TestBatchMessage(t *testing.T) {
	batch := Batch{Number: 1}
	for i := range byte(maxBatch) {
		batch.Records = append(batch.Records, Record{Fingerprint: Fingerprint{i}, State: Suspect, Shard: "dispatch-12"})
	}
	encoded, err := msgpack.Marshal(&batch)
	require.NoError(t, err)
	require.Less(t, len(encoded), 4096)
	var decoded Batch
	require.NoError(t, msgpack.Unmarshal(encoded, &decoded))
	require.Equal(t, batch, decoded)
}

// TestFirstScatterStaging computes what staging a first scatter over 30 leaves
// costs a harmless query and saves of a poison one, whose targets crash after a
// time like that of an answer, or at once. Leaf calls take 3 ms and an
// exponential 3 ms; one in a hundred takes ten times as long.
func TestFirstScatterStaging(t *testing.T) {
	const leaves, queries, canary = 30, 20000, 1000.0
	random := rand.New(rand.NewPCG(1, 0))
	leafTime := func() float64 {
		ms := 3 + 3*random.ExpFloat64()
		if random.IntN(100) == 0 {
			ms *= 10
		}
		return ms
	}
	lossOf := func(wave float64, crash func() float64) float64 {
		lost := 0
		for range queries {
			lost++
			if first := crash(); wave < canary && first > wave {
				lost += leaves - 1
			}
		}
		return float64(lost) / queries
	}
	for _, wave := range []float64{0, 1, 2, 5, canary} {
		times := make([]float64, queries)
		for i := range times {
			first := leafTime()
			rest := 0.0
			for range leaves - 1 {
				rest = max(rest, leafTime())
			}
			times[i] = max(first, min(wave, first)+rest)
		}
		slices.Sort(times)
		late := lossOf(wave, func() float64 { return 6 * random.ExpFloat64() })
		early := lossOf(wave, func() float64 { return 0.5 * random.ExpFloat64() })
		t.Logf("second wave after %4.0f ms: p50 %.1f ms, p99 %.1f ms, lost %.1f leaves crashing late, %.1f crashing early",
			wave, times[queries/2], times[queries*99/100], late, early)
		if wave == canary {
			require.Equal(t, 1.0, late)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	tr := NewTracker(DefaultOptions())
	for i := range 4000 {
		tr.Died(0, "s", []Fingerprint{{byte(i), byte(i >> 8)}})
	}
	now := DefaultOptions().CautionPeriod
	b.ReportAllocs()
	for b.Loop() {
		tr.Admit(now, poisonContent, false)
		tr.MaySend(now, poisonContent)
	}
}

func BenchmarkCompleted(b *testing.B) {
	tr := NewTracker(DefaultOptions())
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		tr.Completed(Fingerprint{byte(i), byte(i >> 8), byte(i >> 16)})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{256, 4096} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			body := make([]byte, size)
			b.ReportAllocs()
			for b.Loop() {
				FingerprintOf("adom", "dispatch", "search", body)
			}
		})
	}
}

func BenchmarkDied(b *testing.B) {
	tr := NewTracker(DefaultOptions())
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		tr.Died(time.Duration(i), "s", []Fingerprint{{byte(i), byte(i >> 8), byte(i >> 16)}})
	}
}
