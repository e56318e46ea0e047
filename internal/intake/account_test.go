package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const kb = 1 << 10

// TestStalledBodiesGiveWay answers the load of callers that stop just before the end of large bodies
// while ordinary callers go on.
func TestStalledBodiesGiveWay(t *testing.T) {
	a := NewAccount(Limits{Conns: 1000, Bytes: 1000 * kb})
	now := time.Duration(0)
	removed := 0
	for range 300 {
		now += time.Millisecond
		c, _ := a.Open(now)
		victims, ok := a.Grow(now, c, 100*kb)
		require.True(t, ok)
		removed += len(victims)
		require.LessOrEqual(t, a.Bytes(), int64(1000*kb))
		ordinary, _ := a.Open(now)
		victims, ok = a.Grow(now, ordinary, kb)
		require.True(t, ok)
		assert.NotContains(t, victims, c, "the one that has just made progress stays")
		a.SetPhase(now, ordinary, Serving)
		a.Close(ordinary)
	}
	assert.Greater(t, removed, 250)
}

// TestSmallRequestsKeepTheirPart has large requests that are being served take all that they may.
func TestSmallRequestsKeepTheirPart(t *testing.T) {
	a := NewAccount(Limits{Conns: 1000, Bytes: 1000 * kb})
	refused := 0
	for range 100 {
		c, _ := a.Open(0)
		if _, ok := a.Grow(0, c, 100*kb); !ok {
			refused++
			a.Close(c)
			continue
		}
		a.SetPhase(0, c, Serving)
	}
	assert.Greater(t, refused, 90)
	for range 10 {
		c, _ := a.Open(0)
		victims, ok := a.Grow(0, c, 2*kb)
		assert.True(t, ok)
		assert.Empty(t, victims)
	}
}

// TestConnectionsGiveWay has more callers than connections: idle ones are closed first, then those
// that send nothing; what is being served stays.
func TestConnectionsGiveWay(t *testing.T) {
	a := NewAccount(Limits{Conns: 3, Bytes: kb})
	serving, _ := a.Open(0)
	a.SetPhase(0, serving, Serving)
	silent, _ := a.Open(1)
	idle, _ := a.Open(2)
	a.SetPhase(3, idle, Idle)
	next, victim := a.Open(4)
	assert.Same(t, idle, victim)
	_, victim = a.Open(5)
	assert.Same(t, silent, victim)
	a.SetPhase(6, next, Serving)
	last, victim := a.Open(7)
	require.NotNil(t, victim)
	a.SetPhase(7, last, Serving)
	refused, victim := a.Open(8)
	assert.Nil(t, refused)
	assert.Nil(t, victim)
	assert.Equal(t, 3, a.Conns())
}

// TestUnreadAnswersGiveWay answers the load of callers that take all connections and do not read their
// answers: the one that has gone longest without taking a part gives way, and what is being served stays.
func TestUnreadAnswersGiveWay(t *testing.T) {
	a := NewAccount(Limits{Conns: 3, Bytes: kb})
	var conns []*Conn
	for i := range 3 {
		c, _ := a.Open(time.Duration(i))
		a.SetPhase(3, c, Serving)
		conns = append(conns, c)
	}
	a.BeginAnswer(4, conns[1], kb)
	a.BeginAnswer(5, conns[2], kb)
	a.Progress(6, conns[1], 0)
	_, victim := a.Open(7)
	assert.Same(t, conns[2], victim)
	last, victim := a.Open(8)
	assert.Same(t, conns[1], victim)
	a.SetPhase(9, last, Serving)
}

// TestLargeUnreadAnswersGiveWay answers the load of callers whose unread answers take all the memory.
func TestLargeUnreadAnswersGiveWay(t *testing.T) {
	a := NewAccount(Limits{Conns: 4, Bytes: kb})
	var conns []*Conn
	for i := range 4 {
		c, _ := a.Open(0)
		a.SetPhase(0, c, Serving)
		if i > 0 {
			a.BeginAnswer(0, c, i*kb)
		}
		conns = append(conns, c)
	}
	assert.Nil(t, a.RemoveStalled(stallTime-1))
	a.Progress(stallTime-1, conns[3], 2*kb)
	assert.Same(t, conns[2], a.RemoveStalled(stallTime))
	assert.Same(t, conns[1], a.RemoveStalled(stallTime))
	assert.Nil(t, a.RemoveStalled(stallTime), "the others are being served or have made progress")
}

// TestAccountStaysWithinLimits draws sequences of all events.
func TestAccountStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Conns: rapid.IntRange(1, 8).Draw(t, "conns"), Bytes: int64(rapid.IntRange(1, 200).Draw(t, "kb")) * kb}
		a := NewAccount(limits)
		var open []*Conn
		now := time.Duration(0)
		forget := func(gone *Conn) {
			for i, c := range open {
				if c == gone {
					open = append(open[:i], open[i+1:]...)
					return
				}
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now++
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				c, victim := a.Open(now)
				if victim != nil {
					forget(victim)
				}
				if c != nil {
					open = append(open, c)
				}
			} else {
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "conn")]
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0, 1:
					victims, ok := a.Grow(now, c, rapid.IntRange(1, 50*kb).Draw(t, "bytes"))
					for _, v := range victims {
						if v.phase == Serving {
							t.Fatalf("a request that is being served was given up")
						}
						forget(v)
					}
					if !ok {
						a.Close(c)
						forget(c)
					}
				case 2:
					a.SetPhase(now, c, Phase(rapid.IntRange(0, 3).Draw(t, "phase")))
				case 4:
					a.BeginAnswer(now, c, kb)
					a.Progress(now, c, rapid.IntRange(0, kb).Draw(t, "left"))
					if v := a.RemoveStalled(now + time.Duration(rapid.IntRange(0, int(2*stallTime)).Draw(t, "later"))); v != nil {
						if v.phase == Serving {
							t.Fatalf("a request that is being served was given up")
						}
						forget(v)
					}
				case 3:
					a.Close(c)
					forget(c)
				}
			}
			if a.Conns() > limits.Conns || a.Bytes() > limits.Bytes || a.Conns() != len(open) || a.large < 0 {
				t.Fatalf("%d connections with %d bytes, %d large, of %d", a.Conns(), a.Bytes(), a.large, len(open))
			}
		}
		for len(open) > 0 {
			a.Close(open[0])
			open = open[1:]
		}
		if a.Bytes() != 0 || a.large != 0 {
			t.Fatalf("%d bytes and %d large left", a.Bytes(), a.large)
		}
	})
}
