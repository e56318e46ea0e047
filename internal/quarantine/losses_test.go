package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLosses(t *testing.T) {
	const period = time.Minute
	f, other := Fingerprint{1}, Fingerprint{2}
	newLosses := func() *Losses { return NewLosses(LossOptions{Period: period, MaxRecords: 2}) }

	l := newLosses()
	require.True(t, l.Empty(0))
	_, tell := l.Lost(time.Second, 0, f)
	require.False(t, tell, "one loss may have any cause")
	_, tell = l.Lost(time.Second+time.Millisecond, time.Millisecond, f)
	require.False(t, tell, "both were under way at the first loss")
	second, tell := l.Lost(3*time.Second, 2*time.Second, f)
	require.True(t, tell)
	require.True(t, l.MayRepeat(3*time.Second, f))
	third, tell := l.Lost(4*time.Second, 3*time.Second, f)
	require.True(t, tell)
	require.False(t, l.MayRepeat(4*time.Second, f))
	require.True(t, l.MayRepeat(4*time.Second, other))
	_, tell = l.Lost(5*time.Second, 5*time.Second, f)
	require.False(t, tell, "the others know")
	_, tell = l.Lost(4*time.Second+period/2, 5*time.Second, f)
	require.True(t, tell, "the others are about to forget")
	require.False(t, l.MayRepeat(4*time.Second+period/2+period-1, f))
	require.True(t, l.MayRepeat(4*time.Second+period/2+period, f))
	require.True(t, l.Admit(4*time.Second+period/2+period, f, false))
	require.False(t, l.Empty(4*time.Second+period/2+period-1))
	require.True(t, l.Empty(4*time.Second+period/2+period))

	peer := newLosses()
	require.True(t, peer.Merge(0, second))
	require.False(t, peer.Merge(0, second), "no news")
	require.True(t, peer.MayRepeat(0, f))
	_, tell = peer.Lost(1, 0, f)
	require.True(t, tell)
	require.False(t, peer.MayRepeat(1, f), "its own loss is the third")
	answered, tell := peer.Completed(1, f)
	require.True(t, tell, "the others refuse it")
	require.True(t, peer.MayRepeat(1, f))
	require.True(t, l.Merge(4*time.Second+period/2, answered))
	require.True(t, l.Admit(4*time.Second+period/2, f, false))
	require.False(t, l.Merge(4*time.Second+period/2, answered), "no news")
	require.False(t, peer.Merge(1, Loss{Fingerprint: f, Count: 2}), "over")
	require.True(t, peer.Merge(1, third))
	require.False(t, peer.MayRepeat(1, f))

	full := newLosses()
	for i := range 5 {
		at := time.Duration(i) * time.Second
		full.Lost(at, at, Fingerprint{byte(i)})
		full.Lost(at+1, at+1, Fingerprint{byte(i)})
		full.Lost(at+2, at+2, Fingerprint{byte(i)})
	}
	require.Len(t, full.records, 2)
	require.False(t, full.MayRepeat(5*time.Second, Fingerprint{4}))
}

// TestLossesTrials counts the requests that are let through while a content loses each
// target that runs it.
func TestLossesTrials(t *testing.T) {
	const period = 5 * time.Minute
	for _, decides := range []bool{true, false} {
		l := NewLosses(LossOptions{Period: period, MaxRecords: 2})
		f := Fingerprint{1}
		var sent []time.Duration
		for now := time.Second; now < 200*time.Second; now += time.Second {
			if l.Admit(now, f, decides) {
				sent = append(sent, now)
				l.Lost(now+time.Millisecond, now, f)
			}
		}
		first := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}
		if !decides {
			require.Equal(t, first, sent)
			continue
		}
		require.Equal(t, append(first, 24*time.Second, 64*time.Second, 144*time.Second), sent)
	}
}
