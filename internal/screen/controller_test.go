package screen

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

// fleet connects controllers in memory.
type fleet struct {
	hosts map[string]*Controller
	// names are the hosts that each host counts as live.
	names []string
	// delay is how long an answer with a permit takes, in nanoseconds.
	delay atomic.Int64
}

// fleetPeers is one host's view of the fleet.
type fleetPeers struct {
	fleet *fleet
	self  string
}

func newFleet(names ...string) *fleet {
	f := &fleet{hosts: map[string]*Controller{}, names: names}
	for _, name := range names {
		f.hosts[name] = New(Options{
			Host: name, Peers: &fleetPeers{f, name}, Isolated: func() bool { return false },
			Logger: zap.NewNop(), Scope: tally.NoopScope,
		})
	}
	return f
}

func (p *fleetPeers) Hosts() []string {
	var names []string
	for _, name := range p.fleet.names {
		if name != p.self {
			names = append(names, name)
		}
	}
	return names
}

func (p *fleetPeers) SendBatch(host string, b *Batch) { p.fleet.hosts[host].HandleBatch(b) }

func (p *fleetPeers) SendAck(host string, a *Ack) { p.fleet.hosts[host].HandleAck(a) }

func (p *fleetPeers) SendEnd(host string, e *End) { p.fleet.hosts[host].HandleEnd(e) }

func (p *fleetPeers) RequestPermit(ctx context.Context, host string, known *quarantine.Record) (*Answer, error) {
	answer := p.fleet.hosts[host].Decide(known)
	select {
	case <-time.After(time.Duration(p.fleet.delay.Load())):
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *fleetPeers) Records(context.Context, string) ([]quarantine.Record, error) { return nil, nil }

// suspectContent makes a content suspect and returns it with the host that decides on it
// and one that does not.
func suspectContent(f *fleet) (content quarantine.Fingerprint, decider, entry *Controller) {
	content = quarantine.Fingerprint{1}
	name := quarantine.Decider(content, f.names)
	decider = f.hosts[name]
	for _, other := range f.names {
		if other != name {
			entry = f.hosts[other]
		}
	}
	entry.Died("shard", content)
	return content, decider, entry
}

// requirePermit asks for a permit, which must be granted within the time of a caller.
func requirePermit(t *testing.T, c *Controller, content quarantine.Fingerprint) *quarantine.Permit {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	permit, err := c.RequestPermit(ctx, content)
	require.NoError(t, err)
	require.NotNil(t, permit)
	return permit
}

// TestPermitThatNobodyWaitsForIsGivenBack ends the wait for a permit before the deciding
// host's answer arrives, since the caller leaves or the answer is late.
func TestPermitThatNobodyWaitsForIsGivenBack(t *testing.T) {
	for name, wait := range map[string]time.Duration{"caller leaves": 100 * time.Millisecond, "late answer": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a", "b", "c")
				content, _, entry := suspectContent(f)
				f.delay.Store(int64(700 * time.Millisecond))
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				begin := time.Now()
				_, err := entry.RequestPermit(ctx, content)
				require.Error(t, err)
				assert.LessOrEqual(t, time.Since(begin), permitTimeout, "the caller's answer does not wait")
				time.Sleep(time.Second)
				f.delay.Store(0)
				requirePermit(t, entry, content)
			})
		})
	}
}

// TestPermitEndsAtTheHostThatGaveIt ends a trial once another host decides.
func TestPermitEndsAtTheHostThatGaveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		content, decider, entry := suspectContent(f)
		permit := requirePermit(t, entry, content)
		all := f.names
		synctest.Wait()
		f.names = []string{entry.options.Host}
		entry.EndPermit(*permit, false)
		f.names = all
		again := requirePermit(t, entry, content)
		assert.Equal(t, decider.options.Host, again.Host)
	})
}
