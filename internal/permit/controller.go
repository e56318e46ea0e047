// Package permit runs the controller that decides which leaves this node may use
// now. Package share makes the decisions; this package exchanges heartbeats with the
// cell and provides the permits of the holder role.
package permit

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/holder"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/placement"
	"github.com/redwingshelf/redwingshelf/internal/share"
)

const (
	tickInterval   = 100 * time.Millisecond
	statusInterval = time.Second
)

// Options configures a Controller.
type Options struct {
	Share share.Options
	// Send sends a heartbeat to a host. The heartbeat may be lost.
	Send   func(host string, b *share.Heartbeat)
	Logger *zap.Logger
	Scope  tally.Scope
}

// Controller decides which leaves this node may use. It implements holder.Permits.
type Controller struct {
	options Options
	start   time.Time
	locked  *share.Locked
	// leafIDs maps the names of leaves to the identifiers of package placement.
	leafIDs  atomic.Pointer[map[string]string]
	attached atomic.Bool
}

// New returns a Controller. Run must be called to start it.
func New(o Options) (*Controller, error) {
	locked, err := share.NewLocked(o.Share, 0)
	if err != nil {
		return nil, fmt.Errorf("shares of host %q: %w", o.Share.Host, err)
	}
	c := &Controller{options: o, start: time.Now(), locked: locked}
	c.leafIDs.Store(&map[string]string{})
	return c, nil
}

// elapsed returns the time since the start. It must be called with the lock of the
// share state held, so that the times passed to the state do not decrease.
func (c *Controller) elapsed() time.Duration { return time.Since(c.start) }

// SetDocument applies the document in force.
func (c *Controller) SetDocument(loaded *document.Loaded) {
	leafIDs := make(map[string]string, loaded.Index.NumLeaves())
	for id := range document.LeafID(loaded.Index.NumLeaves()) {
		leaf := loaded.Index.Leaf(id)
		service := leaf.Service
		leafIDs[leaf.Name] = placement.LeafID(service.Customer, service.Name, leaf.Instance.Name, leaf.Name)
	}
	c.locked.Do(func(s *share.State) { s.SetDocument(c.elapsed(), loaded.Document) })
	c.leafIDs.Store(&leafIDs)
}

// SetHosts applies a revision of the host list.
func (c *Controller) SetHosts(revision uint64, hosts []placement.Host) error {
	var err error
	c.locked.Do(func(s *share.State) {
		err = s.SetView(c.elapsed(), share.View{Revision: revision, Hosts: hosts})
	})
	return err
}

// Receive processes a heartbeat from another host.
func (c *Controller) Receive(b *share.Heartbeat) {
	c.locked.Do(func(s *share.State) { s.Receive(c.elapsed(), *b) })
}

// ReportEnded records proof that no process of a host is running. See
// share.State.ReportEnded.
func (c *Controller) ReportEnded(host string, incarnation uint64) {
	c.locked.Do(func(s *share.State) { s.ReportEnded(c.elapsed(), host, incarnation) })
}

// Attached reports whether this node has the contact with its cell that it needs to
// use shares, as of the last tick.
func (c *Controller) Attached() bool { return c.attached.Load() }

// StartHandOver permanently ends the use of all shares and passes them to their
// deputies.
func (c *Controller) StartHandOver() {
	c.locked.Do(func(s *share.State) { s.StartHandOver(c.elapsed()) })
}

// Status returns the status of the shares for operators.
func (c *Controller) Status() share.Status {
	var status share.Status
	c.locked.Do(func(s *share.State) { status = s.Status() })
	return status
}

// Run sends heartbeats, updates the metrics and logs changes until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	lastReport := time.Now()
	lastStatus := c.Status()
	periodic.Run(ctx, tickInterval, func() {
		c.tick()
		if time.Since(lastReport) >= statusInterval {
			lastStatus = c.report(lastStatus)
			lastReport = time.Now()
		}
	})
	return nil
}

func (c *Controller) tick() {
	var out []share.Outgoing
	c.locked.Do(func(s *share.State) {
		out = s.Tick(c.elapsed())
		c.attached.Store(s.Attached())
	})
	for i := range out {
		c.options.Send(out[i].To, &out[i].Heartbeat)
	}
}

// report updates the metrics, logs a change since lastStatus and returns the current
// status.
func (c *Controller) report(lastStatus share.Status) share.Status {
	status := c.Status()
	scope := c.options.Scope
	scope.Gauge("owned").Update(float64(status.Owned))
	scope.Gauge("held").Update(float64(status.Held))
	scope.Gauge("conflicts").Update(float64(status.Conflicts))
	changed := status.Attached != lastStatus.Attached || status.Revision != lastStatus.Revision ||
		len(status.Taken) != len(lastStatus.Taken) || len(status.Lent) != len(lastStatus.Lent) || status.Settled != lastStatus.Settled
	if changed {
		c.options.Logger.Info("shares changed",
			zap.Bool("attached", status.Attached),
			zap.Bool("settled", status.Settled),
			zap.Uint64("host_list", status.Revision),
			zap.Int("held", status.Held),
			zap.Strings("taken", status.Taken),
			zap.Strings("lent", status.Lent),
		)
	}
	return status
}

func (c *Controller) leafID(leaf string) string { return (*c.leafIDs.Load())[leaf] }

// Permit implements holder.Permits.
func (c *Controller) Permit(leaf string) holder.Permit {
	leafID := c.leafID(leaf)
	var permit holder.Permit
	c.locked.Do(func(s *share.State) { permit = c.permit(s, leafID, s.Allowed(c.elapsed(), leafID)) })
	return permit
}

// Begin implements holder.Permits.
func (c *Controller) Begin(leaf string) (holder.Permit, bool) {
	leafID := c.leafID(leaf)
	var permit holder.Permit
	var ok bool
	c.locked.Do(func(s *share.State) {
		var allowance share.Allowance
		allowance, ok = s.TryBegin(c.elapsed(), leafID)
		permit = c.permit(s, leafID, allowance)
	})
	return permit, ok
}

// End implements holder.Permits.
func (c *Controller) End(leaf string) {
	leafID := c.leafID(leaf)
	c.locked.Do(func(s *share.State) { s.End(leafID) })
}

// ReportVerdict implements holder.Permits.
func (c *Controller) ReportVerdict(leaf string, incarnation uint64, warm bool) {
	leafID := c.leafID(leaf)
	c.locked.Do(func(s *share.State) { s.SetVerdict(leafID, incarnation, warm) })
}

// RejectPeerVerdict implements holder.Permits.
func (c *Controller) RejectPeerVerdict(leaf string) {
	leafID := c.leafID(leaf)
	c.locked.Do(func(s *share.State) { s.RejectVerdict(leafID) })
}

func (c *Controller) permit(s *share.State, id string, a share.Allowance) holder.Permit {
	permit := holder.Permit{Slots: a.Slots, Connections: a.Connections, HandlesCold: a.HandlesCold}
	if a.Slots == 0 {
		return permit
	}
	permit.CallUntil = c.start.Add(a.CallUntil)
	if verdict, ok := s.PeerVerdict(id); ok && verdict.Warm {
		permit.PeerWarm = verdict.Incarnation
		permit.PeerEpoch = verdict.Epoch
	}
	return permit
}
