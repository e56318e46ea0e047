// Package permit runs the controller that decides which leaves this node may use
// now. The decisions are those of package share; this package exchanges the
// heartbeats of the cell and serves the holder role.
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

// Options configure a Controller.
type Options struct {
	Share share.Options
	// Send passes a heartbeat to a host; it may be lost.
	Send   func(host string, b *share.Heartbeat)
	Logger *zap.Logger
	Scope  tally.Scope
}

// Controller decides on the use of leaves. It implements holder.Permits.
type Controller struct {
	options Options
	start   time.Time
	locked  *share.Locked
	// ids maps the names of leaves to the identifiers that placement uses.
	ids      atomic.Pointer[map[string]string]
	attached atomic.Bool
}

// New returns a controller; Run starts it.
func New(o Options) (*Controller, error) {
	locked, err := share.NewLocked(o.Share, 0)
	if err != nil {
		return nil, fmt.Errorf("shares of host %q: %w", o.Share.Host, err)
	}
	c := &Controller{options: o, start: time.Now(), locked: locked}
	c.ids.Store(&map[string]string{})
	return c, nil
}

// now must be read under the lock of the shares, so that it does not decrease.
func (c *Controller) now() time.Duration { return time.Since(c.start) }

// SetDocument takes the document in force.
func (c *Controller) SetDocument(loaded *document.Loaded) {
	ids := make(map[string]string, loaded.Index.NumLeaves())
	for id := range document.LeafID(loaded.Index.NumLeaves()) {
		leaf := loaded.Index.Leaf(id)
		service := leaf.Service
		ids[leaf.Name] = placement.LeafID(service.Customer, service.Name, leaf.Instance.Name, leaf.Name)
	}
	c.locked.Do(func(s *share.State) { s.SetDocument(c.now(), loaded.Document) })
	c.ids.Store(&ids)
}

// SetHosts takes a host list.
func (c *Controller) SetHosts(revision uint64, hosts []placement.Host) error {
	var err error
	c.locked.Do(func(s *share.State) {
		err = s.SetView(c.now(), share.View{Revision: revision, Hosts: hosts})
	})
	return err
}

// Receive takes a heartbeat.
func (c *Controller) Receive(b *share.Heartbeat) {
	c.locked.Do(func(s *share.State) { s.Receive(c.now(), *b) })
}

// ReportEnded takes the proof that a process has ended.
func (c *Controller) ReportEnded(host string, incarnation uint64) {
	c.locked.Do(func(s *share.State) { s.ReportEnded(c.now(), host, incarnation) })
}

// Attached reports whether this node hears from its cell, so that it may use
// shares.
func (c *Controller) Attached() bool { return c.attached.Load() }

// StartHandOver ends the use of all shares for good.
func (c *Controller) StartHandOver() {
	c.locked.Do(func(s *share.State) { s.StartHandOver(c.now()) })
}

// Status returns the state for operators.
func (c *Controller) Status() share.Status {
	var status share.Status
	c.locked.Do(func(s *share.State) { status = s.Status() })
	return status
}

// Run sends heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	reported := time.Now()
	last := c.Status()
	periodic.Run(ctx, tickInterval, func() {
		c.tick()
		if time.Since(reported) >= statusInterval {
			last = c.report(last)
			reported = time.Now()
		}
	})
	return nil
}

func (c *Controller) tick() {
	var out []share.Outgoing
	c.locked.Do(func(s *share.State) {
		out = s.Tick(c.now())
		c.attached.Store(s.Attached())
	})
	for i := range out {
		c.options.Send(out[i].To, &out[i].Heartbeat)
	}
}

// report updates the metrics and logs changes of state.
func (c *Controller) report(last share.Status) share.Status {
	s := c.Status()
	scope := c.options.Scope
	scope.Gauge("owned").Update(float64(s.Owned))
	scope.Gauge("held").Update(float64(s.Held))
	scope.Gauge("conflicts").Update(float64(s.Conflicts))
	changed := s.Attached != last.Attached || s.Revision != last.Revision ||
		len(s.Taken) != len(last.Taken) || len(s.Lent) != len(last.Lent) || s.Settled != last.Settled
	if changed {
		c.options.Logger.Info("shares changed",
			zap.Bool("attached", s.Attached),
			zap.Bool("settled", s.Settled),
			zap.Uint64("host_list", s.Revision),
			zap.Int("held", s.Held),
			zap.Strings("taken", s.Taken),
			zap.Strings("lent", s.Lent),
		)
	}
	return s
}

func (c *Controller) id(leaf string) string { return (*c.ids.Load())[leaf] }

// Permit implements holder.Permits.
func (c *Controller) Permit(leaf string) holder.Permit {
	id := c.id(leaf)
	var permit holder.Permit
	c.locked.Do(func(s *share.State) { permit = c.permit(s, id, s.Allowed(c.now(), id)) })
	return permit
}

// Begin implements holder.Permits.
func (c *Controller) Begin(leaf string) (holder.Permit, bool) {
	id := c.id(leaf)
	var permit holder.Permit
	var ok bool
	c.locked.Do(func(s *share.State) {
		var allowance share.Allowance
		allowance, ok = s.TryBegin(c.now(), id)
		permit = c.permit(s, id, allowance)
	})
	return permit, ok
}

// End implements holder.Permits.
func (c *Controller) End(leaf string) {
	id := c.id(leaf)
	c.locked.Do(func(s *share.State) { s.End(id) })
}

// SetVerdict implements holder.Permits.
func (c *Controller) SetVerdict(leaf string, incarnation uint64, warm bool) {
	id := c.id(leaf)
	c.locked.Do(func(s *share.State) { s.MarkLeaf(id, incarnation, warm) })
}

// RejectVerdict implements holder.Permits.
func (c *Controller) RejectVerdict(leaf string) {
	id := c.id(leaf)
	c.locked.Do(func(s *share.State) { s.RefuteMark(id) })
}

func (c *Controller) permit(s *share.State, id string, a share.Allowance) holder.Permit {
	permit := holder.Permit{Slots: a.Slots, Connections: a.Connections, HandlesCold: a.HandlesCold}
	if a.Slots == 0 {
		return permit
	}
	permit.CallUntil = c.start.Add(a.CallUntil)
	if mark, known := s.Hint(id); known && mark.Warm {
		permit.PeerWarm = mark.Incarnation
		permit.PeerEpoch = mark.Epoch
	}
	return permit
}
