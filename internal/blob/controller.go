// Package blob provides the controllers that keep the configuration document and the
// host list at the newest revision known in the fleet. It runs the state machine of
// package confsync, reads the platform's service and exchanges messages with peers.
package blob

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/confsync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// readGrace is the time past the wait of a long poll after which the read is
	// canceled.
	readGrace        = 2 * time.Second
	maxPendingEvents = 1024
	// maxConfirmationAge is the maximum age of a read that is reported with
	// OnConfirmed.
	maxConfirmationAge = time.Second
	headerRevision     = "X-Revision"
)

// Options configures a Controller.
type Options struct {
	Sync confsync.Options
	// URL is the URL of the blob in the platform's service.
	URL string
	// Send sends a message to a peer. The message may be lost.
	Send func(address string, t wire.Type, message any) bool
	// OnAccepted is called with each accepted revision, in order.
	OnAccepted func(confsync.Accepted)
	// OnConfirmed is called after a successful read of the service, by this node or
	// a peer, that is at most maxConfirmationAge old when it becomes known. It may be
	// nil.
	OnConfirmed func()
	// OnReady is called once, when the node may serve.
	OnReady func(confsync.BecameReady)
	Logger  *zap.Logger
	Scope   tally.Scope
}

// Controller keeps one blob at the newest revision known in the fleet.
type Controller struct {
	options Options
	client  *http.Client
	start   time.Time
	events  chan func(now time.Duration) []confsync.Action
	wg      sync.WaitGroup
	syncer  *confsync.Syncer
	// confirmedAt is the time of the last read of the service that reportConfirmed
	// has handled.
	confirmedAt time.Duration
	// mu guards state.
	mu    sync.Mutex
	state State
}

// State is the status of a blob.
type State struct {
	Identity   confsync.Identity
	AcceptedAt time.Time
	Ready      bool
}

// New returns a controller; Run starts it.
func New(o Options) *Controller {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Controller{
		options: o,
		client:  &http.Client{},
		start:   time.Now(),
		events:  make(chan func(time.Duration) []confsync.Action, maxPendingEvents),
		syncer:  confsync.New(o.Sync, 0, rng),
	}
}

// State returns the current status.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Run processes events and performs the syncer's actions until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	defer c.wg.Wait()
	ticker := time.NewTicker(confsync.TickInterval)
	defer ticker.Stop()
	for {
		var actions []confsync.Action
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			actions = c.syncer.Tick(time.Since(c.start))
		case event := <-c.events:
			actions = event(time.Since(c.start))
		}
		for _, action := range actions {
			c.perform(ctx, action)
		}
		c.reportConfirmed()
	}
}

// reportConfirmed calls OnConfirmed for a new read of the service that is recent.
func (c *Controller) reportConfirmed() {
	at, confirmed := c.syncer.ConfirmedAt()
	if !confirmed || at <= c.confirmedAt {
		return
	}
	c.confirmedAt = at
	if c.options.OnConfirmed != nil && time.Since(c.start)-at < maxConfirmationAge {
		c.options.OnConfirmed()
	}
}

// Deliver handles a message from a peer. It drops the message if the event queue is
// full.
func (c *Controller) Deliver(payload []byte) {
	var e envelope
	if err := wire.Decode(payload, &e); err != nil || e.Blob != c.options.Sync.Blob {
		return
	}
	m, err := e.decode()
	if err != nil {
		return
	}
	c.enqueue(func(now time.Duration) []confsync.Action { return c.syncer.Receive(now, e.From, m) })
}

// SetMembers sets the alive members of the fleet, excluding this node.
func (c *Controller) SetMembers(members []confsync.Peer) {
	c.enqueue(func(now time.Duration) []confsync.Action { return c.syncer.MembersChanged(now, members) })
}

// enqueue queues an event for Run. It drops the event if the queue is full.
func (c *Controller) enqueue(event func(time.Duration) []confsync.Action) {
	select {
	case c.events <- event:
	default:
		c.options.Scope.Counter("events_dropped").Inc(1)
	}
}

func (c *Controller) perform(ctx context.Context, action confsync.Action) {
	switch a := action.(type) {
	case confsync.Send:
		c.send(a)
	case confsync.Read:
		c.wg.Go(func() { c.read(ctx, a) })
	case confsync.Accepted:
		c.handleAccepted(a)
	case confsync.Rejected:
		c.handleRejected(a)
	case confsync.BecameReady:
		c.handleReady(a)
	}
}

func (c *Controller) send(a confsync.Send) {
	e, err := encodeEnvelope(c.options.Sync.Self.Address, a.Msg)
	if err != nil {
		c.options.Logger.Error("failed to encode message", zap.Error(err))
		return
	}
	c.options.Send(a.To, wire.TypeBlob, e)
}

func (c *Controller) handleAccepted(a confsync.Accepted) {
	c.mu.Lock()
	c.state.Identity = a.Identity
	c.state.AcceptedAt = time.Now()
	c.mu.Unlock()
	c.options.Scope.Counter("accepted").Inc(1)
	c.options.Scope.Gauge("revision").Update(float64(a.Identity.Revision))
	c.options.Logger.Info("revision accepted", zap.String("blob", a.Blob), zap.String("identity", a.Identity.String()), zap.String("source", a.Source))
	c.options.OnAccepted(a)
}

func (c *Controller) handleRejected(a confsync.Rejected) {
	c.options.Scope.Tagged(map[string]string{"reason": a.Reason.String()}).Counter("rejected").Inc(1)
	c.options.Logger.Warn("revision rejected",
		zap.String("blob", a.Blob),
		zap.String("identity", a.Identity.String()),
		zap.String("in_force", a.Current.String()),
		zap.String("source", a.Source),
		zap.Stringer("reason", a.Reason),
		zap.Error(a.Err),
	)
}

func (c *Controller) handleReady(a confsync.BecameReady) {
	c.mu.Lock()
	c.state.Ready = true
	c.mu.Unlock()
	c.options.Logger.Info("ready", zap.String("blob", a.Blob), zap.Bool("unconfirmed", a.Unconfirmed))
	c.options.OnReady(a)
}

func (c *Controller) read(ctx context.Context, r confsync.Read) {
	result := c.fetch(ctx, r)
	event := func(now time.Duration) []confsync.Action { return c.syncer.ReadDone(now, result) }
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// fetch sends one read request to the platform's service.
func (c *Controller) fetch(ctx context.Context, r confsync.Read) confsync.ReadResult {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+readGrace)
	defer cancel()
	c.options.Scope.Counter("reads").Inc(1)
	url := fmt.Sprintf("%s?after=%d&wait=%g", c.options.URL, r.After, r.Wait.Seconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return confsync.ReadResult{ID: r.ID, Err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return confsync.ReadResult{ID: r.ID, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	revision, _ := strconv.ParseUint(response.Header.Get(headerRevision), 10, 64)
	switch response.StatusCode {
	case http.StatusNotModified:
		return confsync.ReadResult{ID: r.ID, Revision: revision}
	case http.StatusOK:
		body, err := io.ReadAll(io.LimitReader(response.Body, confsync.MaxBlobBytes+1))
		return confsync.ReadResult{ID: r.ID, Revision: revision, Body: body, Err: err}
	default:
		return confsync.ReadResult{ID: r.ID, Err: fmt.Errorf("read %s: status %d", c.options.URL, response.StatusCode)}
	}
}
