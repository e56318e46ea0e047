package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// peerStub implements relay.GatherClient by a function that stands in for a peer.
type peerStub func(ctx context.Context, c *relay.GatherCall) (*relay.GatherAnswer, bool, error)

func (h peerStub) Gather(ctx context.Context, _ string, c *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
	return h(ctx, c)
}

// singleHelper returns a delegation of whole gathers to one peer.
func singleHelper(name string) relay.Delegation {
	return relay.Delegation{
		Groups: []relay.GatherGroup{{Members: []relay.Helper{{Name: name, Address: name}}}},
		Alive:  map[string]bool{name: true}, MinShards: relay.MinDelegatedShards,
	}
}

var errConnLost = errors.New("connection was lost")

func TestDelegatesGather(t *testing.T) {
	part := relaytest.Answer(200, "own", rec("a"))
	leaves := map[string][]relaytest.Script{}
	for _, s := range gatherRoutes(12, 0.5)[0].Shards {
		leaves[s] = []relaytest.Script{part}
	}
	cases := []struct {
		name     string
		peerStub peerStub
		leaves   map[string][]relaytest.Script
		status   int
		body     string
	}{
		{"peer answers", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return &relay.GatherAnswer{Signatures: []string{"x"}, Missing: 11, Body: []byte(rec("p"))}, true, nil
		}, leaves, 200, rec("p")},
		{"peer can't be reached", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return nil, false, errConnLost
		}, leaves, 200, rec("a") + rec("a") + rec("a")},
		{"connection lost", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return nil, true, errConnLost
		}, leaves, 502, ""},
		{"peer does not answer", func(ctx context.Context, _ *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			<-ctx.Done()
			return nil, true, ctx.Err()
		}, leaves, 504, ""},
		{"peer's table is older", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return &relay.GatherAnswer{Failed: kind.NoConfiguration.String(), Text: "older"}, true, nil
		}, leaves, 200, rec("a") + rec("a") + rec("a")},
		{"peer fails after a leaf may have run it", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return &relay.GatherAnswer{Failed: kind.CoverageTooLow.String(), Text: "4 of 12", MayHaveRun: true}, true, nil
		}, leaves, 502, ""},
		{"peer refuses after a leaf may have run it", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return &relay.GatherAnswer{Failed: kind.Overloaded.String(), Text: "no leaf accepted the request", MayHaveRun: true}, true, nil
		}, leaves, 502, ""},
		{"peer is overloaded", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return &relay.GatherAnswer{Failed: kind.Overloaded.String(), Text: "no capacity in time"}, true, nil
		}, leaves, 503, ""},
		{"connection lost and no leaf", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return nil, true, errConnLost
		}, nil, 502, ""},
		{"peer can't be reached and no leaf", func(context.Context, *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
			return nil, false, errConnLost
		}, nil, 503, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSetup(t, gatherRoutes(12, 0.5), c.leaves)
			s.handler.SetDelegation(singleHelper("big"))
			s.peerStub = c.peerStub
			got := s.do(http.MethodGet, "/all/x", "")
			assert.Equal(t, c.status, got.status)
			if c.body != "" {
				assert.Equal(t, c.body, got.body)
			}
			assert.Less(t, got.took, 3*time.Second)
			if got.status == 502 || c.name == "peer answers" || c.name == "peer is overloaded" {
				for _, list := range s.leaves {
					assert.Empty(t, list[0].Requests(), "the peer may have used up the attempts")
				}
			}
		})
	}
}

func TestServesGatherForPeer(t *testing.T) {
	s := newSetup(t, gatherRoutes(2, 1), map[string][]relaytest.Script{
		"s0": {relaytest.Answer(200, "sig0", rec("a"))},
		"s1": {relaytest.Answer(200, "sig1", rec("b"))},
	})
	call := &relay.GatherCall{
		ID: "req-1", Method: http.MethodGet, URI: "/all/x?q=1", Host: "shop.example", Header: http.Header{relaytest.HeaderID: {"req-1"}},
		Version: 1, Left: time.Second, Within: 100 * time.Millisecond,
	}
	a := s.handler.ServeGather(context.Background(), call)
	assert.Empty(t, a.Failed)
	assert.Equal(t, rec("b")+rec("a"), string(a.Body))
	assert.ElementsMatch(t, []string{"sig0", "sig1"}, a.Signatures)
	call.Version = 2
	a = s.handler.ServeGather(context.Background(), call)
	assert.NotEmpty(t, a.Failed, "the peer's table is newer")
	assert.False(t, a.MayHaveRun)
	call.Version, call.URI = 1, "/none"
	assert.NotEmpty(t, s.handler.ServeGather(context.Background(), call).Failed)
	assert.Zero(t, s.handler.Gathering())
}
