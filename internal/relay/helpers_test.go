package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnresponsiveHelperIsSkipped has two helpers, of which one stops to answer. Each gather
// that it is given would wait for it, since it may have called leaves.
func TestUnresponsiveHelperIsSkipped(t *testing.T) {
	const (
		shards = 36
		within = 60 * time.Millisecond
	)
	frozen, lively := Helper{Name: "frozen"}, Helper{Name: "lively"}
	s := newHelpers(nil)
	s.set([]Helper{frozen, lively}, MinDelegatedShards)
	picked := func(now time.Time) map[string]bool {
		names := map[string]bool{}
		for range 4 {
			if h, found := s.pick(now, shards); found {
				names[h.Name] = true
			}
		}
		return names
	}
	start := time.Now()
	first := s.begin(frozen, start, start.Add(within))
	second := s.begin(frozen, start.Add(time.Millisecond), start.Add(within))
	late := start.Add(within + helperGrace)
	require.Len(t, picked(late), 2, "not yet overdue")
	late = late.Add(time.Millisecond)
	require.Equal(t, map[string]bool{"lively": true}, picked(late))
	s.end(frozen, first, late, false)
	require.Equal(t, map[string]bool{"lively": true}, picked(late), "given up without an answer")
	third := s.begin(frozen, late, late.Add(within))
	s.end(frozen, third, late.Add(within), true)
	require.Len(t, picked(late.Add(within)), 2, "a later gather was answered")
	s.end(frozen, second, late.Add(within), false)
	s.begin(lively, late, late)
	s.begin(frozen, late.Add(2*within), late.Add(2*within))
	require.Empty(t, picked(late.Add(time.Second)), "both are silent, so that the node gathers itself")
	s.set([]Helper{lively}, MinDelegatedShards)
	s.set([]Helper{frozen, lively}, MinDelegatedShards)
	require.Equal(t, map[string]bool{"frozen": true}, picked(late.Add(time.Second)), "what is known of those that stay is kept")
}
