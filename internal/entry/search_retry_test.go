package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/kind"
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
