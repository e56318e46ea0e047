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
	// names are the hosts that each host takes to be live.
	names []string
	// delay is how long the answer to a request for a permit takes, in nanoseconds.
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

// suspectContent makes a content suspect. It returns the content, the host that decides
// on it and another host.
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

// requirePermit requests a permit, which must be granted within 1 s.
func requirePermit(t *testing.T, c *Controller, content quarantine.Fingerprint) *quarantine.Permit {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	permit, err := c.RequestPermit(ctx, content)
	require.NoError(t, err)
	require.NotNil(t, permit)
	return permit
}

// TestAbandonedPermitIsReturned checks that a permit is returned if the wait for it ends
// before the deciding host's answer arrives, because the caller leaves or the answer is
// late. The host would otherwise grant no other permit until that one expires.
func TestAbandonedPermitIsReturned(t *testing.T) {
	for name, wait := range map[string]time.Duration{"caller leaves": 100 * time.Millisecond, "late answer": time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a", "b", "c")
				content, _, entry := suspectContent(f)
				f.delay.Store(int64(700 * time.Millisecond))
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				start := time.Now()
				_, err := entry.RequestPermit(ctx, content)
				require.Error(t, err)
				assert.LessOrEqual(t, time.Since(start), permitTimeout, "the caller does not wait for the late answer")
				time.Sleep(time.Second)
				f.delay.Store(0)
				requirePermit(t, entry, content)
			})
		})
	}
}

// TestPermitEndsAtTheHostThatGrantedIt checks that the end of a trial is reported to the
// host that granted its permit, even if another host has become the deciding one.
func TestPermitEndsAtTheHostThatGrantedIt(t *testing.T) {
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
