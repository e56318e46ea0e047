package share

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// settledSim returns a sim whose hosts use all shares.
func settledSim(t testing.TB, hosts int) *sim {
	s := newSim(5, hosts, Options{})
	require.NoError(t, s.run(4*time.Second))
	require.Equal(t, 1.0, s.minUsable())
	return s
}

// until runs s until the condition holds, for less than limit, and returns the time
// that it took.
func until(t testing.TB, s *sim, limit time.Duration, condition func() bool) time.Duration {
	start := s.now
	for !condition() {
		require.Less(t, s.now-start, limit)
		require.NoError(t, s.step())
	}
	return s.now - start
}

func (s *sim) allUsable() bool { return s.minUsable() == 1 }

func TestStartAtEverySize(t *testing.T) {
	for hosts := 1; hosts <= 8; hosts++ {
		s := newSim(1, hosts, Options{})
		t.Logf("%d hosts: %v", hosts, until(t, s, 3*time.Second, s.allUsable))
	}
}

func TestSharesOfALostHostMove(t *testing.T) {
	for _, hosts := range []int{3, 6, 7} {
		for lost := range hosts {
			s := settledSim(t, hosts)
			s.kill(lost)
			took := until(t, s, 3*time.Second, s.allUsable)
			t.Logf("%d hosts without host %d: %v", hosts, lost, took)
			s.startProcess(lost, 0)
			until(t, s, 4*time.Second, func() bool { return s.allUsable() && len(s.hosts[lost].state.Status().Lent) == 0 })
		}
	}
}

func TestRefusedConnectionsSpeedUpTheMove(t *testing.T) {
	for _, exitEndsCalls := range []bool{true, false} {
		s := newSim(5, 6, Options{ExitEndsCalls: exitEndsCalls})
		require.NoError(t, s.run(4*time.Second))
		s.kill(0)
		for i := range s.hosts {
			s.reportEnded(i, 0)
		}
		took := until(t, s, 1200*time.Millisecond, s.allUsable)
		require.Equal(t, exitEndsCalls, took == 0)
	}
}

func TestSplitInHalvesKeepsShares(t *testing.T) {
	for _, hosts := range []int{2, 4, 6} {
		s := settledSim(t, hosts)
		s.split(func(i int) bool { return i < hosts/2 })
		for range 400 {
			require.NoError(t, s.step())
			require.True(t, s.allUsable())
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
		require.Equal(t, 1.0, s.minUsable())
		for _, leaf := range s.leaves {
			require.Zero(t, state.Allowed(s.hosts[2].local(s.now), leaf).Slots, name)
		}
		clear(s.cut)
		until(t, s, 3*time.Second, func() bool { return s.allUsable() && state.Status().Held > 0 })
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
	took := until(t, s, 3*time.Second, s.allUsable)
	t.Logf("%d shares moved, in use %v after the last host had the list", held, took)
	// A stale list changes nothing. Other hosts under the same revision are an error.
	s.setView(0, 0)
	require.True(t, s.allUsable())
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
	until(t, s, time.Second, s.allUsable)
}

func TestHandOver(t *testing.T) {
	s := settledSim(t, 6)
	h := s.hosts[1]
	h.state.StartHandOver(h.local(s.now))
	took := until(t, s, 2*time.Second, s.allUsable)
	t.Logf("handed over in %v", took)
	require.Zero(t, h.state.Status().Held)
	s.kill(1)
	require.NoError(t, s.run(4*time.Second))
	require.True(t, s.allUsable())
}

// holdersOf returns the hosts that hold the first and second share of a leaf.
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

// idleSettledSim returns a settled sim without calls, and the holders of a leaf.
func idleSettledSim(t *testing.T, leaf string) (s *sim, first, second *simHost) {
	s = newSim(5, 6, Options{})
	s.idle = true
	require.NoError(t, s.run(4*time.Second))
	first, second = holdersOf(s, leaf)
	return s, first, second
}

func TestColdLeafHasOneUser(t *testing.T) {
	const leaf = "adom/s2/i0/a"
	s, first, second := idleSettledSim(t, leaf)
	allowed := func(h *simHost) Allowance { return h.state.Allowed(h.local(s.now), leaf) }
	require.True(t, allowed(first).HandlesCold)
	require.Zero(t, allowed(second).Slots)
	first.state.SetVerdict(leaf, 7, true)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots)
	require.False(t, allowed(second).HandlesCold)
	second.state.SetVerdict(leaf, 7, false)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots, "a cold verdict of the second holder alone must not stop its use")
	second.state.SetVerdict(leaf, 8, false)
	second.state.RejectVerdict(leaf)
	require.NoError(t, s.run(time.Second))
	require.Zero(t, allowed(second).Slots)
	verdict, ok := first.state.PeerVerdict(leaf)
	require.True(t, ok)
	require.Equal(t, uint64(8), verdict.Incarnation)
	first.state.SetVerdict(leaf, 8, false)
	first.state.SetVerdict(leaf, 8, true)
	require.NoError(t, s.run(time.Second))
	require.Equal(t, 1, allowed(second).Slots)
}

// TestFirstHolderReannouncesAWarmLeaf covers a second holder that finds a leaf cold
// because of its own connection while the first holder still finds the leaf warm.
// Without the repeated verdict the second holder would never use the leaf again.
func TestFirstHolderReannouncesAWarmLeaf(t *testing.T) {
	const leaf = "adom/s2/i0/a"
	s, first, second := idleSettledSim(t, leaf)
	allowed := func(h *simHost) int { return h.state.Allowed(h.local(s.now), leaf).Slots }
	first.state.SetVerdict(leaf, 7, true)
	second.state.SetVerdict(leaf, 7, true)
	require.NoError(t, s.run(time.Second))
	for range 2 {
		second.state.SetVerdict(leaf, 7, false)
		second.state.RejectVerdict(leaf)
		require.NoError(t, s.run(minReannounceDelay/2))
		require.Zero(t, allowed(second), "the first holder repeated its verdict before it asked the leaf again")
		require.NoError(t, s.run(minReannounceDelay))
		require.Equal(t, 1, allowed(second))
		second.state.SetVerdict(leaf, 7, true)
		require.NoError(t, s.run(time.Second))
	}
	epoch := first.state.leaves[leaf].ownVerdict.Epoch
	require.NoError(t, s.run(2*maxReannounceDelay))
	require.Equal(t, epoch, first.state.leaves[leaf].ownVerdict.Epoch, "the verdict was repeated although nobody disputes it")

	second.state.SetVerdict(leaf, 8, false)
	second.state.RejectVerdict(leaf)
	require.NoError(t, s.run(2*minReannounceDelay))
	require.Zero(t, allowed(second), "the first holder has no verdict on that incarnation")
}

// A host with a newer list is in contact only with a host that is not in the list of
// the others. That contact must not extend its lease, since the others fence it.
func TestContactWithAnUnlistedHostDoesNotCount(t *testing.T) {
	s := settledSim(t, 6)
	s.kill(5)
	s.addView([]int{0, 1, 2, 3, 4})
	for i := range 5 {
		s.setView(i, 1)
	}
	until(t, s, 4*time.Second, s.allUsable)
	s.addView([]int{0, 1, 2, 3, 4, 5})
	s.split(func(i int) bool { return i == 0 || i == 5 })
	s.startProcess(5, 0)
	s.setView(0, 2)
	require.NoError(t, s.run(5*time.Second))
	require.Equal(t, 1.0, s.minUsable())
}

// A silent host needs no contact under its list of two hosts. Processes that start
// with a list of three hosts must not conclude that its lease has ended.
func TestSilenceUnderAListOfTwoIsNoFence(t *testing.T) {
	s := settledSim(t, 3)
	s.addView([]int{0, 1})
	s.setView(0, 1)
	s.setView(1, 1)
	s.setView(2, 1)
	until(t, s, 4*time.Second, s.allUsable)
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

// A host list is replaced by another one, and then by a list equal to the first. A
// host that missed the list in between must not treat its shares as unchanged.
func TestEqualListAfterAMissedOneIsNotSettled(t *testing.T) {
	s := settledSim(t, 4)
	s.split(func(i int) bool { return i == 3 })
	s.addView([]int{0, 1, 2})
	for i := range 3 {
		s.setView(i, 1)
	}
	require.NoError(t, s.run(5*time.Second))
	require.True(t, s.allUsable())
	s.addView([]int{0, 1, 2, 3})
	clear(s.cut)
	s.setView(3, 2)
	require.NoError(t, s.run(time.Second))
	s.kill(1)
	for i := range s.hosts {
		s.reportEnded(i, 1)
	}
	require.NoError(t, s.run(4*time.Second))
	require.Zero(t, s.hosts[3].state.Status().Held)
	require.Empty(t, s.hosts[3].state.Status().Taken)
}

// A process that starts with a new list learns from its peers that a host outside
// the list has not released its shares.
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
	until(t, s, 4*time.Second, s.allUsable)
}

// A fenced host and a process that starts with an old list reach only each other.
// Neither may use shares, since the other hosts have moved them.
func TestStaleProcessCannotAttachAFencedHost(t *testing.T) {
	s := settledSim(t, 6)
	s.split(func(i int) bool { return i == 0 })
	require.NoError(t, s.run(3*time.Second))
	s.addView([]int{1, 2, 3, 4, 5})
	for i := 1; i < 6; i++ {
		s.setView(i, 1)
	}
	until(t, s, 4*time.Second, s.allUsable)
	clear(s.cut)
	s.split(func(i int) bool { return i < 2 })
	s.startProcess(1, 1)
	require.NoError(t, s.run(10*time.Second))
	require.Zero(t, s.hosts[0].state.Status().Held+s.hosts[1].state.Status().Held)
	clear(s.cut)
	s.setView(0, 1)
	s.setView(1, 1)
	until(t, s, 4*time.Second, s.allUsable)
}

// A deputy was fenced while it held proof that the owner's process had ended. When
// it returns, the owner's next process uses the shares, so the old proof must not
// count.
func TestProofOfAnEndedProcessExpires(t *testing.T) {
	s := settledSim(t, 3)
	s.kill(1)
	s.reportEnded(2, 1)
	require.NoError(t, s.run(2*time.Second))
	require.Equal(t, []string{"host-1"}, s.hosts[2].state.Status().Taken)
	s.split(func(i int) bool { return i == 2 })
	s.startProcess(1, 0)
	until(t, s, 6*time.Second, s.allUsable)
	delete(s.cut, [2]int{0, 2})
	delete(s.cut, [2]int{2, 0})
	require.NoError(t, s.run(5*time.Second))
	require.Empty(t, s.hosts[2].state.Status().Taken)
}

// All processes start while one host is silent. They may use shares only once the
// host list has been confirmed after ListLag.
func TestStartBesideASilentHost(t *testing.T) {
	s := newSim(5, 6, Options{ListLag: 10 * time.Second})
	s.kill(5)
	require.NoError(t, s.run(9*time.Second))
	require.Zero(t, s.minUsable())
	require.NoError(t, s.run(2*time.Second))
	for i := range 5 {
		s.setView(i, 0)
	}
	until(t, s, 4*time.Second, s.allUsable)
}

// All hosts lose contact while one of them is dead. After the outage the others use
// all shares again.
func TestOutageBesideASilentHost(t *testing.T) {
	s := settledSim(t, 6)
	s.kill(5)
	until(t, s, 3*time.Second, s.allUsable)
	for i := range s.hosts {
		s.split(func(j int) bool { return j == i })
	}
	require.NoError(t, s.run(3*time.Second))
	require.Zero(t, s.minUsable())
	clear(s.cut)
	until(t, s, 4*time.Second, s.allUsable)
}

// A leaf that moves from another cell is not used until the hosts of that cell have
// released it.
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
	s.Receive(10*time.Second, Heartbeat{From: "b", Incarnation: 1, Session: 1, Seq: 1, Revision: 2, HighestKnown: 2, Released: 2})
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
