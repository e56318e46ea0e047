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

	"github.com/redwingshelf/redwingshelf/internal/callerconn"
	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/fleet"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
	"github.com/redwingshelf/redwingshelf/internal/member"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// metricsInterval is the time between metric reports.
const metricsInterval = 2 * time.Second

// Node is one process that relays requests.
type Node struct {
	settings Settings
	// process identifies this run of the node.
	process         string
	logger          *zap.Logger
	scope           tally.Scope
	metricsHandler  http.Handler
	metricsCloser   io.Closer
	droppedLogLines func() int64
	catalog         *catalog.Catalog
	services        *relay.Services
	handler         *relay.Handler
	watcher         *statesync.Watcher
	fleet           *fleet.Controller
	peerPool        *peer.Pool
	peerServer      *peer.Server
	callerServer    *http.Server
	readyServer     *http.Server
	idle            *idleConns
	callers         *callerconn.Listener
	open            listeners
	sharing         sharing
	quotas          *quotas
	// alivePeers are the peer addresses of the other live nodes.
	alivePeers atomic.Pointer[[]string]
	// crashUpdates signals that crash records must be sent to the other nodes, and joined
	// carries the addresses of nodes whose crash records are to be fetched.
	crashUpdates chan struct{}
	joined       chan []string
	// crashesSynced is set once the node has fetched the crash records of its peers, or
	// has given up waiting for them.
	crashesSynced atomic.Bool
	isReady       atomic.Bool
	stopping      atomic.Bool
}

// listeners are the listeners of a node; metrics may be nil.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
}

// New returns a node with open listeners; Run starts it. droppedLines returns the number of
// log lines that were not written.
func New(s Settings, d relay.Dialect, store statesync.Store, logger *zap.Logger, droppedLines func() int64) (*Node, error) {
	debug.SetGCPercent(s.gcPercent())
	memlimit.LimitRuntime(s.MemoryBytes)
	dataBytes := memlimit.DataBytes(s.MemoryBytes)
	n := &Node{
		settings:        s,
		process:         fmt.Sprintf("%s/%08x", s.Name, rand.Uint32()),
		logger:          logger.With(zap.String("host", s.Name)),
		catalog:         catalog.New(),
		droppedLogLines: droppedLines,
		crashUpdates:    make(chan struct{}, 1),
		joined:          make(chan []string, joinedQueueSize),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	n.metricsHandler = reporter.HTTPHandler()
	n.scope, n.metricsCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "redwingshelf", Tags: map[string]string{"host": s.Name, "zone": s.DataCentre},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, metricsInterval)
	n.services = relay.NewServices(relay.ServicesOptions{
		DataCentre: s.DataCentre, RetryBudgetRatio: s.RetryBudgetRatio, RetryBudgetSlack: s.RetryBudgetSlack, RetryWindow: s.RetryWindow,
		ColdRatio: s.ColdRatio, ColdSlack: s.ColdSlack, AnswerBytes: int64(answerMemoryRatio * float64(dataBytes)),
	}, singleNodeFleet(n.process), n.catalog.View, n.logger)
	n.quotas = newQuotas(n)
	log := reqlog.New(n.logger, n.scope, time.Now)
	n.handler = relay.NewHandler(relay.HandlerOptions{
		RequestRead:  callerconn.RequestRead,
		CallerMargin: callerMargin, NonIdempotentMaxIdle: nonIdempotentMaxIdle, PublishCrashes: n.publishCrashes, RequestTrial: n.requestTrial,
		SyncingCrashes: func() bool { return !n.crashesSynced.Load() },
		NodesRanBefore: s.NodesRanBefore,
		Quotas:         n.quotas,
		CallBytes:      int64(callMemoryRatio * float64(dataBytes)),
		Access: relay.AccessOptions{
			MaxAge:        time.Duration(maxKnowledgeRatio * float64(s.MaxRevocationDelay)),
			MaxUnknownAge: s.MaxApplyDelay,
			Age:           func() (time.Duration, bool) { return n.watcher.VerifiedAge() },
		},
	},
		d, n.catalog, n.services, n, log, n.scope.SubScope("relay"))
	n.watcher = statesync.NewWatcher(statesync.Options{
		Process: n.process, Store: store, Peers: n, Catalog: n.catalog, OnChange: n.catalogChanged,
		MaxWatchWait:     time.Duration(watchWaitRatio * float64(s.MaxRevocationDelay)),
		MaxTableDeferral: time.Duration(tableDeferralRatio * float64(s.MaxApplyDelay)), Logger: n.logger, Scope: n.scope, Random: rand.Float64,
	})
	hello := wire.Hello{Host: n.process, Incarnation: 1}
	traffic := peer.NewTraffic(n.scope.SubScope("peer"))
	n.peerPool = peer.NewPool(hello, traffic, n)
	n.peerServer = peer.NewServer(n.open.peers, hello, traffic, n)
	n.fleet = n.newFleet()
	n.watcher.SetUpstream(otherAddresses(s.Seeds, s.PeerListen), true)
	n.sharing.set([]member.Member{n.selfMember()})
	n.sharing.setMaxGatherers(leafpick.Unbounded)
	n.idle = newIdleConns(n.idleTimeout)
	n.callers = callerconn.Listen(n.open.callers, callerconn.Limits(dataBytes, s.MaxFiles), n.scope.SubScope("callers"))
	n.services.SetReclaimAnswers(n.callers.RemoveStalled)
	n.callerServer = &http.Server{
		Handler: callerconn.Handler(n.handler), ConnState: n.trackCaller, ConnContext: withCallerConn,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	n.readyServer = callerconn.OperatorServer(http.HandlerFunc(n.serveReady))
	return n, nil
}

// singleNodeFleet returns the fleet that consists of this node only.
func singleNodeFleet(process string) *relay.Fleet {
	self := leafpick.NewFleet(process, []string{process})
	return &relay.Fleet{All: self, Gatherers: self}
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
			return fmt.Errorf("listen on %s: %w", l.address, err)
		}
		*l.at = open
	}
	return nil
}

// idleTimeout returns how long an idle connection of a caller is kept open.
func (n *Node) idleTimeout() time.Duration {
	if table := n.catalog.View().Table; table != nil && table.Limits.IdleTimeout > 0 {
		return table.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// catalogChanged applies a new view, and marks the node as ready once it can serve.
func (n *Node) catalogChanged() {
	view := n.catalog.View()
	gatherersChanged := n.sharing.setMaxGatherers(relay.MaxGatherers(view))
	if shardsChanged := n.sharing.setMaxShards(view.MaxShards()); gatherersChanged || shardsChanged {
		n.updateSharing()
	}
	n.services.Update()
	if view.Table != nil && len(view.Leaves) > 0 && n.crashesSynced.Load() && !n.isReady.Swap(true) {
		n.logger.Info("node ready", zap.Int64("version", view.Table.Version), zap.Uint64("as_of", catalog.Number(view.AsOf)))
	}
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.settings.ReadyPath:
		http.NotFound(w, r)
	case !n.isReady.Load() || n.stopping.Load() || n.handler.Stale():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// Run serves until ctx ends and then shuts down gracefully: requests that finish in time
// are not cut off.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.metricsCloser.Close() }()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, groupCtx := errgroup.WithContext(runCtx)
	group.Go(n.peerServer.Serve)
	group.Go(func() error { return serve(n.callerServer, n.callers) })
	operators := n.scope.SubScope("operators")
	group.Go(func() error { return serve(n.readyServer, callerconn.ListenForOperators(n.open.ready, operators)) })
	metrics := callerconn.OperatorServer(n.metricsHandler)
	if n.open.metrics != nil {
		group.Go(func() error { return serve(metrics, callerconn.ListenForOperators(n.open.metrics, operators)) })
	}
	group.Go(func() error { return n.watcher.Run(groupCtx) })
	group.Go(func() error { return n.fleet.Run(groupCtx) })
	group.Go(func() error { n.idle.run(groupCtx); return nil })
	group.Go(func() error { n.reportGauges(groupCtx); return nil })
	group.Go(func() error { n.quotas.run(groupCtx); return nil })
	group.Go(func() error { return n.runCrashPublisher(groupCtx) })
	group.Go(func() error { n.runJoinedSync(groupCtx); return nil })
	group.Go(func() error { n.syncCrashesAtStart(groupCtx); return nil })
	discovery := time.AfterFunc(peerDiscoveryTime, func() {
		n.services.MarkPeersKnown()
		n.logger.Info("peers discovered, share of the limits taken")
	})
	defer discovery.Stop()
	// A process that is older than the retry window takes its full share of the retry
	// budgets.
	fullShare := time.AfterFunc(n.settings.RetryWindow, n.services.Refresh)
	defer fullShare.Stop()
	group.Go(func() error {
		defer cancel()
		var err error
		select {
		case <-ctx.Done():
			err = n.stop()
		case <-groupCtx.Done():
		}
		n.peerServer.Close()
		n.peerPool.Close()
		return errors.Join(err, n.callerServer.Close(), n.readyServer.Close(), metrics.Close())
	})
	n.logger.Info("node started", zap.String("process", n.process), zap.String("zone", n.settings.DataCentre),
		zap.Strings("seeds", n.settings.Seeds))
	err := group.Wait()
	n.logger.Info("node stopped", zap.Error(err))
	return err
}

// SetSeeds replaces the peer addresses to join through while the node runs.
func (n *Node) SetSeeds(seeds []string) {
	n.logger.Info("seeds changed", zap.Strings("seeds", seeds))
	hosts := make([]member.Host, 0, len(seeds))
	for _, address := range otherAddresses(seeds, n.settings.PeerListen) {
		hosts = append(hosts, member.Host{Name: address, Address: address})
	}
	n.fleet.SetHosts(hosts)
}

// reportGauges reports the number of leaves by state and the number of log lines that
// were not written.
func (n *Node) reportGauges(ctx context.Context) {
	gauge := n.scope.Gauge("log_lines_dropped")
	callers := n.scope.SubScope("callers")
	conns, bytes := callers.Gauge("connections"), callers.Gauge("request_bytes")
	callBytes := callers.Gauge("call_bytes")
	leaves := n.scope.SubScope("relay")
	periodic.Run(ctx, metricsInterval, func() {
		gauge.Update(float64(n.droppedLogLines()))
		openConns, requestBytes := n.callers.Usage()
		conns.Update(float64(openConns))
		bytes.Update(float64(requestBytes))
		callBytes.Update(float64(n.handler.CallBytes()))
		n.services.Report(leaves)
	})
}

// trackCaller is the ConnState hook of the server for callers.
func (n *Node) trackCaller(c net.Conn, state http.ConnState) {
	n.idle.track(c, state)
	callerconn.Track(c, state)
}

// otherAddresses returns the addresses other than the node's own.
func otherAddresses(addresses []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop reports the node as not ready and keeps serving until the balancer has had time to notice.
// After that it refuses requests until those in progress have been answered.
func (n *Node) stop() error {
	begin := time.Now()
	gracePeriod := n.settings.stopGracePeriod()
	at := func(ratio float64) time.Time { return begin.Add(time.Duration(ratio * float64(gracePeriod))) }
	refuseAt, shutdownAt := at(balancerLagRatio), at(shutdownRatio)
	n.stopping.Store(true)
	n.handler.Stop(dispatch.StopSchedule{RefuseAt: refuseAt, AnswerBy: at(answerRatio), GiveUpAt: at(giveUpRatio)})
	n.fleet.SetLeaving()
	n.logger.Info("node stopping", zap.Duration("within", gracePeriod))
	time.Sleep(time.Until(refuseAt))
	n.logger.Info("new requests refused", zap.Int64("in_progress", n.handler.Serving()))
	for n.handler.Serving() > 0 && time.Now().Before(shutdownAt) {
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), shutdownAt)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.logger.Warn("cutting off requests in flight", zap.Int64("in_progress", n.handler.Serving()), zap.Error(err))
	}
	return nil
}
