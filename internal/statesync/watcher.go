package statesync

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/bootclock"
	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
)

const (
	// watchWait is how long the store may hold a watch without changes, and peerWait
	// how long a peer may hold a request. They bound how long a source that no longer
	// responds is trusted.
	watchWait = 1500 * time.Millisecond
	peerWait  = 500 * time.Millisecond
	// peerGrace is the time after peerWait at which a request to a peer times out.
	peerGrace = 500 * time.Millisecond
	// batchDelay is the pause after changes, so that changes in quick succession
	// arrive in one answer.
	batchDelay = 200 * time.Millisecond
	// failureBackoff is how long a source that failed is skipped while there are others.
	failureBackoff = 2500 * time.Millisecond
	// stalePeerBackoff is how long a peer is skipped that answers but is not up to date;
	// it may find a better source at any moment.
	stalePeerBackoff = 400 * time.Millisecond
	// retryDelay is the pause before the next attempt when all sources have failed.
	retryDelay = 400 * time.Millisecond
	// readTimeout is the time within which a read of the store must begin to be answered.
	// The store usually answers within milliseconds, and within a few hundred milliseconds
	// when it is slow.
	readTimeout = 1500 * time.Millisecond
	// initialReadTimeout is the same for a node whose catalog is still empty. One read in
	// longReadEvery has readTimeout, so that a slow store can be read too. initialBackoff is
	// how long such a node skips a source that failed: other nodes may start at the same
	// time, and until one of them has read the store none can serve. Only roots read the
	// store this often.
	initialReadTimeout = 400 * time.Millisecond
	longReadEvery      = 4
	initialBackoff     = 250 * time.Millisecond
	// maxDirectAge bounds the age of the catalog of a node that follows the store, and
	// maxAgePerHop is added for each further node on the path to a peer, since each may
	// wait for changes once. With up to three nodes the sum stays below outageThreshold,
	// so that a node whose path to the store is interrupted switches to another source
	// before it assumes an outage.
	maxDirectAge = watchWait + 500*time.Millisecond
	maxAgePerHop = peerWait + 100*time.Millisecond
	// unknownAge is the reported age before the first answer of a source.
	unknownAge = time.Hour
	// outageThreshold is the time without confirmation by the store, directly or through
	// peers, after which entries may have lapsed.
	outageThreshold = 3300 * time.Millisecond
	expireInterval  = 100 * time.Millisecond
)

// errStalePeer is the reason for skipping a peer that is not up to date.
var errStalePeer = errors.New("peer is not up to date")

// storeSource names the store among the sources.
const storeSource = "store"

// Options configure a Watcher.
type Options struct {
	// Process identifies this run of the node.
	Process string
	Store   Store
	Peers   Peers
	Catalog *catalog.Catalog
	// MaxTableDeferral is how long after its acceptance a table may be deferred until
	// its leaves are warm.
	MaxTableDeferral time.Duration
	// MaxWatchWait bounds how long the store may hold a watch; zero means watchWait.
	MaxWatchWait time.Duration
	// BootTime returns the time on a clock that counts suspensions of the host; nil means
	// bootclock.Now.
	BootTime func() time.Duration
	// OnChange is called after the catalog has changed.
	OnChange func()
	Logger   *zap.Logger
	Scope    tally.Scope
	// Random returns a number in [0, 1) for jitter.
	Random func() float64
}

// Watcher keeps a catalog up to date from the store, or from peers that follow it.
type Watcher struct {
	options Options
	start   time.Time
	// confirmed is the last time at which the store is known to have had nothing newer
	// than the catalog, in nanoseconds since start; zero before the first answer.
	confirmed atomic.Int64
	// verified is the boot time at which a call of the store began whose answer the catalog
	// holds, in nanoseconds; zero before the first answer.
	verified atomic.Int64
	// path are the processes on the path from the store to this one.
	path atomic.Pointer[[]string]
	// mu guards upstream and root.
	mu       sync.Mutex
	upstream []string
	root     bool
	// The fields below are used only by the goroutine of Run. retryAt is when a source
	// that has failed may be used again, in time since start, and storeRead is set once
	// a snapshot of the store has been read.
	retryAt      map[string]time.Duration
	cursors      map[string]Request
	current      string
	storeRead    bool
	storeFailing bool
	// initialReads counts the reads of the store while the catalog is empty.
	initialReads int
	// download is the table that is being fetched from peers since downloadStart, or nil.
	// undecodable is the digest of the last table that could not be decoded, and rejected
	// that of the last one that the catalog ignored.
	download              *encodedTable
	downloadStart         time.Duration
	undecodable, rejected [sha256.Size]byte
	// unfinished is the peer that has more changes or parts of a table, or empty.
	unfinished string
	// encodedMu guards encoded, the newest table and the one before it.
	encodedMu sync.Mutex
	encoded   [2]*encodedTable
}

// NewWatcher returns a watcher that follows the store; Run starts it.
func NewWatcher(o Options) *Watcher {
	if o.BootTime == nil {
		o.BootTime = bootclock.Now
	}
	return &Watcher{
		options: o, start: time.Now(), root: true,
		retryAt: map[string]time.Duration{}, cursors: map[string]Request{},
	}
}

// SetUpstream sets the peers to follow, best first, and whether the store is preferred
// to them.
func (w *Watcher) SetUpstream(addresses []string, root bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream, w.root = addresses, root
}

func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// Run follows the sources until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	go w.expire(ctx)
	for ctx.Err() == nil {
		source, available := w.chooseSource()
		if !available {
			delay := retryDelay
			if w.uninitialized() {
				delay = initialBackoff
			}
			if periodic.Sleep(ctx, w.jitter(delay)) != nil {
				return nil
			}
		}
		changed, err := w.follow(ctx, source)
		if err != nil && ctx.Err() == nil {
			w.markFailed(source, err)
			continue
		}
		w.markSucceeded(source)
		if changed && periodic.Sleep(ctx, batchDelay) != nil {
			return nil
		}
	}
	return nil
}

// chooseSource returns the first source that is not in backoff after a failure. If all
// are, it returns the one whose backoff ends first, and false.
func (w *Watcher) chooseSource() (source string, available bool) {
	w.mu.Lock()
	sources := make([]string, 0, len(w.upstream)+1)
	if w.root {
		sources = append(sources, storeSource)
	}
	sources = append(sources, w.upstream...)
	if !w.root {
		sources = append(sources, storeSource)
	}
	w.mu.Unlock()
	now := w.now()
	for _, s := range sources {
		if w.retryAt[s] <= now {
			return s, true
		}
		if source == "" || w.retryAt[s] < w.retryAt[source] {
			source = s
		}
	}
	return source, false
}

func (w *Watcher) follow(ctx context.Context, source string) (changed bool, err error) {
	if source == storeSource {
		return w.followStore(ctx)
	}
	return w.followPeer(ctx, source)
}

// followStore reads a snapshot of the store if the catalog is empty, and otherwise
// watches the store once.
func (w *Watcher) followStore(ctx context.Context) (changed bool, err error) {
	c := w.options.Catalog
	if w.uninitialized() {
		w.initialReads++
		if w.initialReads%longReadEvery != 0 {
			return false, w.readStore(ctx, initialReadTimeout)
		}
		return false, w.readStore(ctx, readTimeout)
	}
	wait := watchWait
	if w.options.MaxWatchWait > 0 {
		wait = min(wait, w.options.MaxWatchWait)
	}
	if w.storeFailing {
		// Without a wait, a store that still does not answer is detected sooner.
		wait = 0
	}
	asked := w.options.BootTime()
	u, err := w.options.Store.Watch(ctx, c.View().AsOf, wait)
	if errors.Is(err, ErrHistoryLost) {
		w.options.Logger.Warn("history of the store is lost, reading a snapshot", zap.Uint64("as_of", catalog.Number(c.View().AsOf)))
		return false, w.readStore(ctx, readTimeout)
	}
	if errors.Is(err, ErrUpdateTooLarge) {
		w.options.Logger.Warn("changes in the store are too many, reading a snapshot", zap.Uint64("as_of", catalog.Number(c.View().AsOf)), zap.Error(err))
		return true, w.readStore(ctx, readTimeout)
	}
	if err != nil {
		return false, err
	}
	w.deferTables()
	w.markStoreReachable(u.Answered)
	events, complete := c.Apply(w.now(), u)
	if !complete {
		return false, w.readStore(ctx, readTimeout)
	}
	w.verify(asked)
	w.report(events, u.AsOf)
	return len(u.Changes) > 0, nil
}

// uninitialized reports whether the catalog has not received entries from the store or
// from a peer yet.
func (w *Watcher) uninitialized() bool { return !w.storeRead && w.options.Catalog.View().AsOf == 0 }

func (w *Watcher) readStore(ctx context.Context, answerWithin time.Duration) error {
	asked := w.options.BootTime()
	s, err := w.options.Store.Snapshot(ctx, answerWithin)
	if err != nil {
		return err
	}
	w.deferTables()
	w.markStoreReachable(s.Answered)
	w.storeRead = true
	events := w.options.Catalog.Replace(w.now(), s)
	w.verify(asked)
	w.report(events, s.AsOf)
	return nil
}

// markStoreReachable records an answer of the store, and when the store gave it if it took time
// to arrive.
func (w *Watcher) markStoreReachable(answered time.Time) {
	w.endOutage(true)
	if w.storeFailing {
		w.storeFailing = false
		age, _ := w.Age()
		w.options.Logger.Info("store answers again", zap.Duration("confirmed_ago", age))
	}
	w.path.Store(nil)
	at := w.now()
	if !answered.IsZero() {
		at = answered.Sub(w.start)
	}
	w.confirm(at)
}

// deferTables sets until when a table in the next answer may be deferred. It is called
// before the answer is confirmed and applied: a table in it was accepted after the last
// confirmation.
func (w *Watcher) deferTables() {
	var until time.Duration
	if age, known := w.Age(); known {
		until = w.now() - age + w.options.MaxTableDeferral
	}
	w.options.Catalog.DeferTables(until)
}

// endOutage is called before the changes of a source that is up to date are applied. If
// the last confirmation by the store is older than outageThreshold, and the source is the
// store or the store has failed for this node, leaves whose entries lapsed meanwhile are
// held for a short time.
func (w *Watcher) endOutage(fromStore bool) {
	age, known := w.Age()
	if !known || !fromStore && !w.storeFailing || age <= outageThreshold {
		return
	}
	w.options.Logger.Info("outage of the store has ended, holding lapsed leaves", zap.Duration("lasted", age))
	w.options.Catalog.HoldLapsed(w.now())
}

// followPeer requests changes from a peer once. If the peer has a newer table, it fetches parts
// of it too.
func (w *Watcher) followPeer(ctx context.Context, address string) (changed bool, err error) {
	asked := w.options.BootTime()
	r, err := w.fetchChanges(ctx, address)
	if err != nil {
		return false, err
	}
	confirmed := w.now() - r.Age
	limit := maxAge(len(r.Path))
	if r.Age <= limit && !slices.Contains(r.Path, w.options.Process) {
		w.endOutage(false)
	}
	lacksTable := w.lacks(r.Table)
	w.applyReply(r, !r.More && !lacksTable)
	w.cursors[address] = Request{Process: r.Process, Sequence: r.Sequence}
	if slices.Contains(r.Path, w.options.Process) {
		return false, fmt.Errorf("%w: it follows this node", errStalePeer)
	}
	if lacksTable {
		if err := w.fetchTable(ctx, address, r.Table); err != nil {
			return false, err
		}
	}
	if r.More || w.lacks(r.Table) {
		w.unfinished = address
		return false, nil
	}
	if lacksTable {
		w.options.Catalog.Merge(w.now(), nil, r.AsOf)
	}
	if r.Verified {
		w.verify(asked - r.VerifiedAgo)
	}
	if r.Age > limit {
		return false, fmt.Errorf("%w: its catalog is %v old, more than %v", errStalePeer, r.Age, limit)
	}
	w.path.Store(&r.Path)
	w.confirm(confirmed)
	return lacksTable || len(r.Changes) > 0, nil
}

// applyReply applies the changes of a reply. complete is set if nothing is missing after them,
// neither changes nor a table.
func (w *Watcher) applyReply(r *Reply, complete bool) {
	c := w.options.Catalog
	if r.Full {
		snapshot := &catalog.Snapshot{AsOf: r.AsOf, Entries: r.Changes, LeftOut: r.LeftOut, Partial: !complete}
		w.report(c.Replace(w.now(), snapshot), r.AsOf)
		return
	}
	var asOf uint64
	if complete {
		asOf = r.AsOf
	}
	w.report(c.Merge(w.now(), r.Changes, asOf), r.AsOf)
}

func (w *Watcher) fetchChanges(ctx context.Context, address string) (*Reply, error) {
	req := w.cursors[address]
	req.Requester, req.AsOf, req.MaxWait = w.options.Process, w.options.Catalog.View().AsOf, peerWait
	if w.unfinished == address {
		req.MaxWait = 0
	}
	w.unfinished = ""
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait+peerGrace)
	defer cancel()
	return w.options.Peers.FetchChanges(ctx, address, &req)
}

// markSucceeded records that a source has answered with an up-to-date state.
func (w *Watcher) markSucceeded(source string) {
	delete(w.retryAt, source)
	if w.current == source {
		return
	}
	w.options.Logger.Info("following a source", zap.String("source", source), zap.String("before", w.current),
		zap.Uint64("as_of", catalog.Number(w.options.Catalog.View().AsOf)))
	w.current = source
}

// markFailed records a failure of a source and starts its backoff.
func (w *Watcher) markFailed(source string, err error) {
	w.options.Scope.Counter("source_failures").Inc(1)
	now := w.now()
	w.retryAt[source] = now + w.jitter(w.backoff(source, err))
	if source == storeSource {
		if w.storeFailing {
			return
		}
		w.storeFailing = true
	}
	age, _ := w.Age()
	w.options.Logger.Warn("source does not answer", zap.String("source", source), zap.Error(err),
		zap.Duration("confirmed_ago", age))
}

// backoff returns how long a source that failed is skipped.
func (w *Watcher) backoff(source string, err error) time.Duration {
	w.mu.Lock()
	root := w.root
	w.mu.Unlock()
	switch {
	case w.uninitialized() && (root || source != storeSource):
		return initialBackoff
	case errors.Is(err, errStalePeer), errors.Is(err, errTableReplaced):
		return stalePeerBackoff
	}
	return failureBackoff
}

func (w *Watcher) expire(ctx context.Context) {
	periodic.Run(ctx, expireInterval, func() {
		w.report(w.options.Catalog.Expire(w.now()), w.options.Catalog.View().AsOf)
	})
}

// report logs the events and calls OnChange if there are any.
func (w *Watcher) report(events []catalog.Event, asOf uint64) {
	if len(events) == 0 {
		return
	}
	for i := range events {
		logChange(w.options.Logger, &events[i], asOf)
	}
	w.options.OnChange()
}

func logChange(logger *zap.Logger, e *catalog.Event, asOf uint64) {
	era, revision := catalog.SplitRevision(e.Change.Revision)
	fields := []zap.Field{zap.String("key", e.Change.Key), zap.Uint64("revision", revision), zap.Uint64("era", era), zap.Uint64("as_of", catalog.Number(asOf))}
	switch {
	case e.Ignored != "":
		logger.Info("change ignored", append(fields, zap.String("reason", e.Ignored))...)
	case e.Deferred:
		logger.Info("table deferred until its leaves are warm",
			append(fields, zap.Int64("version", e.Change.Table.Version))...)
	case e.Change.Table != nil:
		logger.Info("table in force", append(fields, zap.Int64("version", e.Change.Table.Version),
			zap.Int("routes", len(e.Change.Table.Routes)))...)
	case e.Change.Leaf != nil:
		l := e.Change.Leaf
		logger.Info("leaf changed", append(fields, zap.String("service", l.Service), zap.String("address", l.Address),
			zap.String("zone", l.DataCentre), zap.Bool("draining", l.Draining), zap.Duration("cold_for", l.WarmupLeft))...)
	case e.Change.TakenOut != "":
		logger.Info("zone taken out", append(fields, zap.String("zone", e.Change.TakenOut))...)
	default:
		logger.Info("entry removed", fields...)
	}
}

func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.options.Random()*float64(d))
}
