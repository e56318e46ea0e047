package warmup

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leafCall is a call in flight at the simulated leaf.
type leafCall struct {
	sent        Epoch
	incarnation int
}

// TestLeafNeverExceedsItsColdBound simulates a leaf that restarts at any time. The
// holder sees its connections close before it sends again, and learns the outcomes
// of the calls in flight at any later time. The leaf counts its own calls and is cold
// until it has answered WarmAfter of them.
func TestLeafNeverExceedsItsColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:     rapid.IntRange(1, 6).Draw(t, "slots"),
			ColdSlots: 1,
			WarmAfter: rapid.IntRange(1, 5).Draw(t, "warm after"),
		}
		tr := New(0, cfg)
		now, incarnation, answered := time.Duration(0), 1, 0
		var calls []leafCall
		end := func() leafCall {
			i := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
			c := calls[i]
			calls = append(calls[:i], calls[i+1:]...)
			return c
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 20).Draw(t, "step"); {
			case step == 0:
				incarnation++
				answered = 0
				tr.Reset(now)
			case step <= 10 && len(calls) < tr.Bound(now):
				calls = append(calls, leafCall{tr.Epoch(now), incarnation})
			case len(calls) > 0:
				c := end()
				name := fmt.Sprint(c.incarnation)
				if c.incarnation != incarnation && rapid.Bool().Draw(t, "failed") {
					tr.Failed(now, Failure{Sent: c.sent, Incarnation: name, Reason: Disconnected})
					break
				}
				if c.incarnation == incarnation {
					answered++
				}
				tr.Success(now, Answer{Sent: c.sent, Incarnation: name, Latency: time.Millisecond})
			}
			running := 0
			for _, c := range calls {
				if c.incarnation == incarnation {
					running++
				}
			}
			if answered < cfg.WarmAfter && running > cfg.ColdSlots || running > cfg.Slots {
				t.Fatalf("%d calls at a leaf that has answered %d", running, answered)
			}
		}
	})
}
