package memlimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReserveReclaims(t *testing.T) {
	m := New(100)
	require.True(t, m.Reserve(90))
	require.False(t, m.Reserve(20))
	held := []int{5, 85}
	m.SetReclaim(func() bool {
		if len(held) == 0 {
			return false
		}
		n := held[0]
		held = held[1:]
		go m.Release(n)
		return true
	})
	require.False(t, m.Reserve(101), "more than the limit is not worth reclaiming for")
	require.Len(t, held, 2)
	require.True(t, m.Reserve(20))
	require.Empty(t, held)
	require.Equal(t, int64(20), m.Used())
	require.False(t, m.Reserve(90))
}

func TestSmallReservationsKeepTheirPart(t *testing.T) {
	d := NewDivided(100 * largeBytes)
	for range 3 {
		require.True(t, d.Reserve(25*largeBytes))
	}
	require.False(t, d.Reserve(2*largeBytes))
	require.True(t, d.Reserve(largeBytes))
	d.Release(25 * largeBytes)
	require.True(t, d.Reserve(2*largeBytes))
	require.Equal(t, int64(53*largeBytes), d.Used())
}
