package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// warmUp serves a request and waits until the retry budget has accumulated retries.
func warmUp(t *testing.T, s *Searcher, r *Request) {
	r.Stage = false
	_, err := s.Serve(t.Context(), r)
	require.NoError(t, err)
	time.Sleep(10 * time.Second)
	r.Deadline = time.Now().Add(time.Second)
}

// TestOverloadedReplicaIsRetriedWhenOthersAreLost guards against giving up a replica
// that is overloaded for a short time while the others cannot be reached.
func TestOverloadedReplicaIsRetriedWhenOthersAreLost(t *testing.T) {
	for _, busy := range []string{"t1-0", "t1-1", "t1-2"} {
		t.Run(busy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet, searcher, r, ranked := newStagedRequest(t)
				warmUp(t, searcher, r)
				for _, name := range ranked {
					fleet.refused[name] = kind.ConnectFailed
				}
				fleet.refused[busy] = kind.Overloaded
				fleet.after(firstBackoff/2, func() { delete(fleet.refused, busy) })
				ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
				defer cancel()
				begin := time.Now()
				answer, err := searcher.Serve(ctx, r)
				require.NoError(t, err)
				assert.True(t, answer.Result.Fraction.Full())
				assert.Less(t, time.Since(begin), 4*firstBackoff)
			})
		})
	}
}

// TestOverloadedReplicasAreNotRetried guards against retries that add to an overload.
// No replica is lost, so that the load exceeds the capacity of the fleet.
func TestOverloadedReplicasAreNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, searcher, r, ranked := newStagedRequest(t)
		warmUp(t, searcher, r)
		fleet.called = nil
		for _, name := range ranked {
			fleet.refused[name] = kind.Overloaded
		}
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		_, err := searcher.Serve(ctx, r)
		assert.Error(t, err)
		assert.LessOrEqual(t, len(fleet.called), len(ranked))
	})
}

// waitingFleet passes on the context of each batch, whose calls wait until it ends.
type waitingFleet struct {
	*fakeFleet
	batches chan context.Context
}

func (f *waitingFleet) Scatter(ctx context.Context, _ Host, _ *wire.Scatter, _ Receiver) error {
	f.batches <- ctx
	<-ctx.Done()
	return ctx.Err()
}

// TestRestartCancelsEarlierCalls guards against calls that wait for slots of leaves although their query has
// begun anew, on another snapshot, and discards their answers.
func TestRestartCancelsEarlierCalls(t *testing.T) {
	fleet, _, r, _ := newStagedRequest(t)
	r.Stage = false
	waiting := &waitingFleet{fleet, make(chan context.Context, 1)}
	run, err := NewSearcher(fleet, waiting, fleet, tally.NoopScope).newRun(t.Context(), r)
	require.NoError(t, err)
	earlier := <-waiting.batches
	require.NoError(t, earlier.Err())
	run.start(snapshot.Plan{})
	require.ErrorIs(t, earlier.Err(), context.Canceled)
}
