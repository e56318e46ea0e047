package confsync

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testDocumentBytes = 2000

// startedFleet returns a fleet of which all nodes are ready at the given revision.
func startedFleet(t require.TestingT, n int, seed, revision uint64) *fleet {
	f := newFleet(n, seed)
	f.publish(document(revision, "a", testDocumentBytes))
	f.startAll()
	f.converge(revision, time.Minute)
	require.Equal(t, n, f.countReady(revision))
	return f
}

func rejections(f *fleet, reason Reason) int {
	count := 0
	for _, n := range f.nodes {
		for _, r := range n.rejected {
			if r.Reason == reason {
				count++
			}
		}
	}
	return count
}

func TestChangeReachesEveryNode(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 2, 6, 24, 96, 600} {
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprintf("nodes=%d,loss=%v", n, loss), func(t *testing.T) {
				t.Parallel()
				f := startedFleet(t, n, 1, 1)
				f.loss = loss
				f.run(20 * time.Second)
				f.publish(document(2, "a", testDocumentBytes))
				took := f.converge(2, time.Minute)
				t.Logf("accepted by all nodes after %v", took)
				require.LessOrEqual(t, took, 3*time.Second)
				require.Empty(t, f.violations)
			})
		}
	}
}

func TestRapidChangesConvergeOnTheLastRevision(t *testing.T) {
	f := startedFleet(t, 24, 2, 1)
	f.loss = 0.1
	for revision := uint64(2); revision <= 9; revision++ {
		f.publish(document(revision, "a", testDocumentBytes))
		f.run(50 * time.Millisecond)
	}
	require.LessOrEqual(t, f.converge(9, time.Minute), 5*time.Second)
	require.Empty(t, f.violations)
}

func TestFleetStartStaysWithinTheReadBudget(t *testing.T) {
	t.Parallel()
	for _, serviceDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("down=%v", serviceDown), func(t *testing.T) {
			t.Parallel()
			f := newFleet(600, 3)
			f.publish(document(1, "a", testDocumentBytes))
			f.serviceDown = serviceDown
			f.startAll()
			took := f.converge(1, 30*time.Second)
			t.Logf("ready after %v, %d reads, at most %d in a second", took, len(f.reads), f.maxReadRate())
			f.run(30*time.Second - took)
			require.LessOrEqual(t, f.maxReadRate(), 200)
			if !serviceDown {
				require.Equal(t, 600, f.countReady(1))
			}
		})
	}
}

func TestReadRateWhenAllNodesAreIsolated(t *testing.T) {
	t.Parallel()
	f := startedFleet(t, 600, 13, 1)
	for i, n := range f.nodes {
		f.partition[n.self.Name] = i
	}
	f.run(30 * time.Second)
	f.reads = nil
	f.run(time.Minute)
	t.Logf("%d reads in a minute, at most %d in a second", len(f.reads), f.maxReadRate())
	require.LessOrEqual(t, f.maxReadRate(), 200)
	f.publish(document(2, "a", testDocumentBytes))
	require.LessOrEqual(t, f.converge(2, time.Minute), 15*time.Second)
	t.Logf("at most %d reads in a second after a change", f.maxReadRate())
	require.LessOrEqual(t, f.maxReadRate(), 2000)
}

func TestWrongDeltaFallsBackToFullFetch(t *testing.T) {
	f := startedFleet(t, 24, 14, 1)
	for _, n := range f.nodes {
		n.syncer.opts.Differ = wrongDiffer{}
	}
	f.publish(document(2, "a", testDocumentBytes))
	require.LessOrEqual(t, f.converge(2, time.Minute), 5*time.Second)
	require.Positive(t, rejections(f, IdentityMismatch))
}

type wrongDiffer struct{ headDiffer }

func (wrongDiffer) Apply(_, _ []byte) ([]byte, error) {
	return document(2, "wrong", testDocumentBytes), nil
}

func TestDocumentRejectedByOneNodeIsNotFetchedAgain(t *testing.T) {
	f := startedFleet(t, 6, 15, 1)
	rejecting := f.nodes[4].syncer
	rejecting.opts.Check = func(data []byte) (Identity, error) {
		if id, err := check(data); err != nil || id.Revision != 2 {
			return id, err
		}
		return Identity{}, errors.New("revision 2 is rejected by this node")
	}
	f.publish(document(2, "a", testDocumentBytes))
	f.run(5 * time.Minute)
	require.Equal(t, 5, f.countReady(2))
	require.LessOrEqual(t, rejections(f, CheckFailed), 2)
	f.publish(document(3, "a", testDocumentBytes))
	require.LessOrEqual(t, f.converge(3, time.Minute), 5*time.Second)
}

func TestRejectedDocumentLeavesThePreviousOneCurrent(t *testing.T) {
	f := startedFleet(t, 6, 4, 1)
	f.reads = nil
	f.publish(document(2, "bad", testDocumentBytes))
	f.run(time.Minute)
	require.Equal(t, 6, f.countReady(1))
	require.Positive(t, rejections(f, CheckFailed))
	require.Less(t, len(f.reads), 120)
	f.publish(document(3, "a", testDocumentBytes))
	require.LessOrEqual(t, f.converge(3, time.Minute), 5*time.Second)
}

func TestSameRevisionWithOtherBytesIsRejected(t *testing.T) {
	f := startedFleet(t, 6, 5, 7)
	before := f.nodes[0].syncer.Identity()
	f.publish(document(7, "b", testDocumentBytes))
	f.start(f.nodes[5])
	f.run(time.Minute)
	for _, n := range f.nodes {
		require.Equal(t, before, n.syncer.Identity(), n.self.Name)
	}
	require.Positive(t, rejections(f, DigestConflict))
}

func TestReadersDetectOtherBytesOfTheCurrentRevision(t *testing.T) {
	f := startedFleet(t, 6, 6, 7)
	f.publish(document(7, "b", testDocumentBytes))
	f.run(11 * time.Minute)
	require.Positive(t, rejections(f, DigestConflict))
	require.Equal(t, 6, f.countReady(7))
}

func TestRestartsWhileTheServiceIsStale(t *testing.T) {
	for _, n := range []int{6, 96} {
		f := startedFleet(t, n, 7, 9)
		f.publish(document(5, "a", testDocumentBytes))
		for _, restarted := range f.nodes[1:] {
			f.start(restarted)
		}
		require.LessOrEqual(t, f.converge(9, time.Minute), 10*time.Second)
		require.Empty(t, f.violations)
		f.run(time.Minute)
		require.Equal(t, n, f.countReady(9))
		require.Positive(t, rejections(f, ServiceBehind))
	}
}

// A restart of all nodes while the service is stale loses the newest revision. A node
// with a minimum revision does not serve an older one.
func TestRestartOfAllWhileTheServiceIsStale(t *testing.T) {
	f := startedFleet(t, 6, 8, 9)
	f.publish(document(5, "a", testDocumentBytes))
	for _, n := range f.nodes {
		n.syncer = nil
	}
	f.startAll()
	f.nodes[0].syncer.opts.MinimumRevision = 9
	f.run(10 * time.Second)
	require.Equal(t, 5, f.countReady(5))
	require.False(t, f.nodes[0].syncer.Ready())
	f.publish(document(10, "a", testDocumentBytes))
	f.run(10 * time.Second)
	require.Equal(t, 6, f.countReady(10))
}

func TestServiceDown(t *testing.T) {
	f := startedFleet(t, 6, 9, 3)
	f.serviceDown = true
	f.start(f.nodes[2])
	require.LessOrEqual(t, f.converge(3, time.Minute), 10*time.Second)
	f.reads = nil
	f.run(time.Minute)
	require.Less(t, len(f.reads), 6*12)
	f.serviceDown = false
	f.publish(document(4, "a", testDocumentBytes))
	require.LessOrEqual(t, f.converge(4, time.Minute), 35*time.Second)
}

func TestNextRankReadsWhenTheFirstStops(t *testing.T) {
	f := startedFleet(t, 6, 10, 1)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		if n.syncer.reader.rank == 0 {
			n.syncer = nil
		}
	}
	f.nodes = append([]*node(nil), f.running()...)
	f.run(2 * time.Second)
	f.publish(document(2, "a", testDocumentBytes))
	require.LessOrEqual(t, f.converge(2, time.Minute), 3*time.Second)
}

func TestOthersReadWhenReadersAreCutOffFromTheService(t *testing.T) {
	for _, tc := range []struct {
		readFault readFault
		ranks     int
		nodes     int
	}{
		{readFails, readersPerDataCentre, 9},
		{readHangs, 1, 24},
	} {
		f := startedFleet(t, tc.nodes, 12, 1)
		f.run(5 * time.Second)
		for _, n := range f.nodes {
			if n.syncer.reader.rank < tc.ranks {
				n.readFault = tc.readFault
			}
		}
		f.run(25 * time.Second)
		f.publish(document(2, "a", testDocumentBytes))
		require.LessOrEqual(t, f.converge(2, time.Minute), 5*time.Second)
	}
}

func (f *fleet) running() []*node {
	var running []*node
	for _, n := range f.nodes {
		if n.syncer != nil {
			running = append(running, n)
		}
	}
	return running
}

func TestFetchInChunksSurvivesLoss(t *testing.T) {
	f := startedFleet(t, 6, 11, 1)
	f.loss = 0.2
	for _, n := range f.nodes {
		n.syncer.history.differ = noDiffer{}
	}
	f.publish(document(2, "a", 470<<10))
	require.LessOrEqual(t, f.converge(2, time.Minute), 15*time.Second)
	for _, n := range f.nodes {
		require.Empty(t, n.rejected)
	}
	f.publish(document(1, "a", testDocumentBytes))
	f.start(f.nodes[0])
	require.LessOrEqual(t, f.converge(2, time.Minute), 30*time.Second)
	require.Empty(t, f.violations)
}

type noDiffer struct{ headDiffer }

func (noDiffer) Delta(_, _ []byte) []byte { return nil }

// TestLargeDocumentsReachNodesOnNarrowLinks guards against documents whose transfers time out on
// links of 20 Mbit/s and start over until they fill the links. Differences can't be used.
func TestLargeDocumentsReachNodesOnNarrowLinks(t *testing.T) {
	const size, linkRate = 470 << 10, 20_000_000 / 8
	f := startedFleet(t, 58, 25, 1)
	f.linkRate = linkRate
	for _, n := range f.nodes {
		n.syncer.history.differ = noDiffer{}
	}
	sent := func() (total int) {
		for _, n := range f.nodes {
			total += n.bytesSent
		}
		return total
	}
	before := sent()
	f.publish(document(2, "a", size))
	f.run(3 * time.Second)
	f.publish(document(3, "a", size))
	require.LessOrEqual(t, f.converge(3, time.Minute), 5*time.Second)
	// Each revision is sent to each node once, and the rest is announcements.
	require.LessOrEqual(t, sent()-before, 2*len(f.nodes)*size*11/10)
	before = sent()
	f.run(5 * time.Second)
	require.Less(t, sent()-before, len(f.nodes)*linkRate/100)
}

// A node never returns to an older revision within an incarnation, and doesn't become
// ready with an older revision than its reachable ready peers had when it started.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 6, 12}).Draw(t, "nodes")
		f := startedFleet(t, n, rapid.Uint64().Draw(t, "seed"), 1)
		newest := uint64(1)
		for range rapid.IntRange(8, 25).Draw(t, "steps") {
			picked := f.nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"publish", "stale", "down", "restart", "cut", "heal", "loss"}).Draw(t, "step") {
			case "publish":
				newest++
				f.publish(document(newest, "a", testDocumentBytes))
			case "stale":
				f.publish(document(rapid.Uint64Range(1, newest).Draw(t, "stale"), "a", testDocumentBytes))
			case "down":
				f.serviceDown = !f.serviceDown
			case "restart":
				f.start(picked)
			case "cut":
				f.isolate(picked)
			case "heal":
				clear(f.partition)
			case "loss":
				f.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
			}
			f.run(rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, time.Second, 8 * time.Second}).Draw(t, "pause"))
		}
		require.Empty(t, f.violations)
	})
}
