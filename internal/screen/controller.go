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
	spreadInterval      = 10 * time.Millisecond
	settlePollInterval  = 2 * time.Millisecond
	permitRetryInterval = 20 * time.Millisecond
	// permitTimeout bounds the wait for the deciding host's answer. The answer takes up
	// to quarantine.SettleLimit if a host does not acknowledge the record.
	permitTimeout = 500 * time.Millisecond
	// latePermitTimeout bounds the call to the deciding host, which continues after
	// permitTimeout so that a late permit can be returned.
	latePermitTimeout = 5 * time.Second
	maxFetchRecords   = 4096
	fetchTimeout      = time.Second
	fetchPeers        = 3
)

// Options configures a Controller.
type Options struct {
	// Host is the name of this host.
	Host  string
	Peers Peers
	// Isolated reports whether this host has not recently heard from one of the live hosts.
	Isolated func() bool
	Logger   *zap.Logger
	Scope    tally.Scope
}

// Controller refuses, stages or admits requests by their content. It is safe for
// concurrent use.
type Controller struct {
	options Options
	start   time.Time
	// wake receives a value when there are records to send.
	wake chan struct{}
	// mu guards tracker and broadcaster.
	mu          sync.Mutex
	tracker     *quarantine.Tracker
	broadcaster quarantine.Broadcaster
}

// New returns a Controller; Run starts it.
func New(o Options) *Controller {
	return &Controller{
		options: o,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		tracker: quarantine.NewTracker(quarantine.DefaultOptions()),
	}
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

// Run sends records to the other hosts until ctx is done.
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

// sendUntilIdle sends records until no delivery is in progress.
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
	return c.broadcaster.Idle()
}

func (c *Controller) sendDue() {
	type message struct {
		host  string
		batch quarantine.Batch
	}
	var due []message
	c.mu.Lock()
	c.broadcaster.Due(c.now(), func(peer string, b quarantine.Batch) { due = append(due, message{peer, b}) })
	c.mu.Unlock()
	for _, m := range due {
		c.options.Peers.SendBatch(m.host, &Batch{From: c.options.Host, Batch: m.batch})
	}
}

// Fetch requests and merges the records of up to fetchPeers other hosts, when this host
// starts.
func (c *Controller) Fetch(ctx context.Context) {
	hosts := c.options.Peers.Hosts()
	for _, host := range hosts[:min(len(hosts), fetchPeers)] {
		askCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		records, err := c.options.Peers.Records(askCtx, host)
		cancel()
		if err == nil {
			c.Merge(records)
		}
	}
}

// Records returns the records for a host that is starting.
func (c *Controller) Records() []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Records(c.now(), maxFetchRecords)
}

// Merge merges records of another host.
func (c *Controller) Merge(records []quarantine.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if c.tracker.Merge(c.now(), r) && r.State == quarantine.Quarantined {
			c.options.Scope.Counter("quarantined").Inc(1)
		}
	}
}

// HandleBatch merges the records of a batch and acknowledges it.
func (c *Controller) HandleBatch(b *Batch) {
	c.Merge(b.Batch.Records)
	c.options.Peers.SendAck(b.From, &Ack{From: c.options.Host, Number: b.Batch.Number})
}

// HandleAck records an acknowledgement.
func (c *Controller) HandleAck(a *Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broadcaster.Acknowledged(a.From, a.Number)
}

// Admit decides on a request at its entry.
func (c *Controller) Admit(f quarantine.Fingerprint) quarantine.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Admit(c.now(), f, c.options.Isolated())
}

// Completed records that a content has completed on all targets of its request.
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

// MaySend decides, at the holder of a target and directly before the send, whether a
// request may be sent. permit is nil for a request that runs without one.
func (c *Controller) MaySend(f quarantine.Fingerprint, permit *quarantine.Permit) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := false
	if permit != nil {
		allowed = c.tracker.UsePermit(c.now(), *permit)
	} else {
		allowed = c.tracker.MaySend(c.now(), f)
	}
	if !allowed {
		return kind.WithRun(kind.Errorf(kind.Quarantined, "a target died while it ran this content"), kind.RunNo)
	}
	return nil
}

// ReturnPermit allows another send under a used permit, because the target has not run
// the content.
func (c *Controller) ReturnPermit(permit quarantine.Permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ReturnPermit(c.now(), permit)
}

// Died records that a target died while it was running a content. It waits until the
// other hosts have the record, at most quarantine.SettleLimit.
func (c *Controller) Died(shard string, f quarantine.Fingerprint) {
	c.mu.Lock()
	records := c.tracker.Died(c.now(), shard, []quarantine.Fingerprint{f})
	c.mu.Unlock()
	c.options.Scope.Counter("suspects").Inc(1)
	c.spreadAndWait(records)
}

// EndTrial records the result of a trial. It waits until the other hosts have the record,
// at most quarantine.SettleLimit.
func (c *Controller) EndTrial(permit quarantine.Permit, result quarantine.TrialResult) {
	c.mu.Lock()
	record, clear := c.tracker.EndTrial(c.now(), permit, result)
	c.mu.Unlock()
	if !clear {
		return
	}
	if record.State == quarantine.Quarantined {
		c.options.Scope.Counter("quarantined").Inc(1)
		c.options.Logger.Warn("request content is quarantined", zap.Binary("fingerprint", permit.Fingerprint[:]))
	}
	c.spreadAndWait([]quarantine.Record{record})
}

// spreadAndWait sends records to the other hosts and waits until each has acknowledged
// them, at most quarantine.SettleLimit.
func (c *Controller) spreadAndWait(records []quarantine.Record) {
	hosts := c.options.Peers.Hosts()
	c.mu.Lock()
	numbers := c.broadcaster.Start(c.now(), records, hosts)
	c.mu.Unlock()
	c.sendDue()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	ticker := time.NewTicker(settlePollInterval)
	defer ticker.Stop()
	for !c.settled(numbers) {
		<-ticker.C
	}
}

func (c *Controller) settled(numbers []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.ContainsFunc(numbers, func(n uint64) bool { return !c.broadcaster.Settled(c.now(), n) })
}

// Decide answers a request for a permit at the deciding host.
func (c *Controller) Decide(known *quarantine.Record) *Answer {
	c.mu.Lock()
	grant, permit, record := c.tracker.RequestPermit(c.now(), *known)
	c.mu.Unlock()
	if grant == quarantine.GrantPermit {
		permit.Host = c.options.Host
		c.spreadAndWait([]quarantine.Record{record})
	}
	return &Answer{Grant: grant, Permit: permit, Record: record}
}

// HandleEnd records, at the deciding host, that a trial has ended.
func (c *Controller) HandleEnd(e *End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.EndPermit(c.now(), e.Permit, e.Sent)
}

// RequestPermit requests a permit from the deciding host. While a trial is running, it
// waits and requests again. It returns a nil permit for a content that is not suspect.
func (c *Controller) RequestPermit(ctx context.Context, f quarantine.Fingerprint) (*quarantine.Permit, error) {
	ticker := time.NewTicker(permitRetryInterval)
	defer ticker.Stop()
	for {
		answer, err := c.requestGrant(ctx, f)
		if err != nil {
			return nil, kind.Errorf(kind.Quarantined, "request a permit for suspect content: %w", err)
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
			return nil, kind.Errorf(kind.Quarantined, "the running trial of this content did not end in time")
		case <-ticker.C:
		}
	}
}

func (c *Controller) requestGrant(ctx context.Context, f quarantine.Fingerprint) (*Answer, error) {
	known := c.Known(f)
	if len(known) == 0 {
		return &Answer{Grant: quarantine.GrantPass}, nil
	}
	decider := c.decider(f)
	if decider == c.options.Host {
		return c.Decide(&known[0]), nil
	}
	answer, err := c.requestGrantFrom(ctx, decider, &known[0])
	if err != nil {
		return nil, err
	}
	c.Merge([]quarantine.Record{answer.Record})
	return answer, nil
}

// requestGrantFrom requests a permit from the deciding host. If a permit arrives after the
// wait for it has ended, it is returned, since the host grants no other one for this
// content until then or until the permit expires.
func (c *Controller) requestGrantFrom(ctx context.Context, decider string, known *quarantine.Record) (*Answer, error) {
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
		return nil, fmt.Errorf("host %q did not answer: %w", decider, waitCtx.Err())
	}
}

func (c *Controller) decider(f quarantine.Fingerprint) string {
	return quarantine.Decider(f, append(c.options.Peers.Hosts(), c.options.Host))
}

// EndPermit reports the end of a trial to the host that granted its permit. sent is false
// if nothing was sent under the permit.
func (c *Controller) EndPermit(permit quarantine.Permit, sent bool) {
	end := &End{Permit: permit, Sent: sent}
	if permit.Host != c.options.Host {
		c.options.Peers.SendEnd(permit.Host, end)
		return
	}
	c.HandleEnd(end)
}
