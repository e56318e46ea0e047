package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lives sends a content at an interval that crashes each target which runs it, over losses of all hosts,
// and returns how many requests reach targets later than known after the third end. A request that may
// be repeated is sent to a second target once the first one has ended.
func lives(interval time.Duration, repeats bool, losses ...time.Duration) (late int) {
	const ms = time.Millisecond
	const known, crashAfter, restart = 4 * time.Second, 5 * time.Millisecond, 2 * time.Second
	f := Fingerprint{1}
	started := []time.Duration{-time.Hour, -time.Hour, -time.Hour}
	var ends []time.Duration
	c, begin := newCrashes(1), time.Duration(0)
	for now := 5 * time.Second; now < 3*time.Minute; now += interval {
		for len(losses) > 0 && losses[0] < now {
			c, begin, losses = newCrashes(1), losses[0], losses[1:]
		}
		// The hosts' clock starts with them.
		at := now - begin
		cautious := c.MayLackEnds(at, []string{"s"})
		verdict := c.Admit(at, f, cautious)
		if verdict == Refuse || verdict == Trial && !c.GrantTrial(at, f) {
			continue
		}
		if len(ends) >= 3 && now > ends[2]+known {
			late++
		}
		sent := at
		for attempt := range 2 {
			if attempt > 0 && (!repeats || verdict == Trial || !c.MayRepeat(sent, f, cautious)) {
				break
			}
			c.ObserveStarts(at, map[string][]time.Duration{"s": {now - started[0], now - started[1], now - started[2]}})
			ended := sent + crashAfter
			crash := end("s", target(), at, ended, ended)
			crash.Sent = sent
			c.RecordEnd(ended, f, crash)
			ends = append(ends, begin+ended)
			started[attempt] = begin + ended + restart
			sent = ended + ms
		}
	}
	return late
}

// TestAllowanceHoldsOverLosses guards against a content that crashes its targets and is granted its whole
// allowance again by hosts which have all been lost.
func TestAllowanceHoldsOverLosses(t *testing.T) {
	const s = time.Second
	for _, interval := range []time.Duration{s, 6 * s, 13 * s} {
		for _, losses := range [][]time.Duration{
			nil, {6 * s}, {12 * s}, {30 * s}, {100 * s}, {150 * s}, {7 * s, 20 * s}, {20 * s, 60 * s}, {60 * s, 100 * s}, {100 * s, 170 * s},
		} {
			require.LessOrEqual(t, lives(interval, true, losses...), 3, "each %v, losses at %v", interval, losses)
			if len(losses) < 2 {
				require.LessOrEqual(t, lives(interval, false, losses...), 3, "each %v without repeats, losses at %v", interval, losses)
			}
		}
	}
}

// TestInnocentIsTriedSoonAfterLoss guards against a harmless content that stays refused after a loss of all
// hosts, because it ran beside one that crashes targets.
func TestInnocentIsTriedSoonAfterLoss(t *testing.T) {
	const ms = time.Millisecond
	c, poison, innocent := newCrashes(1), Fingerprint{1}, Fingerprint{2}
	first, second := target(), target()
	for _, f := range []Fingerprint{poison, innocent} {
		c.RecordEnd(10*ms, f, end("s", first, 0, 10*ms, 10*ms))
		crash := end("s", second, 0, 30*ms, 30*ms)
		crash.Sent = 11 * ms
		c.RecordEnd(30*ms, f, crash)
	}
	require.Equal(t, Pass, c.Admit(40*ms, innocent, true), "another content may be the cause")
	later := target()
	for _, f := range []Fingerprint{poison, innocent} {
		c.RecordEnd(60*ms, f, end("s", later, 50*ms, 60*ms, 60*ms))
	}
	require.Equal(t, Refuse, c.Admit(70*ms, innocent, true))
	require.Equal(t, Trial, c.Admit(600*ms, innocent, true))
	require.True(t, c.GrantTrial(600*ms, innocent))
	c.RecordAnswer(610*ms, innocent, "s")
	require.Equal(t, Pass, c.Admit(620*ms, innocent, true))
	require.Equal(t, Refuse, c.Admit(80*time.Second, poison, true), "no other content is suspect any more")

	known := Fingerprint{3}
	c.RecordAnswer(time.Second, known, "s")
	c.RecordEnd(2*time.Second, known, end("s", target(), 2*time.Second-1, 2*time.Second, 2*time.Second))
	crash := end("s", target(), 2*time.Second-1, 3*time.Second, 3*time.Second)
	crash.Sent = 2 * time.Second
	c.RecordEnd(3*time.Second, known, crash)
	require.Equal(t, Pass, c.Admit(3*time.Second, known, true), "the service has answered it before")

	const at = time.Minute
	c.RecordEnd(at, Fingerprint{4}, end("t", target(), at-1, at, at))
	beside := Fingerprint{5}
	c.RecordEnd(at, beside, end("s", target(), at-1, at, at))
	crash = end("s", target(), at-1, at+ms, at+ms)
	crash.Sent = at
	c.RecordEnd(at+ms, beside, crash)
	require.Equal(t, Pass, c.Admit(at+ms, beside, true), "a target that did not run it has ended as well")
}

// TestMayLackEnds checks which starts of targets show that a loss of all hosts may have taken records.
func TestMayLackEnds(t *testing.T) {
	const s = time.Second
	now := 10 * s
	for name, x := range map[string]struct {
		ages []time.Duration
		want bool
	}{
		"all started together":         {[]time.Duration{100 * s, 100 * s, 99 * s}, false},
		"one has started again before": {[]time.Duration{100 * s, 50 * s}, true},
		"one has started again since":  {[]time.Duration{100 * s, 5 * s}, false},
		"long ago":                     {[]time.Duration{3 * time.Hour, 2 * time.Hour}, false},
		"none tells its start":         {nil, false},
	} {
		c := newCrashes(1)
		c.ObserveStarts(now, map[string][]time.Duration{"s": x.ages})
		require.Equal(t, x.want, c.MayLackEnds(now, []string{"s"}), name)
		require.False(t, c.MayLackEnds(now, []string{"t"}), name)
		c.ObserveStarts(now+s, map[string][]time.Duration{"s": {s, s}})
		require.Equal(t, x.want, c.MayLackEnds(now+s, []string{"s"}), "%s, and all started once more", name)
		require.False(t, c.MayLackEnds(now+time.Hour, []string{"s"}), name)
		c.ExtendReach(now, Reach{Since: 60 * s})
		require.False(t, c.MayLackEnds(now, []string{"s"}), "%s, but another host has records from before", name)
	}
}

// TestLossEndsWithOlderRecords guards against a host that takes its own start for a loss of all hosts.
func TestLossEndsWithOlderRecords(t *testing.T) {
	c := NewCrashes(CrashOptions{TTL: time.Hour, MaxRecords: 4, AfterLoss: true})
	require.True(t, c.MayLackEnds(time.Second, nil))
	c.ExtendReach(time.Second, Reach{Since: time.Millisecond})
	require.True(t, c.MayLackEnds(time.Second, nil), "the other host has started later")
	require.False(t, c.MayLackEnds(time.Hour, nil), "the records would have expired")
	c.ExtendReach(time.Second, Reach{Since: time.Minute})
	require.False(t, c.MayLackEnds(time.Second, nil), "the other host has kept its records")
	c.ExtendReach(time.Second, Reach{Since: 2 * time.Minute, AfterLoss: true})
	require.True(t, c.MayLackEnds(time.Second, nil))
}
