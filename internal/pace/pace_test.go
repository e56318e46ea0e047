package pace

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPaceFollowsAnswers(t *testing.T) {
	var p Pace
	assert.True(t, p.Room(1000), "no limit before it begins")
	p.Begin(8)
	assert.True(t, p.Room(0))
	assert.False(t, p.Room(1))
	p.Answered(1)
	assert.True(t, p.Room(1))
	p.Answered(1)
	p.Answered(1)
	assert.True(t, p.Room(3), "four at a time after two rounds")
	p.Refused()
	assert.False(t, p.Room(2))
	p.Answered(slowRatio)
	assert.False(t, p.Room(1))
	p.Answered(1)
	p.Answered(1)
	p.Lost()
	assert.False(t, p.Room(1))
	for range 7 {
		p.Answered(1)
	}
	assert.False(t, p.Limited(), "as many as a warm server bears")
	p.Lost()
	p.Refused()
	assert.True(t, p.Room(1000), "a server in use is not slowed down")
	p.Begin(1)
	assert.True(t, p.Room(5), "there is nothing to find for one call at a time")
}

// recoveringServer bears a number of calls at a time that grows with the calls it has served, as caches
// fill; with more, it refuses them and serves the others slowly.
type recoveringServer struct {
	served, perSlot, full int
}

func (s *recoveringServer) bears() int { return min(1+s.served/s.perSlot, s.full) }

// recover offers calls in rounds to a server, as many as limit allows, and returns the number of calls
// that were refused and of rounds until the server has served enough to be warm.
func recoverServer(perSlot int, limit func(round int) int, answered func(ratio float64), refused func()) (refusals, rounds int) {
	s := &recoveringServer{perSlot: perSlot, full: 16}
	rng := rand.New(rand.NewPCG(uint64(perSlot), 1))
	for s.bears() < s.full && rounds < 10000 {
		rounds++
		n, bears := min(limit(rounds), 16), s.bears()
		for i := range n {
			if i >= bears {
				refusals++
				refused()
				continue
			}
			if n > bears && rng.IntN(2) == 0 {
				answered(2 * slowRatio)
				continue
			}
			s.served++
			answered(1)
		}
	}
	return refusals, rounds
}

// TestRecoveringServerIsNeitherFloodedNorIdle answers the load of callers that press on a server which
// has just recovered: fast and slow ones, compared with all calls at once and with one at a time.
func TestRecoveringServerIsNeitherFloodedNorIdle(t *testing.T) {
	for _, perSlot := range []int{1, 4, 30} {
		none := func(float64) {}
		flooded, _ := recoverServer(perSlot, func(int) int { return 16 }, none, func() {})
		_, idle := recoverServer(perSlot, func(int) int { return 1 }, none, func() {})
		var p Pace
		p.Begin(16)
		refusals, rounds := recoverServer(perSlot, func(int) int {
			n := 0
			for p.Room(n) && n < 16 {
				n++
			}
			return n
		}, p.Answered, p.Refused)
		t.Logf("%d answers a slot: %d refusals in %d rounds; flooded %d refusals; one at a time %d rounds", perSlot, refusals, rounds, flooded, idle)
		if perSlot > 1 {
			assert.Less(t, refusals, flooded/2)
		}
		assert.Less(t, rounds, idle/2+8)
	}
}
