package screen

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
)

const (
	spreadInterval = 10 * time.Millisecond
	settleInterval = 2 * time.Millisecond
	permitInterval = 20 * time.Millisecond
	// permitTimeout bounds the wait for the deciding host's answer, which takes up to
	// quarantine.SettleLimit where a host does not acknowledge.
	permitTimeout = 500 * time.Millisecond
	// latePermitTimeout is how long a permit that nobody waits for any more is still
	// taken, to give it back.
	latePermitTimeout = 5 * time.Second
	maxRecords        = 4096
	recordsTimeout    = time.Second
	recordsAsked      = 3
)

// Options configure a Controller.
type Options struct {
	// Host is the name of this host.
	Host  string
	Peers Peers
	// Isolated reports that this host has lately not heard from the others.
	Isolated func() bool
	Logger   *zap.Logger
	Scope    tally.Scope
}

// Controller screens requests by their content. It is safe for concurrent use.
type Controller struct {
	options Options
	start   time.Time
	// wake receives when records wait to be sent.
	wake chan struct{}
	// mu guards tracker and spread.
	mu      sync.Mutex
	tracker *quarantine.Tracker
	spread  quarantine.Spread
}

// New returns a controller; Run starts it.
func New(o Options) *Controller {
	return &Controller{
		options: o,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		tracker: quarantine.NewTracker(quarantine.DefaultOptions()),
	}
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Run sends the records that are due until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
			c.sendUntilIdle(ctx)
		}
	}
}

// sendUntilIdle sends records until each host has acknowledged them.
func (c *Controller) sendUntilIdle(ctx context.Context) {
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	for !c.idle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sendDue()
		}
	}
}

func (c *Controller) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spread.Idle()
}

func (c *Controller) sendDue() {
	type message struct {
		host  string
		batch quarantine.Batch
	}
	var due []message
	c.mu.Lock()
	c.spread.Due(c.now(), func(peer string, b quarantine.Batch) { due = append(due, message{peer, b}) })
	c.mu.Unlock()
	for _, m := range due {
		c.options.Peers.SendBatch(m.host, &Batch{From: c.options.Host, Batch: m.batch})
	}
}

// Fetch takes the records of some other hosts over, for a host that starts.
func (c *Controller) Fetch(ctx context.Context) {
	hosts := c.options.Peers.Hosts()
	for _, host := range hosts[:min(len(hosts), recordsAsked)] {
		askCtx, cancel := context.WithTimeout(ctx, recordsTimeout)
		records, err := c.options.Peers.Records(askCtx, host)
		cancel()
		if err == nil {
			c.Merge(records)
		}
	}
}

// Records returns the records for a host that starts.
func (c *Controller) Records() []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Records(c.now(), maxRecords)
}

// Merge takes records of another host over.
func (c *Controller) Merge(records []quarantine.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if c.tracker.Merge(c.now(), r) && r.State == quarantine.Quarantined {
			c.options.Scope.Counter("quarantined").Inc(1)
		}
	}
}

// HandleBatch takes a batch and acknowledges it.
func (c *Controller) HandleBatch(b *Batch) {
	c.Merge(b.Batch.Records)
	c.options.Peers.SendAck(b.From, &Ack{From: c.options.Host, Number: b.Batch.Number})
}

// HandleAck takes an acknowledgement.
func (c *Controller) HandleAck(a *Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spread.Acknowledged(a.From, a.Number)
}

// Admit decides on a request at its entry.
func (c *Controller) Admit(f quarantine.Fingerprint) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Admit(c.now(), f, c.options.Isolated())
}

// Completed records that a request has completed on all its targets.
func (c *Controller) Completed(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Completed(f)
}

// Known returns the record of a content as a list of at most one.
func (c *Controller) Known(f quarantine.Fingerprint) []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, known := c.tracker.Known(c.now(), f); known {
		return []quarantine.Record{r}
	}
	return nil
}

// MaySend decides at a holder, directly before the send. permit is nil for a
// request that runs without one.
func (c *Controller) MaySend(f quarantine.Fingerprint, permit *quarantine.Permit) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	may := false
	if permit != nil {
		may = c.tracker.UsePermit(c.now(), *permit)
	} else {
		may = c.tracker.MaySend(c.now(), f)
	}
	if !may {
		return kind.WithRun(kind.Errorf(kind.Quarantined, "a target died while it ran this content"), kind.RunNo)
	}
	return nil
}

// ReturnPermit gives a used permit back, where the target has not run the content.
func (c *Controller) ReturnPermit(permit quarantine.Permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ReturnPermit(c.now(), permit)
}

// Died records that a target died while it ran a content, and waits until the
// other hosts know.
func (c *Controller) Died(shard string, f quarantine.Fingerprint) {
	c.mu.Lock()
	records := c.tracker.Died(c.now(), shard, []quarantine.Fingerprint{f})
	c.mu.Unlock()
	c.options.Scope.Counter("suspects").Inc(1)
	c.tell(records)
}

// EndTrial records the end of a trial, and waits until the other hosts know.
func (c *Controller) EndTrial(permit quarantine.Permit, end quarantine.TrialResult) {
	c.mu.Lock()
	record, clear := c.tracker.EndTrial(c.now(), permit, end)
	c.mu.Unlock()
	if !clear {
		return
	}
	if record.State == quarantine.Quarantined {
		c.options.Scope.Counter("quarantined").Inc(1)
		c.options.Logger.Warn("request content is quarantined", zap.Binary("fingerprint", permit.Fingerprint[:]))
	}
	c.tell([]quarantine.Record{record})
}

// tell spreads records and waits until each host has acknowledged them, at most
// quarantine.SettleLimit.
func (c *Controller) tell(records []quarantine.Record) {
	hosts := c.options.Peers.Hosts()
	c.mu.Lock()
	numbers := c.spread.Start(c.now(), records, hosts)
	c.mu.Unlock()
	c.sendDue()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for !c.settled(numbers) {
		<-ticker.C
	}
}

func (c *Controller) settled(numbers []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.ContainsFunc(numbers, func(n uint64) bool { return !c.spread.Settled(c.now(), n) })
}

// Decide answers a request for a permit at the deciding host.
func (c *Controller) Decide(known *quarantine.Record) *Answer {
	c.mu.Lock()
	grant, permit, record := c.tracker.RequestPermit(c.now(), *known)
	c.mu.Unlock()
	if grant == quarantine.GrantPermit {
		permit.Host = c.options.Host
		c.tell([]quarantine.Record{record})
	}
	return &Answer{Grant: grant, Permit: permit, Record: record}
}

// HandleEnd takes the end of a trial at the deciding host.
func (c *Controller) HandleEnd(e *End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.EndPermit(c.now(), e.Permit, e.Sent)
}

// RequestPermit asks the deciding host for a permit, waiting while a trial runs.
// It returns nil for a content that is no longer suspect.
func (c *Controller) RequestPermit(ctx context.Context, f quarantine.Fingerprint) (*quarantine.Permit, error) {
	ticker := time.NewTicker(permitInterval)
	defer ticker.Stop()
	for {
		answer, err := c.ask(ctx, f)
		if err != nil {
			return nil, kind.Errorf(kind.Quarantined, "ask for a trial of a suspect content: %w", err)
		}
		switch answer.Grant {
		case quarantine.GrantPass:
			return nil, nil
		case quarantine.GrantPermit:
			return &answer.Permit, nil
		case quarantine.GrantRefused:
			return nil, kind.Errorf(kind.Quarantined, "targets died while they ran this content")
		}
		select {
		case <-ctx.Done():
			return nil, kind.Errorf(kind.Quarantined, "the trial of this content has not ended in time")
		case <-ticker.C:
		}
	}
}

func (c *Controller) ask(ctx context.Context, f quarantine.Fingerprint) (*Answer, error) {
	known := c.Known(f)
	if len(known) == 0 {
		return &Answer{Grant: quarantine.GrantPass}, nil
	}
	decider := c.decider(f)
	if decider == c.options.Host {
		return c.Decide(&known[0]), nil
	}
	answer, err := c.askPeer(ctx, decider, &known[0])
	if err != nil {
		return nil, err
	}
	c.Merge([]quarantine.Record{answer.Record})
	return answer, nil
}

// askPeer asks the deciding host. If the answer comes after the wait for it has ended,
// its permit is given back, since the host gives no other one until then.
func (c *Controller) askPeer(ctx context.Context, decider string, known *quarantine.Record) (*Answer, error) {
	type reply struct {
		answer *Answer
		err    error
	}
	replies := make(chan reply)
	waitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	go func() {
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), latePermitTimeout)
		defer cancel()
		answer, err := c.options.Peers.RequestPermit(askCtx, decider, known)
		select {
		case replies <- reply{answer, err}:
		case <-waitCtx.Done():
			if err == nil && answer.Grant == quarantine.GrantPermit {
				c.options.Scope.Counter("late_permits").Inc(1)
				c.EndPermit(answer.Permit, false)
			}
		}
	}()
	select {
	case r := <-replies:
		return r.answer, r.err
	case <-waitCtx.Done():
		return nil, fmt.Errorf("host %q has not answered: %w", decider, waitCtx.Err())
	}
}

func (c *Controller) decider(f quarantine.Fingerprint) string {
	return quarantine.Decider(f, append(c.options.Peers.Hosts(), c.options.Host))
}

// EndPermit tells the host that gave a permit that the trial has ended.
func (c *Controller) EndPermit(permit quarantine.Permit, sent bool) {
	end := &End{Permit: permit, Sent: sent}
	if permit.Host != c.options.Host {
		c.options.Peers.SendEnd(permit.Host, end)
		return
	}
	c.HandleEnd(end)
}
