// Package node assembles one redwingshelf process: the entry and holder roles,
// the state controllers, and the listeners for callers, peers and operators.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/blob"
	"github.com/redwingshelf/redwingshelf/internal/callerconn"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/fleet"
	"github.com/redwingshelf/redwingshelf/internal/holder"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/once"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/permit"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
	"github.com/redwingshelf/redwingshelf/internal/routing"
	"github.com/redwingshelf/redwingshelf/internal/screen"
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// shutdownTimeout bounds the time for requests in flight to finish and for the
// hand-over of tickets and shares, after the wait for the balancer.
const shutdownTimeout = 60 * time.Second

// Node is one process of the tier.
type Node struct {
	settings         *settings.Settings
	logger           *zap.Logger
	scope            tally.Scope
	metrics          http.Handler
	closer           io.Closer
	incarnation      uint64
	listeners        listeners
	table            *routing.Table
	targets          *targetAddresses
	fleet            *fleet.Controller
	permits          *permit.Controller
	lastIncarnations incarnationTable
	screen           *screen.Controller
	holder           *holder.Holder
	pool             *peer.Pool
	peerServer       *peer.Server
	callerServer     *http.Server
	callers          *callerconn.Listener
	operatorServer   *http.Server
	self             once.Process
	tickets          *entry.Tickets
	forwardHandler   entry.Handler
	// lastChecked is the document that checkDocument loaded last. Only the goroutine
	// of the configuration controller uses it.
	lastChecked *document.Loaded
	// hostList is the host list in force. Only the goroutine of its controller uses it.
	hostList    *hostlist.List
	config      *blob.Controller
	hosts       *blob.Controller
	configReady chan struct{}
	hostsReady  chan struct{}
	// failed receives the error that stops the node.
	failed   chan error
	ready    atomic.Bool
	stopping atomic.Bool
}

// listeners are the listening sockets of a node.
type listeners struct {
	http net.Listener
	ops  net.Listener
	peer net.Listener
}

// New returns a node with open listeners. Run starts it.
func New(s *settings.Settings, logger *zap.Logger) (*Node, error) {
	open, err := listen(s)
	if err != nil {
		return nil, err
	}
	data := dataBytes(s.Limits)
	n := &Node{
		settings:    s,
		logger:      logger.With(zap.String("host", s.Name)),
		incarnation: uint64(time.Now().UnixNano()),
		listeners:   *open,
		table:       routing.New(s.Name),
		targets:     newTargetAddresses(s.Targets, data),
		configReady: make(chan struct{}),
		hostsReady:  make(chan struct{}),
		failed:      make(chan error, 1),
	}
	n.scope, n.metrics, n.closer = newScope(s)
	hello := wire.Hello{Host: s.Name, Incarnation: n.incarnation}
	traffic := peer.NewTraffic(n.scope.SubScope("peer"))
	n.pool = peer.NewPool(hello, traffic, &dialObserver{node: n})
	n.fleet = n.newFleet()
	n.permits, err = n.newPermits()
	if err != nil {
		open.close()
		return nil, err
	}
	n.screen = n.newScreen()
	n.holder = holder.New(n.permits, n.screen, n.targets, reqlog.New(n.logger, n.scope, time.Now), n.scope)
	n.self = n.newProcess()
	n.tickets = entry.NewTickets(n.self, &holders{node: n}, once.OptionsFor(data))
	n.peerServer = peer.NewServer(open.peer, hello, traffic, &peerHandler{node: n})
	n.config = n.newConfigController()
	n.hosts = n.newHostsController()
	n.callers = callerconn.Listen(open.http, callerconn.Limits(data, maxFiles(s.Limits)), n.scope.SubScope("callers"))
	n.callerServer = n.newCallerServer(data)
	n.operatorServer = n.newOperatorServer()
	return n, nil
}

func listen(s *settings.Settings) (*listeners, error) {
	var open listeners
	for _, l := range []struct {
		address string
		at      *net.Listener
	}{{s.HTTPListen, &open.http}, {s.OpsListen, &open.ops}, {s.PeerListen, &open.peer}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			open.close()
			return nil, fmt.Errorf("listen at %s: %w", l.address, err)
		}
		*l.at = listener
	}
	return &open, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.http, l.ops, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until ctx ends, and then stops without interrupting requests in flight,
// which have shutdownTimeout to finish. A receive from skipLag ends the wait for the
// balancer early and has no other effect.
func (n *Node) Run(ctx context.Context, skipLag <-chan os.Signal) error {
	defer func() { _ = n.closer.Close() }()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(runCtx)
	group.Go(n.peerServer.Serve)
	group.Go(func() error { return serve(n.callerServer, n.callers) })
	group.Go(func() error {
		return serve(n.operatorServer, callerconn.ListenForOperators(n.listeners.ops, n.scope.SubScope("operators")))
	})
	group.Go(func() error { return n.config.Run(groupCtx) })
	group.Go(func() error { return n.hosts.Run(groupCtx) })
	group.Go(func() error { return n.holder.Run(groupCtx) })
	group.Go(func() error { return n.permits.Run(groupCtx) })
	group.Go(func() error { return n.fleet.Run(groupCtx) })
	group.Go(func() error { return n.screen.Run(groupCtx) })
	group.Go(func() error { return n.becomeReady(groupCtx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return n.stop(skipLag)
		case err := <-n.failed:
			return errors.Join(err, n.close())
		case <-groupCtx.Done():
			return n.close()
		}
	})
	n.logger.Info("node started", zap.Uint64("incarnation", n.incarnation))
	err := group.Wait()
	n.logger.Info("node stopped")
	return err
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop shuts the node down gracefully: it reports the node as not ready, keeps
// serving for the balancer lag, waits for requests in flight, hands tickets and
// shares over, and closes the node.
func (n *Node) stop(skipLag <-chan os.Signal) error {
	n.stopping.Store(true)
	n.fleet.SetLeaving()
	n.announce()
	n.tickets.Stop()
	n.logger.Info("node stopping")
	select {
	case <-time.After(n.settings.Stop.BalancerLag()):
	case <-skipLag:
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := n.callerServer.Shutdown(ctx)
	n.handOverTickets(ctx)
	n.handOverShares(ctx)
	return errors.Join(err, n.close())
}

func (n *Node) close() error {
	err := errors.Join(n.callerServer.Close(), n.operatorServer.Close())
	n.holder.Close()
	n.peerServer.Close()
	n.pool.Close()
	return err
}

func (n *Node) newCallerServer(dataBytes int64) *http.Server {
	hits := memlimit.New(hitsBytes(dataBytes))
	hits.SetReclaim(n.callers.RemoveStalled)
	holders := &holders{node: n}
	searcher := entry.NewSearcher(n.table, holders, n.screen, n.scope.SubScope("entry"))
	submitter := entry.NewSubmitter(n.table, holders, n.screen)
	dispatch := func(ctx context.Context, r *entry.Request) (*entry.Answer, error) {
		if r.Idempotent {
			return searcher.Serve(ctx, r)
		}
		return submitter.Serve(ctx, r)
	}
	handler := entry.Chain(dispatch,
		entry.Measure(n.scope.SubScope("entry")),
		entry.ReportUndecidedAsUnknown(),
		entry.Limit(n.settings.Limits.MaxRequests),
		entry.Identify(n.table),
		entry.Deadline(),
		entry.AtMostOnce(n.tickets),
		entry.Quarantine(n.screen),
	)
	submit := entry.Chain(submitter.Serve, entry.Quarantine(n.screen))
	n.forwardHandler = entry.Chain(func(ctx context.Context, r *entry.Request) (*entry.Answer, error) {
		return n.tickets.Serve(ctx, r, submit)
	}, entry.ReportUndecidedAsUnknown(), entry.Identify(n.table), entry.Deadline())
	limits := n.settings.Limits
	return &http.Server{
		Handler:           callerconn.Handler(entry.NewHTTP(handler, n.tickets.Issue, int64(limits.MaxBodyBytes), hits)),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadTimeout:       limits.ReadTimeout(),
		ReadHeaderTimeout: limits.ReadTimeout(),
		WriteTimeout:      limits.WriteTimeout(),
		IdleTimeout:       limits.IdleTimeout(),
		ConnState:         callerconn.Track,
		ConnContext:       callerconn.WithConn,
	}
}
