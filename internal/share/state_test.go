package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settledSim returns hosts that use all shares.
func settledSim(t testing.TB, hosts int) *sim {
	s := newSim(5, hosts, Options{})
	require.NoError(t, s.run(4*time.Second))
	require.Equal(t, 1.0, s.least())
	return s
}

// until runs s until the condition holds and returns how long that took.
func until(t testing.TB, s *sim, limit time.Duration, condition func() bool) time.Duration {
	start := s.now
	for !condition() {
		require.Less(t, s.now-start, limit)
		require.NoError(t, s.step())
	}
	return s.now - start
}

func (s *sim) full() bool { return s.least() == 1 }

func TestStartAtEverySize(t *testing.T) {
	for hosts := 1; hosts <= 8; hosts++ {
		s := newSim(1, hosts, Options{})
		t.Logf("%d hosts: %v", hosts, until(t, s, 3*time.Second, s.full))
	}
}

func TestSharesOfALostHostMove(t *testing.T) {
	for _, hosts := range []int{3, 6, 7} {
		for lost := range hosts {
			s := settledSim(t, hosts)
			s.kill(lost)
			took := until(t, s, 3*time.Second, s.full)
			t.Logf("%d hosts without host %d: %v", hosts, lost, took)
			s.startProcess(lost, 0)
			until(t, s, 4*time.Second, func() bool { return s.full() && len(s.hosts[lost].state.Status().Lent) == 0 })
		}
	}
}

func TestRefusedConnectionsSpeedUpTheMove(t *testing.T) {
	for _, exitEndsCalls := range []bool{true, false} {
		s := newSim(5, 6, Options{ExitEndsCalls: exitEndsCalls})
		require.NoError(t, s.run(4*time.Second))
		s.kill(0)
		for i := range s.hosts {
			s.refuse(i, 0)
		}
		took := until(t, s, 1200*time.Millisecond, s.full)
		require.Equal(t, exitEndsCalls, took == 0)
	}
}

func TestSplitInHalvesKeepsShares(t *testing.T) {
	s := settledSim(t, 6)
	s.split(func(i int) bool { return i < 3 })
	for range 400 {
		require.NoError(t, s.step())
		require.Equal(t, 1.0, s.least())
	}
	for _, h := range s.hosts {
		require.Empty(t, h.state.Status().Taken)
	}
}

func TestIsolatedHostStopsAndReturns(t *testing.T) {
	s := settledSim(t, 6)
	s.split(func(i int) bool { return i == 2 })
	require.NoError(t, s.run(4*time.Second))
	require.Equal(t, 1.0, s.least())
	require.False(t, s.hosts[2].state.Status().Attached)
	clear(s.cut)
	until(t, s, 3*time.Second, func() bool { return s.full() && s.hosts[2].state.Status().Held > 0 })
}

func TestTwoHostsKeepSharesWithoutContact(t *testing.T) {
	s := settledSim(t, 2)
	s.split(func(i int) bool { return i == 0 })
	require.NoError(t, s.run(10*time.Second))
	require.Equal(t, 1.0, s.least())
}

func TestPauseMakesPermitsStale(t *testing.T) {
	s := settledSim(t, 6)
	h := s.hosts[3]
	h.frozenUntil = s.now + 10*time.Second
	require.NoError(t, s.run(10*time.Second-simStep))
	for leaf := range s.bounds {
		require.Zero(t, h.state.Allowed(h.local(s.now), leaf).Slots)
	}
	until(t, s, 3*time.Second, func() bool { return s.full() && h.state.Status().Held > 0 })
}

func TestHostListChangeKeepsShares(t *testing.T) {
	s := settledSim(t, 6)
	s.addView([]int{0, 1, 2, 3, 4})
	held := 0
	for i, h := range s.hosts {
		before := h.state.Status().Held
		s.setView(i, 1)
		held += before - h.state.Status().Held
		require.NoError(t, s.run(100*time.Millisecond))
	}
	t.Logf("%d shares moved", held)
	until(t, s, 3*time.Second, s.full)
	// A stale list changes nothing, another list of the same revision is refused.
	s.setView(0, 0)
	require.True(t, s.full())
	other := View{Revision: 2, Hosts: s.views[0].Hosts}
	require.ErrorContains(t, s.hosts[0].state.SetView(s.hosts[0].local(s.now), other), "revision 2 differs")
}

func TestUnreachableHostBlocksOnlyGainedShares(t *testing.T) {
	s := settledSim(t, 6)
	s.kill(4)
	s.kill(5)
	s.addView([]int{0, 1, 2, 3})
	held := make([]int, 4)
	for i := range held {
		held[i] = s.hosts[i].state.Status().Held
		s.setView(i, 1)
	}
	require.NoError(t, s.run(10*time.Second))
	for i := range held {
		require.Equal(t, []string{"host-4", "host-5"}, s.hosts[i].state.Status().Unsettled)
	}
	s.doc.StoppedHosts = []string{"host-4", "host-5"}
	for _, h := range s.hosts[:4] {
		h.state.SetDocument(h.local(s.now), s.doc)
	}
	until(t, s, time.Second, s.full)
}

func TestHandOver(t *testing.T) {
	s := settledSim(t, 6)
	h := s.hosts[1]
	h.state.StartHandOver(h.local(s.now))
	took := until(t, s, 2*time.Second, s.full)
	t.Logf("handed over in %v", took)
	require.Zero(t, h.state.Status().Held)
	s.kill(1)
	require.NoError(t, s.run(4*time.Second))
	require.True(t, s.full())
}

func TestColdLeafHasOneUser(t *testing.T) {
	s := newSim(5, 6, Options{})
	s.idle = true
	require.NoError(t, s.run(4*time.Second))
	const leaf = "adom/s2/i0/a"
	var first, second *simHost
	for _, h := range s.hosts {
		switch l := h.state.leaves[leaf]; {
		case l.handlesCold():
			first = h
		case l.held() > 0:
			second = h
		}
	}
	allowed := func(h *simHost) Allowance { return h.state.Allowed(h.local(s.now), leaf) }
	require.True(t, allowed(first).HandlesCold)
	require.Zero(t, allowed(second).Slots)
	first.state.MarkLeaf(leaf, 7, true)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots)
	require.False(t, allowed(second).HandlesCold)
	second.state.MarkLeaf(leaf, 8, false)
	require.NoError(t, s.run(time.Second))
	require.Zero(t, allowed(second).Slots)
	hint, ok := first.state.Hint(leaf)
	require.True(t, ok)
	require.Equal(t, uint64(8), hint.Incarnation)
	first.state.MarkLeaf(leaf, 8, false)
	first.state.MarkLeaf(leaf, 8, true)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots)
}

func TestOptionsErrors(t *testing.T) {
	_, err := New(Options{}, 0)
	require.ErrorContains(t, err, "no host")
	_, err = New(Options{Host: "a"}, 0)
	require.ErrorContains(t, err, `incarnation of host "a" is zero`)
	_, err = New(Options{Host: "a", Incarnation: 1, UseLease: 1}, 0)
	require.ErrorContains(t, err, "use lease")
}
