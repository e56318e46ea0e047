// Package fleet runs the controller of the fleet's membership. The decisions are
// those of package member; this package exchanges its messages with peers.
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
	// inboxSize bounds the events that wait.
	inboxSize = 1024
	// reportPause is the least time between two reports of changes. It is short beside
	// the time in which a member is found dead.
	reportPause = 50 * time.Millisecond
)

// Options configure a Controller.
type Options struct {
	Member member.Options
	Self   member.Member
	// Send passes a message to a peer address; it may be lost.
	Send func(address string, t wire.Type, message any) bool
	// OnChange is called with all members but the node itself after a change.
	OnChange func(members []member.Member)
	// OnSuperseded is called once a newer process with the node's name is seen.
	OnSuperseded func()
	Logger       *zap.Logger
	Scope        tally.Scope
}

// Controller keeps the node's view of the fleet.
type Controller struct {
	options    Options
	start      time.Time
	events     chan func(now time.Duration) []member.Outgoing
	list       *member.List
	superseded bool
	// changed is set while a change of the view has not been reported.
	changed    bool
	nextReport time.Duration
	// mu guards counts.
	mu     sync.Mutex
	counts map[string]int
}

// New returns a controller; Run starts it.
func New(o Options) *Controller {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Controller{
		options: o,
		start:   time.Now(),
		events:  make(chan func(time.Duration) []member.Outgoing, inboxSize),
		list:    member.New(o.Member, o.Self, 0, rng),
	}
}

// Counts returns the number of known members by state.
func (c *Controller) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Run carries out the list's decisions until ctx ends.
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

// Deliver takes a peer's message. It drops the message if too many wait.
func (c *Controller) Deliver(payload []byte) {
	var e envelope
	if err := wire.Decode(payload, &e); err != nil {
		return
	}
	m, err := e.open()
	if err != nil || m.Sender() == nil {
		return
	}
	from := m.Sender().Address
	c.offer(func(now time.Duration) []member.Outgoing { return c.list.Receive(now, from, m) })
}

// Refused takes the proof that the process at an address has ended.
func (c *Controller) Refused(name, address string) {
	c.offer(func(now time.Duration) []member.Outgoing { return c.list.Refused(now, name, address) })
}

// SetHosts takes the platform's host list.
func (c *Controller) SetHosts(hosts []member.Host) {
	c.offer(func(time.Duration) []member.Outgoing {
		c.list.SetHosts(hosts)
		return nil
	})
}

// SetRecord changes what the node tells of itself.
func (c *Controller) SetRecord(r member.Record) {
	c.offer(func(time.Duration) []member.Outgoing {
		c.list.SetRecord(r)
		return nil
	})
}

// SetLeaving announces that the node stops.
func (c *Controller) SetLeaving() {
	c.offer(func(time.Duration) []member.Outgoing {
		c.list.SetLeaving()
		return nil
	})
}

func (c *Controller) offer(event func(time.Duration) []member.Outgoing) {
	select {
	case c.events <- event:
	default:
		c.options.Scope.Counter("events_dropped").Inc(1)
	}
}

func (c *Controller) send(out []member.Outgoing) {
	for _, o := range out {
		e, err := seal(o.Msg)
		if err != nil {
			c.options.Logger.Error("message can't be encoded", zap.Error(err))
			continue
		}
		c.options.Send(o.To, wire.TypeMember, e)
	}
}

// report passes changes of the view on. After one it waits for reportPause, so that many
// changes at once, as in the start or loss of a data centre, cost each node little.
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
	c.changed, c.nextReport = false, now+reportPause
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
