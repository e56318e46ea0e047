package leafpick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

// pacedGroup returns a group of a leaf in this data centre and one elsewhere, with eight slots each.
func pacedGroup(warmup time.Duration) *leafpick.Group {
	list := entries("here", "far")
	for _, l := range list {
		l.Slots = 8
	}
	g := leafpick.NewGroup(leafpick.Options{DataCentre: "here", ColdRatio: 1.5, ColdSlack: 5})
	g.Set(0, list, &catalog.Service{Name: "s", Warmup: warmup})
	return g
}

// concurrently begins n calls and returns how many of them go to a leaf.
func concurrently(g *leafpick.Group, now time.Duration, n int, leaf string) (count int, calls []*leafpick.Call) {
	for range n {
		c := begin(g, now)
		if c.ID == leaf {
			count++
		}
		calls = append(calls, c)
	}
	return count, calls
}

// TestRestoredLeafIsNotFlooded has a leaf come back that has not answered, while callers press on.
func TestRestoredLeafIsNotFlooded(t *testing.T) {
	recover := func(warmup time.Duration) (g *leafpick.Group, now time.Duration) {
		g = pacedGroup(warmup)
		lost := begin(g, 0)
		require.Equal(t, "l0", lost.ID)
		require.Equal(t, leafpick.Ejected, g.End(mean, lost, leafpick.Unreachable))
		now = 20 * time.Second
		probe := begin(g, now)
		require.Equal(t, "l0", probe.ID)
		now += mean
		require.Equal(t, leafpick.Restored, g.End(now, probe, leafpick.Answered))
		return g, now
	}
	g, now := recover(3 * time.Second)
	first, calls := concurrently(g, now, 6, "l0")
	assert.LessOrEqual(t, first, 3, "the first round after the probe")
	now += mean
	for _, c := range calls {
		g.End(now, c, leafpick.Answered)
	}
	later := 0
	for range 3 {
		later, calls = concurrently(g, now, 6, "l0")
		now += mean
		for _, c := range calls {
			g.End(now, c, leafpick.Answered)
		}
	}
	assert.Greater(t, later, first, "more as it answers")

	g, now = recover(0)
	unpaced, _ := concurrently(g, now, 6, "l0")
	assert.Greater(t, unpaced, first, "without a cold start in the configuration there is no pace")
}

// TestPaceRefusesNothing has only leaves that are at their pace: calls go on.
func TestPaceRefusesNothing(t *testing.T) {
	g := pacedGroup(3 * time.Second)
	list := entries("here")
	list[0].Slots, list[0].WarmupLeft = 8, 100*time.Millisecond
	g.Set(0, list, &catalog.Service{Name: "s", Warmup: 3 * time.Second, WarmupPerSecond: 100})
	g.End(mean, begin(g, 0), leafpick.Answered)
	_, calls := concurrently(g, time.Second, 6, "l0")
	assert.Len(t, calls, 6)
	for _, c := range calls {
		assert.NotNil(t, c)
	}
}
