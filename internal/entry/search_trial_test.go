package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// fakeFleet implements Router, Holders and Screen with one host that holds all leaves
// of a shard.
type fakeFleet struct {
	index *document.Index
	// mu guards the fields below.
	mu sync.Mutex
	// refused contains the kind with which a leaf refuses each call.
	refused map[string]kind.Kind
	// refusedRun is what refusals say about whether the call has run.
	refusedRun kind.Run
	// silent is set if calls end without a result.
	silent bool
	// called lists the leaves that were called, and permits the permits of the calls.
	called  []string
	permits []*quarantine.Permit
	verdict quarantine.Verdict
	// grantAfter is how long the deciding host takes to grant a permit.
	grantAfter time.Duration
	// granted and returned count the permits that were granted, and those that were
	// returned with nothing sent.
	granted  int
	returned int
	// noSnapshots is set while no leaf reports which snapshot it holds.
	noSnapshots bool
}

func (f *fakeFleet) Index() *document.Index { return f.index }
func (f *fakeFleet) Holders(string) []Host  { return []Host{{Name: "host"}} }
func (f *fakeFleet) Down(string) bool       { return false }

func (f *fakeFleet) Scatter(_ context.Context, _ Host, m *wire.Scatter, to Receiver) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, leaf := range m.Leaves {
		f.called = append(f.called, leaf)
		f.permits = append(f.permits, m.Permit)
		if f.silent {
			continue
		}
		result := &wire.LeafResult{
			RequestID: m.RequestID, Leaf: leaf, Snapshot: heldSnapshot.Snapshot, From: heldSnapshot.From, To: heldSnapshot.To, Body: []byte("{}"),
		}
		if k, refused := f.refused[leaf]; refused {
			result = &wire.LeafResult{RequestID: m.RequestID, Leaf: leaf, Kind: k.String(), Run: string(f.refusedRun)}
		}
		to.Result(result)
	}
	return nil
}

// heldSnapshot is the snapshot that every leaf holds, over the whole key space.
var heldSnapshot = wire.HeldSnapshot{Snapshot: "1-first", To: 65536}

func (f *fakeFleet) Held(_ context.Context, _ Host, m *wire.Held) (*wire.HeldResult, error) {
	result := new(wire.HeldResult)
	if f.noSnapshots {
		return result, nil
	}
	for _, leaf := range m.Leaves {
		result.Leaves = append(result.Leaves, wire.LeafHeld{
			Leaf: leaf, Incarnation: "1", Snapshots: []wire.HeldSnapshot{heldSnapshot},
		})
	}
	return result, nil
}

func (f *fakeFleet) Admit(quarantine.Fingerprint) quarantine.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verdict
}

// after applies a change to the fleet after d.
func (f *fakeFleet) after(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
	})
}

func (f *fakeFleet) Completed(quarantine.Fingerprint) {}
func (f *fakeFleet) Known(quarantine.Fingerprint) []quarantine.Record {
	return nil
}

func (f *fakeFleet) RequestPermit(_ context.Context, fingerprint quarantine.Fingerprint) (*quarantine.Permit, error) {
	time.Sleep(f.grantAfter)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.granted++
	return &quarantine.Permit{Fingerprint: fingerprint, Shard: "s0"}, nil
}

func (f *fakeFleet) Merge([]quarantine.Record) {}

func (f *fakeFleet) EndPermit(_ quarantine.Permit, sent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !sent {
		f.returned++
	}
}

// newStagedRequest returns a fleet of one shard with three replicas, a searcher, a
// staged request, and the leaves in the order of their rank for its content.
func newStagedRequest(t *testing.T) (*fakeFleet, *Searcher, *Request, []string) {
	doc := &document.Document{
		Revision:    1,
		DataCentres: []document.DataCentre{{Name: "tema", Region: "accra"}},
		Deployments: []document.Deployment{{Customer: "adom", Services: []document.Service{{
			Name: "dispatch",
			Instances: []document.Instance{{Name: "t1", DataCentre: "tema", Leaves: []document.Leaf{
				{Name: "t1-0", Shard: "s0"}, {Name: "t1-1", Shard: "s0"}, {Name: "t1-2", Shard: "s0"},
			}}},
		}}}},
	}
	doc.Normalize()
	index := document.NewIndex(doc)
	fleet := &fakeFleet{index: index, refused: map[string]kind.Kind{}, refusedRun: kind.RunNo, verdict: quarantine.Stage}
	r := &Request{
		ID: "r", Customer: "adom", Service: "dispatch", Idempotent: true, Stage: true, Deadline: time.Now().Add(time.Second),
		Fingerprint: quarantine.FingerprintOf("adom", "dispatch", "search", []byte("{}")),
		Target:      index.Service("adom", "dispatch"), Index: index,
	}
	require.NotNil(t, r.Target)
	remaining := []string{"t1-0", "t1-1", "t1-2"}
	var ranked []string
	for len(remaining) > 0 {
		first := quarantine.StageTarget(r.Fingerprint, remaining)
		ranked = append(ranked, first)
		var rest []string
		for _, name := range remaining {
			if name != first {
				rest = append(rest, name)
			}
		}
		remaining = rest
	}
	return fleet, NewSearcher(fleet, fleet, fleet, tally.NoopScope), r, ranked
}

// runStaged runs the content of a request on one leaf, within the request's deadline.
func runStaged(s *Searcher, r *Request) error {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	return s.runFirst(ctx, r, "")
}

func TestStagedContentSkipsDeadLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, searcher, r, ranked := newStagedRequest(t)
		fleet.refused[ranked[0]] = kind.ConnectFailed
		begin := time.Now()
		require.NoError(t, runStaged(searcher, r))
		assert.Equal(t, ranked[:2], fleet.called)
		assert.GreaterOrEqual(t, time.Since(begin), quarantine.SettleLimit, "the content may have caused the death")
	})
}

// TestStagedContentSkipsLeafWithoutHolder guards against waiting until the
// deadline for a leaf that no host can use.
func TestStagedContentSkipsLeafWithoutHolder(t *testing.T) {
	for _, k := range []kind.Kind{kind.NotHolder, kind.Unavailable} {
		synctest.Test(t, func(t *testing.T) {
			fleet, searcher, r, ranked := newStagedRequest(t)
			fleet.refused[ranked[0]] = k
			require.NoError(t, runStaged(searcher, r))
			assert.Equal(t, ranked[0], fleet.called[maxBackoffs], "its shares may move to another host")
			assert.Equal(t, ranked[1], fleet.called[len(fleet.called)-1])
		})
	}
}

func TestStagedContentSkipsDeadLeavesWithinDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, searcher, r, ranked := newStagedRequest(t)
		for _, name := range ranked {
			fleet.refused[name] = kind.ConnectFailed
		}
		err := runStaged(searcher, r)
		assert.Equal(t, kind.ConnectFailed, kind.Of(err))
		assert.Equal(t, kind.RunNo, kind.RunOf(err))
		require.GreaterOrEqual(t, len(fleet.called), 3)
		assert.Equal(t, ranked, fleet.called[:3])
		assert.False(t, time.Now().After(r.Deadline))
	})
}

func TestContentBlamedForDeathIsNotSentToNextLeaf(t *testing.T) {
	for _, c := range []struct {
		verdict quarantine.Verdict
		kind    kind.Kind
		permits int
	}{{quarantine.Refuse, kind.Quarantined, 0}, {quarantine.Trial, 0, 1}} {
		synctest.Test(t, func(t *testing.T) {
			fleet, searcher, r, ranked := newStagedRequest(t)
			fleet.refused[ranked[0]] = kind.ConnectFailed
			fleet.after(quarantine.SettleLimit/2, func() { fleet.verdict = c.verdict })
			err := runStaged(searcher, r)
			if c.permits == 0 {
				assert.Equal(t, c.kind, kind.Of(err))
				assert.Equal(t, kind.RunNo, kind.RunOf(err))
				assert.Equal(t, ranked[:1], fleet.called)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, ranked[:2], fleet.called)
			assert.Nil(t, fleet.permits[0])
			assert.NotNil(t, fleet.permits[1], "suspect content runs only under a permit")
		})
	}
}

func TestStagedContentWaitsForBusyLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, searcher, r, ranked := newStagedRequest(t)
		fleet.refused[ranked[0]] = kind.Overloaded
		fleet.after(firstBackoff/2, func() { delete(fleet.refused, ranked[0]) })
		require.NoError(t, runStaged(searcher, r))
		assert.Equal(t, []string{ranked[0], ranked[0]}, fleet.called)
	})
}

// TestUnusedPermitIsReturned guards against permits that are lost when a query ends
// while a permit request is in flight, or before the permit is used. The deciding host
// grants no other permit until an unused one is returned.
func TestUnusedPermitIsReturned(t *testing.T) {
	t.Run("query ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fleet, searcher, r, ranked := newStagedRequest(t)
			warmUp(t, searcher, r)
			for _, name := range ranked {
				fleet.refused[name] = kind.Quarantined
			}
			fleet.grantAfter = 2 * time.Second
			ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
			defer cancel()
			_, err := searcher.Serve(ctx, r)
			require.Error(t, err)
			time.Sleep(fleet.grantAfter)
			synctest.Wait()
			assert.Equal(t, 1, fleet.granted)
			assert.Equal(t, 1, fleet.returned)
		})
	})
	t.Run("no snapshot", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fleet, searcher, r, _ := newStagedRequest(t)
			fleet.noSnapshots = true
			r.Permit = &quarantine.Permit{Shard: "s0"}
			_, err := searcher.Serve(t.Context(), r)
			assert.Equal(t, kind.Unavailable, kind.Of(err))
			assert.Equal(t, 1, fleet.returned)
		})
	})
}
