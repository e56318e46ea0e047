package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// newConvergedFleet returns a fleet in which all nodes have joined.
func newConvergedFleet(t require.TestingT, size int, seed uint64) *fleet {
	f := newFleet(size, seed)
	require.Less(t, f.timeToConverge(time.Minute), time.Minute)
	return f
}

func TestJoinDeathAndRestartReachEveryNode(t *testing.T) {
	t.Parallel()
	for _, size := range []int{2, 6, 24, 96, 600} {
		t.Run(fmt.Sprintf("nodes=%d", size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(size, 1)
			join := f.timeToConverge(time.Minute)
			victim := f.nodes[size-1]
			f.stop(victim)
			death := f.timeToConverge(time.Minute)
			f.start(victim)
			restart := f.timeToConverge(time.Minute)
			t.Logf("join %v, death %v, restart %v", join, death, restart)
			require.LessOrEqual(t, join, 20*time.Second)
			require.LessOrEqual(t, death, 15*time.Second)
			require.LessOrEqual(t, restart, 5*time.Second)
			require.Empty(t, f.violations)
		})
	}
}

func TestLossDeclaresNoOneDead(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 10; seed++ {
		f := newConvergedFleet(t, 24, seed)
		f.loss = 0.15
		f.run(20 * time.Minute)
		require.Zero(t, f.totalDeaths(), "seed %d", seed)
	}
}

func TestOneWayPartitionSuspectsNoOne(t *testing.T) {
	f := newConvergedFleet(t, 12, 3)
	a, b := f.nodes[3], f.nodes[4]
	f.blocked = func(from, to *node) bool { return from == a && to == b }
	f.run(5 * time.Minute)
	for _, n := range f.nodes {
		require.Zero(t, n.suspicionsSeen, n.self.Name)
	}
}

func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, size := range []int{6, 96} {
		f := newConvergedFleet(t, size, 4)
		for _, n := range f.nodes {
			n.list.opts.Seeds = nil
		}
		f.blocked = func(from, to *node) bool { return (from.tickOffset < 2) != (to.tickOffset < 2) }
		f.run(10 * time.Minute)
		require.Positive(t, f.totalDeaths())
		f.blocked = func(_, _ *node) bool { return false }
		require.LessOrEqual(t, f.timeToConverge(5*time.Minute), time.Minute)
	}
}

func TestProcessReplacedAtSameAddress(t *testing.T) {
	f := newConvergedFleet(t, 6, 5)
	victim, observer := f.nodes[5], f.nodes[2]
	old := victim.list.Self()
	f.start(victim)
	f.timeToConverge(time.Minute)
	lateGossip := &Gossip{Self: old, Updates: []Member{}}
	lateGossip.Self.Version += 10
	observer.list.Receive(f.now, old.Address, lateGossip)
	require.Equal(t, victim.self.Incarnation, observer.list.table[old.Name].Incarnation)

	f.stop(victim)
	successor := f.add("host-new", victim.self.Address)
	f.run(2 * time.Second)
	require.False(t, observer.list.Alive(old.Name))
	require.True(t, observer.list.Alive(successor.self.Name))
	require.Empty(t, f.violations)
}

func TestOlderProcessLearnsThatItIsSuperseded(t *testing.T) {
	f := newConvergedFleet(t, 6, 6)
	old := f.nodes[5]
	f.run(time.Second)
	f.add(old.self.Name, "10.9.9.9:7400")
	f.run(10 * time.Second)
	require.True(t, old.list.Superseded())
	require.False(t, f.nodes[6].list.Superseded())
}

func TestPauseDeclaresNoOneDead(t *testing.T) {
	f := newConvergedFleet(t, 12, 7)
	pausedNode := f.nodes[3]
	f.run(time.Second)
	pausedNode.list.setState(f.now, pausedNode.list.table[f.nodes[4].self.Name], Suspect)
	pausedNode.paused = true
	f.run(10 * time.Second)
	require.False(t, f.nodes[0].list.Alive(pausedNode.self.Name))
	f.resume(pausedNode)
	require.LessOrEqual(t, f.timeToConverge(time.Minute), 15*time.Second)
	require.Zero(t, pausedNode.deathsSeen)
	require.Equal(t, 1, pausedNode.list.Pauses())
}

func TestRefusedConnectionIsProofUntilRefuted(t *testing.T) {
	f := newConvergedFleet(t, 6, 8)
	victim, alive := f.nodes[5], f.nodes[4]
	f.stop(victim)
	l := f.nodes[0].list
	f.send(f.nodes[0], l.Refused(f.now, victim.self.Name, victim.self.Address))
	require.LessOrEqual(t, f.timeToConverge(time.Minute), time.Second)
	l.Refused(f.now, alive.self.Name, "10.9.9.9:7400")
	require.True(t, l.Alive(alive.self.Name))
	l.Refused(f.now, alive.self.Name, alive.self.Address)
	require.False(t, l.Alive(alive.self.Name))
	require.LessOrEqual(t, f.timeToConverge(time.Minute), 15*time.Second)
}

func TestWrongHostList(t *testing.T) {
	f := newConvergedFleet(t, 6, 9)
	unseeded := f.add("host-lonely", "10.0.9.1:7400")
	unseeded.list.opts.Seeds = nil
	f.nodes[2].list.SetHosts([]Host{{"host-gone", "10.0.9.9:7400"}, {"host-lonely", "10.0.9.1:7400"}})
	require.LessOrEqual(t, f.timeToConverge(time.Minute), 15*time.Second)
	f.nodes[2].list.SetHosts(nil)
	f.run(time.Minute)
	require.True(t, f.converged())
	require.Zero(t, f.totalDeaths())
}

func TestLeavingAndStopAreSpread(t *testing.T) {
	f := newConvergedFleet(t, 24, 10)
	leavingNode := f.nodes[7]
	leavingNode.list.SetLeaving()
	require.LessOrEqual(t, f.timeUntil(time.Minute, f.allSee(leavingNode, Leaving)), 2*time.Second)
	f.send(leavingNode, leavingNode.list.Stop())
	f.stop(leavingNode)
	require.LessOrEqual(t, f.timeUntil(time.Minute, f.allSee(leavingNode, Dead)), 2*time.Second)
}

func TestMessagesAreBounded(t *testing.T) {
	t.Parallel()
	f := newConvergedFleet(t, 600, 11)
	newcomer := f.add("host-new", "10.0.9.1:7400")
	request := &SyncRequest{Self: newcomer.self, Digests: make([]uint32, bucketCount)}
	answers := f.nodes[0].list.Receive(f.now, newcomer.self.Address, request)
	require.Greater(t, len(answers), 5)
	for _, o := range answers {
		encoded, err := msgpack.Marshal(o.Msg)
		require.NoError(t, err)
		require.Less(t, len(encoded), 16<<10)
		var decoded SyncState
		require.NoError(t, msgpack.Unmarshal(encoded, &decoded))
		require.Equal(t, o.Msg, &decoded)
	}
}

// TestAgreementAfterFaults checks that, after any faults have ended, all running nodes agree
// on which nodes are running, and that no node has gone back to an older incarnation.
func TestAgreementAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{2, 3, 6, 12}).Draw(t, "nodes")
		f := newConvergedFleet(t, size, uint64(rapid.Uint32().Draw(t, "seed")))
		for _, n := range f.nodes {
			f.hosts = append(f.hosts, Host{Name: n.self.Name, Address: n.self.Address})
		}
		for range rapid.IntRange(6, 18).Draw(t, "steps") {
			picked := f.nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"stop", "restart", "pause", "wake", "cut", "heal", "loss"}).Draw(t, "step") {
			case "stop":
				f.stop(picked)
			case "restart":
				f.start(picked)
			case "pause":
				picked.paused = picked.list != nil
			case "wake":
				f.resumeAll()
			case "cut":
				f.blocked = func(from, to *node) bool { return from == picked && to != picked }
			case "heal":
				f.blocked = func(_, _ *node) bool { return false }
			case "loss":
				f.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
			}
			f.run(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 3 * time.Second, 20 * time.Second}).Draw(t, "pause"))
		}
		f.blocked, f.loss = func(_, _ *node) bool { return false }, 0
		f.resumeAll()
		require.Less(t, f.timeToConverge(2*time.Minute), 2*time.Minute)
		require.Empty(t, f.violations)
	})
}

func (f *fleet) resumeAll() {
	for _, n := range f.nodes {
		if n.paused && n.list != nil {
			f.resume(n)
		}
	}
}
