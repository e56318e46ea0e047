package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newCrashes(source uint64) *Crashes {
	return NewCrashes(CrashOptions{TTL: time.Hour, MaxRecords: 4, IDBase: source << 32})
}

var targets atomic.Int64

// target returns the name of a target that no other end has.
func target() string { return fmt.Sprint("target-", targets.Add(1)) }

// end returns the end of a target that ended by a time.
func end(service, target string, received, callEnd, endedBy time.Duration) ProcessEnd {
	return ProcessEnd{Service: service, Target: target, Received: received, Ended: callEnd, EndedBy: endedBy}
}

// send sends a record to a host, and its correction, if any, back.
func send(now time.Duration, from, to *Crashes, e *CrashRecord) {
	if _, _, correction := to.Merge(now, e); correction != nil {
		from.MergeCorrection(now, correction)
	}
}

// exchange has all hosts send their updates to each other until there are none.
func exchange(now time.Duration, hosts []*Crashes) {
	for settled := false; !settled; {
		settled = true
		for _, from := range hosts {
			for _, e := range from.Updates(now) {
				settled = false
				for _, to := range hosts {
					send(now, from, to, &e)
				}
			}
		}
	}
}

func TestCrashes(t *testing.T) {
	const second = time.Second
	f, other := Fingerprint{1}, Fingerprint{2}
	c := newCrashes(1)
	require.True(t, c.Empty(0))
	require.True(t, c.MayRepeat(0, f, false))
	require.Equal(t, 1, c.RecordEnd(2*second, f, end("s", target(), second, 2*second, 2*second)))
	require.Equal(t, 1, c.RecordEnd(2*second, f, end("s", target(), second, 2*second, 2*second)), "the requests were concurrent")
	require.True(t, c.MayRepeat(2*second, f, false))
	require.Equal(t, Pass, c.Admit(2*second, f, false))
	require.Equal(t, 1, c.RecordEnd(3*second, f, end("t", target(), 2*second, 3*second, 3*second)), "ends in another service may have another cause")
	require.Equal(t, 2, c.RecordEnd(3*second, f, end("s", target(), 2*second, 3*second, 3*second)))
	require.False(t, c.MayRepeat(3*second, f, false))
	require.True(t, c.MayRepeat(3*second, other, false))
	require.Equal(t, Refuse, c.Admit(3*second, f, false))
	require.Equal(t, Pass, c.Admit(3*second, other, false))
	require.False(t, c.Empty(3*second))

	require.Equal(t, 2, c.RecordAnswer(4*second, f, "t"), "an answer of another service clears nothing")
	require.Equal(t, 2, c.Count(4*second, f))
	require.Equal(t, 2, c.RecordAnswer(4*second, f, "s"))
	require.Zero(t, c.Count(4*second, f))
	require.Zero(t, c.RecordEnd(5*second, f, end("s", target(), second, 3*second, 5*second)), "the call ended before the answer")
	require.Equal(t, 1, c.RecordEnd(6*second, f, end("s", target(), 5*second, 6*second, 6*second)))
	require.True(t, c.Empty(6*second+time.Hour))
	require.Zero(t, c.Count(6*second+time.Hour, f))

	full := newCrashes(2)
	for i := range 9 {
		at := time.Duration(i) * second
		for range min(i, 2) {
			full.RecordEnd(at, Fingerprint{byte(i)}, end("s", target(), at, at, at))
			at++
		}
	}
	require.LessOrEqual(t, len(full.records), 4)
	require.Equal(t, 2, full.Count(9*second, Fingerprint{8}), "the newest is kept")
}

// TestCrashesTrials checks when requests are admitted, while a content that is requested
// every 100 ms crashes each target that runs it. A second content may run beside it each time, and so
// may be the cause as well.
func TestCrashesTrials(t *testing.T) {
	for beside, want := range map[bool][]time.Duration{
		false: {time.Second, time.Second, time.Second},
		true:  {time.Second, time.Second, time.Second, 9 * time.Second, 99 * time.Second},
	} {
		c, f := newCrashes(1), Fingerprint{1}
		var sentAt []time.Duration
		for now := time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
			if c.GrantTrial(now, f) {
				require.Equal(t, len(sentAt) < 2, c.Admit(now, f, false) == Pass)
				sentAt = append(sentAt, now.Truncate(time.Second))
				end := end("s", target(), now, now+time.Millisecond, now+time.Millisecond)
				c.RecordEnd(now+time.Millisecond, f, end)
				if beside {
					c.RecordEnd(now+time.Millisecond, Fingerprint{2}, end)
				}
				require.NotEqual(t, Trial, c.Admit(now+time.Millisecond, f, false))
			}
		}
		require.Equal(t, want, sentAt, "a second content: %v", beside)
	}
}

// TestAnsweredTrialClearsContent checks that a content is admitted again after a trial that
// a target has answered.
func TestAnsweredTrialClearsContent(t *testing.T) {
	c, f := newCrashes(1), Fingerprint{1}
	c.RecordEnd(1, f, end("s", target(), 0, 1, 1))
	c.RecordEnd(2, f, end("s", target(), 1, 2, 2))
	require.Equal(t, Trial, c.Admit(2*time.Second, f, false))
	require.True(t, c.GrantTrial(2*time.Second, f))
	require.Equal(t, Refuse, c.Admit(2*time.Second, f, false), "one trial at a time")
	require.False(t, c.GrantTrial(2*time.Second, f))
	c.RecordAnswer(3*time.Second, f, "s")
	require.Equal(t, Pass, c.Admit(3*time.Second, f, false))
}

// TestTrialsOfDifferentContentsAreSpaced guards against a harmless content that ran beside one
// that crashes targets, and that runs beside it again in its own trial.
func TestTrialsOfDifferentContentsAreSpaced(t *testing.T) {
	c := newCrashes(1)
	contents := []Fingerprint{{1}, {2}}
	for i := range 2 {
		at := time.Duration(i + 1)
		for _, f := range contents {
			c.RecordEnd(at, f, end("s", target(), at, at, at))
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
	c.RecordEnd(1, f, end("s", target(), 0, 1, 1))
	c.RecordEnd(2, f, end("s", target(), 1, 2, 2))
	now := time.Second
	for range 5 {
		require.True(t, c.GrantTrial(now, f))
		for _, e := range c.Updates(now) {
			requester.Merge(now, &e)
		}
		require.Equal(t, Refuse, requester.Admit(now, f, false))
		now += 10 * time.Millisecond
		requester.ReturnTrial(now, f)
		for _, e := range requester.Updates(now) {
			c.Merge(now, &e)
		}
		require.Equal(t, Refuse, c.Admit(now, f, false))
		now += trialBackoff[0]
		require.Equal(t, Trial, c.Admit(now, f, false))
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
		var senders []*Crashes
		var sentAt []time.Duration
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			service := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "service"))
			if rapid.Bool().Draw(t, "ends") {
				took := time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
				detection := time.Duration(rapid.IntRange(0, 300).Draw(t, "detection")) * time.Millisecond
				target := fmt.Sprint(service, "-", rapid.IntRange(0, 1).Draw(t, "target"))
				h.RecordEnd(now, f, end(service, target, now-detection-took, now-detection, now))
			} else {
				h.RecordAnswer(now, f, service)
			}
			for _, h := range hosts {
				for _, e := range h.Updates(now) {
					messages, senders, sentAt = append(messages, e), append(senders, h), append(sentAt, now)
				}
			}
		}
		seed := rapid.Uint64().Draw(t, "order")
		end := now + time.Second
		for _, h := range hosts {
			order := rand.New(rand.NewPCG(seed, 0)).Perm(len(messages))
			for _, i := range append(order, order...) {
				e := messages[i].aged(end - sentAt[i])
				send(end, senders[i], h, &e)
			}
			seed++
		}
		exchange(end, hosts)
		for _, h := range hosts[1:] {
			require.Equal(t, hosts[0].Count(end, f), h.Count(end, f))
		}
		for _, h := range hosts {
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
		end.Received, end.Ended, end.EndedBy = end.Received+by, end.Ended+by, end.EndedBy+by
		aged.Ends = append(aged.Ends, end)
	}
	for _, a := range e.Clearances {
		a.Age += by
		aged.Clearances = append(aged.Clearances, a)
	}
	return aged
}

// TestOneProcessEndCountsOnce guards against a content that is refused because one process ended,
// to which two requests had been sent, by one host or by two.
func TestOneProcessEndCountsOnce(t *testing.T) {
	const ms = time.Millisecond
	f := Fingerprint{1}
	c, other := newCrashes(1), newCrashes(2)
	require.Equal(t, 1, c.RecordEnd(1000*ms, f, end("s", "t0", 500*ms, 600*ms, 1000*ms)))
	require.Equal(t, 1, c.RecordEnd(1000*ms, f, end("s", "t0", 950*ms, 1000*ms, 1000*ms)))
	require.Equal(t, 1, other.RecordEnd(1080*ms, f, end("s", "t0", 700*ms, 800*ms, 1080*ms)))
	for _, e := range other.Updates(1080 * ms) {
		c.Merge(1080*ms, &e)
	}
	require.Equal(t, 1, c.Count(1080*ms, f))
	require.Equal(t, 1, c.RecordEnd(1100*ms, f, end("s", "t1", 990*ms, 1050*ms, 1100*ms)), "this request was concurrent")
	require.Equal(t, 2, c.RecordEnd(1500*ms, f, end("s", "t0", 1200*ms, 1500*ms, 1500*ms)), "this request was sent after the end")
}

// TestClearanceArrivesBeforeEnd has a host receive a clearance before the end that it clears, and
// another answer the content before it hears of an end.
func TestClearanceArrivesBeforeEnd(t *testing.T) {
	const ms = time.Millisecond
	f := Fingerprint{1}
	first, second, third := newCrashes(1), newCrashes(2), newCrashes(3)
	first.RecordEnd(1000*ms, f, end("s", "t0", 900*ms, 1000*ms, 1000*ms))
	firstEnd := first.Updates(1000 * ms)[0]
	second.Merge(1000*ms, &firstEnd)
	second.RecordAnswer(1100*ms, f, "s")
	clearance := second.Updates(1100 * ms)[0]
	third.Merge(1100*ms, &clearance)
	late := firstEnd.aged(200 * ms)
	third.Merge(1200*ms, &late)
	require.Zero(t, third.Count(1200*ms, f))

	// The second host knows of the answer at 1100 ms, but has told nobody since nothing was left
	// to clear.
	second.RecordAnswer(1300*ms, f, "s")
	require.Empty(t, second.Updates(1300*ms))
	require.Equal(t, 2, first.RecordEnd(1400*ms, f, end("s", "t1", 1200*ms, 1250*ms, 1400*ms)))
	exchange(1400*ms, []*Crashes{first, second, third})
	for _, c := range []*Crashes{first, second, third} {
		require.Zero(t, c.Count(1400*ms, f))
	}
}

// TestMergeIgnoresInvalidEnds merges ends with times that no host can have sent.
func TestMergeIgnoresInvalidEnds(t *testing.T) {
	f := Fingerprint{1}
	for _, end := range []ProcessEnd{
		{ID: 1, Service: "s", Received: 1, Ended: 2}, {ID: 1, Service: "s", Received: 1, Ended: -1},
		{ID: 1, Service: "s", Received: 1 << 62, Ended: 1}, {ID: 1, Service: "s", Received: 2, Ended: 1, EndedBy: 2},
	} {
		c := newCrashes(1)
		_, after, _ := c.Merge(time.Second, &CrashRecord{Fingerprint: f, Ends: []ProcessEnd{end}})
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
		c.RecordEnd(now, f, end("s", target(), now, now, now))
	}
	now += time.Second
	require.True(t, c.GrantTrial(now, f))
	c.RecordEnd(now, f, end("s", target(), now, now, now))
	starting := newCrashes(2)
	for _, e := range c.Records(now) {
		starting.Merge(time.Millisecond, &e)
	}
	require.False(t, starting.GrantTrial(soleCauseBackoff[1]-time.Second, f))
	require.True(t, starting.GrantTrial(soleCauseBackoff[1]+time.Second, f))
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
