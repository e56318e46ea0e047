package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newCrashes(source uint64) *Crashes {
	return NewCrashes(CrashOptions{TTL: time.Hour, MaxRecords: 4, IDBase: source << 32})
}

func TestCrashes(t *testing.T) {
	const second = time.Second
	f, other := Fingerprint{1}, Fingerprint{2}
	c := newCrashes(1)
	require.True(t, c.Empty(0))
	require.True(t, c.MayRepeat(0, f))
	require.Equal(t, 1, c.RecordEnd(2*second, f, "s", second, 2*second))
	require.Equal(t, 1, c.RecordEnd(2*second, f, "s", second, 2*second), "the requests were concurrent")
	require.True(t, c.MayRepeat(2*second, f))
	require.Equal(t, Pass, c.Admit(2*second, f))
	require.Equal(t, 1, c.RecordEnd(3*second, f, "t", 2*second, 3*second), "ends in another service may have another cause")
	require.Equal(t, 2, c.RecordEnd(3*second, f, "s", 2*second, 3*second))
	require.False(t, c.MayRepeat(3*second, f))
	require.True(t, c.MayRepeat(3*second, other))
	require.Equal(t, Refuse, c.Admit(3*second, f))
	require.Equal(t, Pass, c.Admit(3*second, other))
	require.False(t, c.Empty(3*second))

	require.Equal(t, 2, c.RecordAnswer(4*second, f, "t"), "an answer of another service clears nothing")
	require.Equal(t, 2, c.Count(4*second, f))
	require.Equal(t, 2, c.RecordAnswer(4*second, f, "s"))
	require.Zero(t, c.Count(4*second, f))
	require.Zero(t, c.RecordEnd(5*second, f, "s", second, 3*second), "the call ended before the answer")
	require.Equal(t, 1, c.RecordEnd(6*second, f, "s", 5*second, 6*second))
	require.True(t, c.Empty(6*second+time.Hour))
	require.Zero(t, c.Count(6*second+time.Hour, f))

	full := newCrashes(2)
	for i := range 9 {
		at := time.Duration(i) * second
		for range min(i, 2) {
			full.RecordEnd(at, Fingerprint{byte(i)}, "s", at, at)
			at++
		}
	}
	require.LessOrEqual(t, len(full.records), 4)
	require.Equal(t, 2, full.Count(9*second, Fingerprint{8}), "the newest is kept")
}

// TestCrashesTrials checks when requests are admitted, while a content that is requested
// every 100 ms crashes each target that runs it.
func TestCrashesTrials(t *testing.T) {
	c, f := newCrashes(1), Fingerprint{1}
	var sentAt []time.Duration
	for now := time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
		if c.GrantTrial(now, f) {
			require.Equal(t, len(sentAt) < 2, c.Admit(now, f) == Pass)
			sentAt = append(sentAt, now.Truncate(time.Second))
			c.RecordEnd(now+time.Millisecond, f, "s", now, now+time.Millisecond)
			require.NotEqual(t, Trial, c.Admit(now+time.Millisecond, f))
		}
	}
	require.Equal(t, []time.Duration{
		time.Second, time.Second, time.Second, 9 * time.Second, 99 * time.Second,
	}, sentAt)
}

// TestAnsweredTrialClearsContent checks that a content is admitted again after a trial that
// a target has answered.
func TestAnsweredTrialClearsContent(t *testing.T) {
	c, f := newCrashes(1), Fingerprint{1}
	c.RecordEnd(1, f, "s", 0, 1)
	c.RecordEnd(2, f, "s", 1, 2)
	require.Equal(t, Trial, c.Admit(2*time.Second, f))
	require.True(t, c.GrantTrial(2*time.Second, f))
	require.Equal(t, Refuse, c.Admit(2*time.Second, f), "one trial at a time")
	require.False(t, c.GrantTrial(2*time.Second, f))
	c.RecordAnswer(3*time.Second, f, "s")
	require.Equal(t, Pass, c.Admit(3*time.Second, f))
}

// TestTrialsOfDifferentContentsAreSpaced guards against a harmless content that ran beside one
// that crashes targets, and that runs beside it again in its own trial.
func TestTrialsOfDifferentContentsAreSpaced(t *testing.T) {
	c := newCrashes(1)
	contents := []Fingerprint{{1}, {2}}
	for i := range 2 {
		at := time.Duration(i + 1)
		for _, f := range contents {
			c.RecordEnd(at, f, "s", at, at)
		}
	}
	now := time.Second
	require.True(t, c.GrantTrial(now, contents[0]))
	require.False(t, c.GrantTrial(now+trialSpacing-1, contents[1]))
	require.True(t, c.GrantTrial(now+trialSpacing, contents[1]))
}

// TestUnusedTrialIsReturned guards against a harmless content that stays refused because its
// trials were granted while no target could run them.
func TestUnusedTrialIsReturned(t *testing.T) {
	c, requester, f := newCrashes(1), newCrashes(2), Fingerprint{1}
	c.RecordEnd(1, f, "s", 0, 1)
	c.RecordEnd(2, f, "s", 1, 2)
	now := time.Second
	for range 5 {
		require.True(t, c.GrantTrial(now, f))
		for _, e := range c.Updates(now) {
			requester.Merge(now, &e)
		}
		require.Equal(t, Refuse, requester.Admit(now, f))
		now += 10 * time.Millisecond
		requester.ReturnTrial(now, f)
		for _, e := range requester.Updates(now) {
			c.Merge(now, &e)
		}
		require.Equal(t, Refuse, c.Admit(now, f))
		now += trialBackoff[0]
		require.Equal(t, Trial, c.Admit(now, f))
	}
}

// TestHostsAgreeOnCrashes checks that hosts that have seen different ends agree on their
// number after they have merged each other's records in any order and more than once.
func TestHostsAgreeOnCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fingerprint{1}
		hosts := []*Crashes{newCrashes(1), newCrashes(2), newCrashes(3)}
		now := time.Second
		var messages []CrashRecord
		var sentAt []time.Duration
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			service := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "service"))
			if rapid.Bool().Draw(t, "ends") {
				h.RecordEnd(now, f, service, now-time.Duration(rapid.IntRange(0, 300).Draw(t, "took"))*time.Millisecond, now)
			} else {
				// A host without a record of the end has nothing to clear.
				for _, other := range hosts {
					other.RecordAnswer(now, f, service)
				}
			}
			for _, h := range hosts {
				for _, e := range h.Updates(now) {
					messages, sentAt = append(messages, e), append(sentAt, now)
				}
			}
		}
		seed := rapid.Uint64().Draw(t, "order")
		end := now + time.Second
		for _, h := range hosts {
			order := rand.New(rand.NewPCG(seed, 0)).Perm(len(messages))
			for _, i := range append(order, order...) {
				e := messages[i].aged(end - sentAt[i])
				h.Merge(end, &e)
			}
			seed++
		}
		for _, h := range hosts[1:] {
			require.Equal(t, hosts[0].Count(end, f), h.Count(end, f))
		}
		for _, h := range hosts {
			require.LessOrEqual(t, len(h.Updates(end)), 1)
			starting := newCrashes(9)
			for _, e := range h.Records(end) {
				starting.Merge(end, &e)
			}
			require.Equal(t, h.Count(end, f), starting.Count(end, f), "a starting host receives all records")
		}
	})
}

// aged returns the record as it would be sent some time later.
func (e CrashRecord) aged(by time.Duration) CrashRecord {
	aged := e
	aged.TrialAge += by
	aged.Ends, aged.Clearances = nil, nil
	for _, end := range e.Ends {
		end.Received, end.Ended = end.Received+by, end.Ended+by
		aged.Ends = append(aged.Ends, end)
	}
	for _, a := range e.Clearances {
		a.Age += by
		aged.Clearances = append(aged.Clearances, a)
	}
	return aged
}

// TestMergeIgnoresInvalidEnds merges ends with times that no host can have sent.
func TestMergeIgnoresInvalidEnds(t *testing.T) {
	f := Fingerprint{1}
	for _, end := range []ProcessEnd{
		{ID: 1, Service: "s", Received: 1, Ended: 2}, {ID: 1, Service: "s", Received: 1, Ended: -1},
		{ID: 1, Service: "s", Received: 1 << 62, Ended: 1},
	} {
		c := newCrashes(1)
		_, after := c.Merge(time.Second, &CrashRecord{Fingerprint: f, Ends: []ProcessEnd{end}})
		require.Zero(t, after, "%+v", end)
	}
}

// TestStartingHostKeepsTrialBackoff guards against a host that learns of trials before its own
// start and grants new ones at once.
func TestStartingHostKeepsTrialBackoff(t *testing.T) {
	c, f := newCrashes(1), Fingerprint{1}
	now := time.Hour
	for range 2 {
		now += time.Second
		c.RecordEnd(now, f, "s", now, now)
	}
	now += time.Second
	require.True(t, c.GrantTrial(now, f))
	c.RecordEnd(now, f, "s", now, now)
	starting := newCrashes(2)
	for _, e := range c.Records(now) {
		starting.Merge(time.Millisecond, &e)
	}
	require.False(t, starting.GrantTrial(trialBackoff[1]-time.Second, f))
	require.True(t, starting.GrantTrial(trialBackoff[1]+time.Second, f))
}

func TestUnanswered(t *testing.T) {
	var u Unanswered
	f, g := Fingerprint{1}, Fingerprint{2}
	answered := u.Add(0, 0, f)
	left := u.Add(1, 0, g)
	u.Remove(answered)
	left.CallEnded = 2
	require.False(t, u.Empty(3))
	require.True(t, u.Empty(3+suspectPeriod), "it was sent too long ago")
	running := u.Add(3, 0, g)
	u.Clear(g)
	require.True(t, u.Empty(3), "another target has answered it")
	running.CallEnded = 4
	require.True(t, u.Empty(4))
	for i := range 2 * maxUnanswered {
		u.Add(time.Duration(i), 0, f)
	}
	require.Len(t, u.TakeSuspects(1000), maxUnanswered)
	require.Empty(t, u.TakeSuspects(1000))
}
