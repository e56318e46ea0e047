package share

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/placement"
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
	for _, hosts := range []int{2, 4, 6} {
		s := settledSim(t, hosts)
		s.split(func(i int) bool { return i < hosts/2 })
		for range 400 {
			require.NoError(t, s.step())
			require.True(t, s.full())
		}
		for _, h := range s.hosts {
			require.Empty(t, h.state.Status().Taken)
		}
	}
}

func TestLostHostStopsAndReturns(t *testing.T) {
	faults := map[string]func(*sim){
		"isolated": func(s *sim) { s.split(func(i int) bool { return i == 2 }) },
		"paused":   func(s *sim) { s.hosts[2].frozenUntil = s.now + 4*time.Second },
	}
	for name, fault := range faults {
		s := settledSim(t, 6)
		state := s.hosts[2].state
		fault(s)
		require.NoError(t, s.run(4*time.Second-simStep), name)
		require.Equal(t, 1.0, s.least())
		for _, leaf := range s.leaves {
			require.Zero(t, state.Allowed(s.hosts[2].local(s.now), leaf).Slots, name)
		}
		clear(s.cut)
		until(t, s, 3*time.Second, func() bool { return s.full() && state.Status().Held > 0 })
	}
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
	took := until(t, s, 3*time.Second, s.full)
	t.Logf("%d shares moved, in use %v after the last host had the list", held, took)
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

// holdersOf returns the holders of a leaf's first and second share.
func holdersOf(s *sim, leaf string) (first, second *simHost) {
	for _, h := range s.hosts {
		switch l := h.state.leaves[leaf]; {
		case l.handlesCold():
			first = h
		case l.held() > 0:
			second = h
		}
	}
	return first, second
}

// settledOn returns a settled fleet without calls, and the holders of a leaf.
func settledOn(t *testing.T, leaf string) (s *sim, first, second *simHost) {
	s = newSim(5, 6, Options{})
	s.idle = true
	require.NoError(t, s.run(4*time.Second))
	first, second = holdersOf(s, leaf)
	return s, first, second
}

func TestColdLeafHasOneUser(t *testing.T) {
	const leaf = "adom/s2/i0/a"
	s, first, second := settledOn(t, leaf)
	allowed := func(h *simHost) Allowance { return h.state.Allowed(h.local(s.now), leaf) }
	require.True(t, allowed(first).HandlesCold)
	require.Zero(t, allowed(second).Slots)
	first.state.MarkLeaf(leaf, 7, true)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots)
	require.False(t, allowed(second).HandlesCold)
	second.state.MarkLeaf(leaf, 7, false)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots, "not warm yet at the second holder")
	second.state.MarkLeaf(leaf, 8, false)
	second.state.RefuteMark(leaf)
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

// TestFirstHolderSaysAgainThatALeafIsWarm lets a second holder find a leaf cold that
// the first one goes on finding warm, for a reason of its own connection.
func TestFirstHolderSaysAgainThatALeafIsWarm(t *testing.T) {
	const leaf = "adom/s2/i0/a"
	s, first, second := settledOn(t, leaf)
	allowed := func(h *simHost) int { return h.state.Allowed(h.local(s.now), leaf).Slots }
	first.state.MarkLeaf(leaf, 7, true)
	second.state.MarkLeaf(leaf, 7, true)
	require.NoError(t, s.run(time.Second))
	for range 2 {
		second.state.MarkLeaf(leaf, 7, false)
		second.state.RefuteMark(leaf)
		require.NoError(t, s.run(reaffirmFirst/2))
		require.Zero(t, allowed(second), "the first holder may not have looked since")
		require.NoError(t, s.run(reaffirmFirst))
		require.Equal(t, 1, allowed(second))
		second.state.MarkLeaf(leaf, 7, true)
		require.NoError(t, s.run(time.Second))
	}
	epoch := first.state.leaves[leaf].mine.Epoch
	require.NoError(t, s.run(2*reaffirmMost))
	require.Equal(t, epoch, first.state.leaves[leaf].mine.Epoch, "nobody doubts it")

	second.state.MarkLeaf(leaf, 8, false)
	second.state.RefuteMark(leaf)
	require.NoError(t, s.run(2*reaffirmFirst))
	require.Zero(t, allowed(second), "the first holder has not seen that incarnation")
}

// A host with a newer list is in contact only with one that no other host knows
// of. That contact must not keep its shares, since the others fence it.
func TestContactWithAnUnknownHostDoesNotCount(t *testing.T) {
	s := settledSim(t, 6)
	s.kill(5)
	s.addView([]int{0, 1, 2, 3, 4})
	for i := range 5 {
		s.setView(i, 1)
	}
	until(t, s, 4*time.Second, s.full)
	s.addView([]int{0, 1, 2, 3, 4, 5})
	s.split(func(i int) bool { return i == 0 || i == 5 })
	s.startProcess(5, 0)
	s.setView(0, 2)
	require.NoError(t, s.run(5*time.Second))
	require.Equal(t, 1.0, s.least())
}

// A host that needs no contact under its list of two is silent. Processes that
// start on a list of three must not take its silence for a lapse.
func TestSilenceUnderAListOfTwoIsNoFence(t *testing.T) {
	s := settledSim(t, 3)
	s.addView([]int{0, 1})
	s.setView(0, 1)
	s.setView(1, 1)
	s.setView(2, 1)
	until(t, s, 4*time.Second, s.full)
	s.addView([]int{0, 1, 2})
	for i := 1; i < 3; i++ {
		s.kill(i)
		s.startProcess(i, 0)
	}
	require.NoError(t, s.run(800*time.Millisecond))
	s.split(func(i int) bool { return i == 0 })
	require.NoError(t, s.run(5*time.Second))
	require.Zero(t, s.hosts[1].state.Status().Held+s.hosts[2].state.Status().Held)
}

// A list is replaced by another and that one by a list like the first. A host
// that missed the one between must not take its layout for unchanged.
func TestEqualListAfterAMissedOneIsNotSettled(t *testing.T) {
	s := settledSim(t, 4)
	s.split(func(i int) bool { return i == 3 })
	s.addView([]int{0, 1, 2})
	for i := range 3 {
		s.setView(i, 1)
	}
	require.NoError(t, s.run(5*time.Second))
	require.True(t, s.full())
	s.addView([]int{0, 1, 2, 3})
	clear(s.cut)
	s.setView(3, 2)
	require.NoError(t, s.run(time.Second))
	s.kill(1)
	for i := range s.hosts {
		s.refuse(i, 1)
	}
	require.NoError(t, s.run(4*time.Second))
	require.Zero(t, s.hosts[3].state.Status().Held)
	require.Empty(t, s.hosts[3].state.Status().Taken)
}

// A process that starts on a list learns from its peers that a host which the
// list does not name has not released its shares.
func TestStartLearnsOfUnsettledHosts(t *testing.T) {
	s := settledSim(t, 4)
	s.addView([]int{0, 1, 2})
	s.cut[[2]int{2, 3}], s.cut[[2]int{3, 2}] = true, true
	s.kill(2)
	s.setView(0, 1)
	s.setView(1, 1)
	s.startProcess(2, 0)
	require.NoError(t, s.run(5*time.Second))
	require.Equal(t, []string{"host-3"}, s.hosts[2].state.Status().Unsettled)
	s.setView(3, 1)
	until(t, s, 4*time.Second, s.full)
}

// A host that was fenced and a process that starts on an old list reach only
// each other. Neither may use shares, since the others have moved them.
func TestStaleProcessCannotAttachAFencedHost(t *testing.T) {
	s := settledSim(t, 6)
	s.split(func(i int) bool { return i == 0 })
	require.NoError(t, s.run(3*time.Second))
	s.addView([]int{1, 2, 3, 4, 5})
	for i := 1; i < 6; i++ {
		s.setView(i, 1)
	}
	until(t, s, 4*time.Second, s.full)
	clear(s.cut)
	s.split(func(i int) bool { return i < 2 })
	s.startProcess(1, 1)
	require.NoError(t, s.run(10*time.Second))
	require.Zero(t, s.hosts[0].state.Status().Held+s.hosts[1].state.Status().Held)
	clear(s.cut)
	s.setView(0, 1)
	s.setView(1, 1)
	until(t, s, 4*time.Second, s.full)
}

// A deputy that was fenced returns with proof that the owner's process had
// ended, while the owner's next process uses the shares.
func TestProofOfAnEndedProcessExpires(t *testing.T) {
	s := settledSim(t, 3)
	s.kill(1)
	s.refuse(2, 1)
	require.NoError(t, s.run(2*time.Second))
	require.Equal(t, []string{"host-1"}, s.hosts[2].state.Status().Taken)
	s.split(func(i int) bool { return i == 2 })
	s.startProcess(1, 0)
	until(t, s, 6*time.Second, s.full)
	delete(s.cut, [2]int{0, 2})
	delete(s.cut, [2]int{2, 0})
	require.NoError(t, s.run(5*time.Second))
	require.Empty(t, s.hosts[2].state.Status().Taken)
}

// All processes start anew while a host is silent.
func TestStartBesideASilentHost(t *testing.T) {
	s := newSim(5, 6, Options{ListLag: 10 * time.Second})
	s.kill(5)
	require.NoError(t, s.run(9*time.Second))
	require.Zero(t, s.least())
	require.NoError(t, s.run(2*time.Second))
	for i := range 5 {
		s.setView(i, 0)
	}
	until(t, s, 4*time.Second, s.full)
}

// All hosts lose contact while one of them is dead.
func TestOutageBesideASilentHost(t *testing.T) {
	s := settledSim(t, 6)
	s.kill(5)
	until(t, s, 3*time.Second, s.full)
	for i := range s.hosts {
		s.split(func(j int) bool { return j == i })
	}
	require.NoError(t, s.run(3*time.Second))
	require.Zero(t, s.least())
	clear(s.cut)
	until(t, s, 4*time.Second, s.full)
}

// A leaf that comes from another cell waits for the hosts of that cell.
func TestLeafFromAnotherCellWaits(t *testing.T) {
	mine := placement.Host{Name: "a", Cell: "c1", Region: "r"}
	other := placement.Host{Name: "b", Cell: "c2", Region: "r"}
	s, err := New(Options{Host: "a", Cell: "c1", Incarnation: 1}, 0)
	require.NoError(t, err)
	s.SetDocument(0, simDocument(simInstances))
	require.NoError(t, s.SetView(0, View{Revision: 1, Hosts: []placement.Host{mine, other}}))
	tick := func(from, to time.Duration) (out []Outgoing) {
		for now := from; now < to; now += simStep {
			out = append(out, s.Tick(now)...)
		}
		return out
	}
	tick(0, 2*time.Second)
	held := s.Status().Held
	require.Positive(t, held)
	require.NoError(t, s.SetView(2*time.Second, View{Revision: 2, Hosts: []placement.Host{mine}}))
	out := tick(2*time.Second, 10*time.Second)
	require.Equal(t, held, s.Status().Held)
	require.Equal(t, "b", out[0].To)
	s.Receive(10*time.Second, Heartbeat{From: "b", Incarnation: 1, Session: 1, Seq: 1, Revision: 2, Known: 2, Released: 2})
	require.Equal(t, 3*simInstances, s.Status().Held)
}

func TestLockedCountsCalls(t *testing.T) {
	const leaf = "adom/s5/i0/a"
	locked, err := NewLocked(Options{Host: "a", Incarnation: 1}, 0)
	require.NoError(t, err)
	locked.SetDocument(0, simDocument(1))
	require.NoError(t, locked.SetView(0, View{Revision: 1, Hosts: []placement.Host{{Name: "a"}}}))
	locked.Tick(time.Second)
	locked.Tick(2 * time.Second)
	var started atomic.Int32
	var group errgroup.Group
	for range 20 {
		group.Go(func() error {
			if _, ok := locked.TryBegin(2*time.Second, leaf); ok {
				started.Add(1)
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	require.Equal(t, int32(5), started.Load())
}

func TestOptionsErrors(t *testing.T) {
	_, err := New(Options{}, 0)
	require.ErrorContains(t, err, "no host")
	_, err = New(Options{Host: "a"}, 0)
	require.ErrorContains(t, err, `incarnation of host "a" is zero`)
	_, err = New(Options{Host: "a", Incarnation: 1, UseLease: 1}, 0)
	require.ErrorContains(t, err, "use lease")
}
