// Package fleet provides the controller of the fleet's membership. Package member makes
// the decisions; this package exchanges its messages with peers.
package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// maxPendingEvents bounds the queue of events.
	maxPendingEvents = 1024
	// minReportInterval is the minimum time between two calls of OnChange. It is short
	// compared with the time that it takes to detect a dead member.
	minReportInterval = 50 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	Member member.Options
	Self   member.Member
	// Send sends a message to the address of a peer; the message may be lost.
	Send func(address string, t wire.Type, message any) bool
	// OnChange is called after changes, with all members except the node itself.
	OnChange func(members []member.Member)
	// OnSuperseded is called once, when a newer process with the node's name is seen.
	OnSuperseded func()
	Logger       *zap.Logger
	Scope        tally.Scope
}

// Controller maintains the node's view of the fleet.
type Controller struct {
	options    Options
	start      time.Time
	events     chan func(now time.Duration) []member.Outgoing
	list       *member.List
	superseded bool
	// changed is set while there are changes that have not been reported.
	changed    bool
	nextReport time.Duration
	// mu guards counts.
	mu     sync.Mutex
	counts map[string]int
}

// New returns a Controller; Run starts it.
func New(o Options) *Controller {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Controller{
		options: o,
		start:   time.Now(),
		events:  make(chan func(time.Duration) []member.Outgoing, maxPendingEvents),
		list:    member.New(o.Member, o.Self, 0, rng),
	}
}

// Counts returns the number of members by state, without the node itself.
func (c *Controller) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Run handles events, sends the resulting messages and reports changes, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		var out []member.Outgoing
		var now time.Duration
		select {
		case <-ctx.Done():
			c.send(c.list.Stop())
			return nil
		case <-ticker.C:
			now = time.Since(c.start)
			out = c.list.Tick(now)
		case event := <-c.events:
			now = time.Since(c.start)
			out = event(now)
		}
		c.send(out)
		c.report(now)
	}
}

// Deliver enqueues a peer's message. It drops the message if it is invalid or if the queue
// of events is full.
func (c *Controller) Deliver(payload []byte) {
	var e envelope
	if err := wire.Decode(payload, &e); err != nil {
		return
	}
	m, err := e.decode()
	if err != nil || m.Sender() == nil {
		return
	}
	from := m.Sender().Address
	c.enqueue(func(now time.Duration) []member.Outgoing { return c.list.Receive(now, from, m) })
}

// Refused reports that an address refused a connection, which proves that the process of
// the named member has ended.
func (c *Controller) Refused(name, address string) {
	c.enqueue(func(now time.Duration) []member.Outgoing { return c.list.Refused(now, name, address) })
}

// SetHosts sets the platform's host list.
func (c *Controller) SetHosts(hosts []member.Host) {
	c.enqueue(func(time.Duration) []member.Outgoing {
		c.list.SetHosts(hosts)
		return nil
	})
}

// SetRecord sets the record that the node publishes about itself.
func (c *Controller) SetRecord(r member.Record) {
	c.enqueue(func(time.Duration) []member.Outgoing {
		c.list.SetRecord(r)
		return nil
	})
}

// SetLeaving announces that the node is about to stop.
func (c *Controller) SetLeaving() {
	c.enqueue(func(time.Duration) []member.Outgoing {
		c.list.SetLeaving()
		return nil
	})
}

// enqueue adds an event to the queue, or drops it if the queue is full.
func (c *Controller) enqueue(event func(time.Duration) []member.Outgoing) {
	select {
	case c.events <- event:
	default:
		c.options.Scope.Counter("events_dropped").Inc(1)
	}
}

func (c *Controller) send(out []member.Outgoing) {
	for _, o := range out {
		e, err := encodeEnvelope(o.Msg)
		if err != nil {
			c.options.Logger.Error("failed to encode message", zap.Error(err))
			continue
		}
		c.options.Send(o.To, wire.TypeMember, e)
	}
}

// report passes changes to OnChange, at most once per minReportInterval, so that many
// changes at once, as when a data centre starts or is lost, cost each node little.
func (c *Controller) report(now time.Duration) {
	if c.list.Superseded() && !c.superseded {
		c.superseded = true
		c.options.Logger.Error("a newer process with this host's name is running")
		c.options.OnSuperseded()
	}
	c.changed = c.changed || len(c.list.Changes()) > 0
	if !c.changed || now < c.nextReport {
		return
	}
	c.changed, c.nextReport = false, now+minReportInterval
	members := c.list.Members()
	counts := map[string]int{}
	for i := range members {
		counts[members[i].State.String()]++
	}
	c.mu.Lock()
	previous := c.counts
	c.counts = counts
	c.mu.Unlock()
	for state, n := range counts {
		c.options.Scope.Tagged(map[string]string{"state": state}).Gauge("members").Update(float64(n))
	}
	if !maps.Equal(counts, previous) {
		c.options.Logger.Info("members changed", zap.Any("members", counts))
	}
	c.options.OnChange(members)
}
