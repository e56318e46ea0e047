package relaynode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/fleet"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// metricsInterval is the time between reports of the counters.
const metricsInterval = 2 * time.Second

// Node is one process.
type Node struct {
	settings Settings
	// process names this start of the node.
	process  string
	logger   *zap.Logger
	scope    tally.Scope
	metrics  http.Handler
	closer   io.Closer
	dropped  func() int64
	catalog  *catalog.Catalog
	backends *relay.Backends
	handler  *relay.Handler
	watcher  *statesync.Watcher
	fleet    *fleet.Controller
	pool     *peer.Pool
	peers    *peer.Server
	callers  *http.Server
	ready    *http.Server
	idle     *idleConns
	open     listeners
	sharing  sharing
	// alive are the peer addresses of the other live nodes.
	alive atomic.Pointer[[]string]
	// crashNews signals that other nodes have to hear of contents that crash leaves, and
	// joined has the addresses of nodes to be asked.
	crashNews chan struct{}
	joined    chan []string
	// learned is set once peers were asked for contents that crash leaves.
	learned  atomic.Bool
	isReady  atomic.Bool
	stopping atomic.Bool
}

// listeners are the open sockets of a node; metrics may be nil.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

// New opens the listeners of a node. Run starts it.
// droppedLines returns the number of log lines that were not written.
func New(s Settings, d relay.Dialect, store statesync.Store, logger *zap.Logger, droppedLines func() int64) (*Node, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryUse * float64(s.MemoryBytes)))
	}
	n := &Node{
		settings:  s,
		process:   fmt.Sprintf("%s/%08x", s.Name, rand.Uint32()),
		logger:    logger.With(zap.String("host", s.Name)),
		catalog:   catalog.New(),
		dropped:   droppedLines,
		crashNews: make(chan struct{}, 1),
		joined:    make(chan []string, joinedQueue),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	n.metrics = reporter.HTTPHandler()
	n.scope, n.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "redwingshelf", Tags: map[string]string{"host": s.Name, "zone": s.DataCentre},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, metricsInterval)
	n.backends = relay.NewBackends(relay.Options{
		DataCentre: s.DataCentre, RetryBudgetRatio: s.RepeatShare, RetryBudgetSlack: s.RepeatSlack, RetryWindow: s.RepeatWindow,
		ColdShare: s.ColdShare, ColdSlack: s.ColdSlack, AnswerBytes: int64(answerPart * float64(s.MemoryBytes)),
	}, alone(n.process), n.catalog.View, n.logger)
	log := reqlog.New(n.logger, n.scope, time.Now)
	n.handler = relay.NewHandler(relay.HandlerOptions{
		CallerMargin: callerMargin, NonIdempotentMaxIdle: onceMaxIdle, PublishCrashes: n.tellCrashes, RequestTrial: n.askTrial,
		SyncingCrashes: func() bool { return !n.learned.Load() },
	},
		d, n.catalog, n.backends, n, log, n.scope.SubScope("relay"))
	n.watcher = statesync.NewWatcher(statesync.Options{
		Process: n.process, Store: store, Peers: n, Catalog: n.catalog, OnChange: n.catalogChanged,
		TableWait: time.Duration(tableWaitPart * float64(s.ApplyWithin)), Logger: n.logger, Scope: n.scope, Random: rand.Float64,
	})
	hello := wire.Hello{Host: n.process, Incarnation: 1}
	traffic := peer.NewTraffic(n.scope.SubScope("peer"))
	n.pool = peer.NewPool(hello, traffic, n)
	n.peers = peer.NewServer(n.open.peers, hello, traffic, n)
	n.fleet = n.newFleet()
	n.watcher.SetUpstream(otherAddresses(s.Seeds, s.PeerListen), true)
	n.sharing.set([]member.Member{n.selfMember()})
	n.sharing.setRoom(leafpick.Unbounded)
	n.idle = newIdleConns(n.idleTimeout)
	n.callers = &http.Server{
		Handler: n.handler, ConnState: n.idle.track, ConnContext: withCallerConn,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	return n, nil
}

// alone returns the fleet of a node that knows no other.
func alone(process string) *relay.Fleet {
	one := leafpick.NewFleet(process, []string{process})
	return &relay.Fleet{All: one, Gatherers: one}
}

func (n *Node) listen() error {
	for _, l := range []struct {
		address string
		at      *net.Listener
	}{
		{n.settings.CallerListen, &n.open.callers}, {n.settings.ReadyListen, &n.open.ready},
		{n.settings.PeerListen, &n.open.peers}, {n.settings.MetricsListen, &n.open.metrics},
	} {
		if l.address == "" {
			continue
		}
		open, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", l.address, err)
		}
		*l.at = open
	}
	return nil
}

// idleTimeout returns how long an idle connection of a caller is kept.
func (n *Node) idleTimeout() time.Duration {
	if table := n.catalog.View().Table; table != nil && table.Limits.IdleTimeout > 0 {
		return table.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// catalogChanged passes a new view on and reports the node ready once it can serve.
func (n *Node) catalogChanged() {
	view := n.catalog.View()
	if n.sharing.setRoom(relay.MaxGatherers(view)) {
		n.shareBounds()
	}
	n.backends.Update()
	if view.Table != nil && len(view.Leaves) > 0 && n.learned.Load() && !n.isReady.Swap(true) {
		n.logger.Info("node ready", zap.Int64("version", view.Table.Version), zap.Uint64("as_of", view.AsOf))
	}
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.settings.ReadyPath:
		http.NotFound(w, r)
	case !n.isReady.Load() || n.stopping.Load():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// Run serves until ctx ends, and then stops without cutting off any request that
// ends in time.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.closer.Close() }()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(runCtx)
	group.Go(n.peers.Serve)
	group.Go(func() error { return serve(n.callers, n.open.callers) })
	group.Go(func() error { return serve(n.ready, n.open.ready) })
	metrics := &http.Server{Handler: n.metrics, ReadHeaderTimeout: headerTimeout}
	if n.open.metrics != nil {
		group.Go(func() error { return serve(metrics, n.open.metrics) })
	}
	group.Go(func() error { return n.watcher.Run(groupCtx) })
	group.Go(func() error { return n.fleet.Run(groupCtx) })
	group.Go(func() error { n.idle.run(groupCtx); return nil })
	group.Go(func() error { n.reportGauges(groupCtx); return nil })
	group.Go(func() error { return n.runCrashes(groupCtx) })
	group.Go(func() error { n.runJoined(groupCtx); return nil })
	group.Go(func() error { n.learnAtStart(groupCtx); return nil })
	settle := time.AfterFunc(settleTime, func() {
		n.backends.MarkPeersKnown()
		n.logger.Info("part of the shared bounds taken")
	})
	defer settle.Stop()
	// A process that is older than the window takes its whole part.
	full := time.AfterFunc(n.settings.RepeatWindow, n.backends.Update)
	defer full.Stop()
	group.Go(func() error {
		defer cancel()
		var err error
		select {
		case <-ctx.Done():
			err = n.stop()
		case <-groupCtx.Done():
		}
		n.peers.Close()
		n.pool.Close()
		return errors.Join(err, n.callers.Close(), n.ready.Close(), metrics.Close())
	})
	n.logger.Info("node started", zap.String("process", n.process), zap.String("zone", n.settings.DataCentre),
		zap.Strings("seeds", n.settings.Seeds))
	err := group.Wait()
	n.logger.Info("node stopped", zap.Error(err))
	return err
}

// SetSeeds takes peer addresses that have changed while the node runs.
func (n *Node) SetSeeds(seeds []string) {
	n.logger.Info("seeds changed", zap.Strings("seeds", seeds))
	hosts := make([]member.Host, 0, len(seeds))
	for _, address := range otherAddresses(seeds, n.settings.PeerListen) {
		hosts = append(hosts, member.Host{Name: address, Address: address})
	}
	n.fleet.SetHosts(hosts)
}

// reportGauges reports the leaves by state and the log lines that were not written.
func (n *Node) reportGauges(ctx context.Context) {
	gauge := n.scope.Gauge("log_lines_dropped")
	leaves := n.scope.SubScope("relay")
	periodic.Run(ctx, metricsInterval, func() {
		gauge.Update(float64(n.dropped()))
		n.backends.Report(leaves)
	})
}

// otherAddresses returns the addresses without a node's own.
func otherAddresses(addresses []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop reports the node as not ready, serves on while the balancer notices, and
// waits for the requests in progress.
func (n *Node) stop() error {
	begin := time.Now()
	n.stopping.Store(true)
	n.handler.Stop()
	n.fleet.SetLeaving()
	within := n.settings.stopWithin()
	n.logger.Info("node stopping", zap.Duration("within", within))
	time.Sleep(time.Duration(balancerLagPart * float64(within)))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(time.Duration(stopPart*float64(within))))
	defer cancel()
	err := n.callers.Shutdown(ctx)
	for n.handler.Gathering() > 0 && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	if err != nil {
		n.logger.Warn("requests are cut off by the stop", zap.Error(err))
	}
	return nil
}
