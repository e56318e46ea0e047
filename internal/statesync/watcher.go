package statesync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
)

const (
	// watchWait is how long the store may hold a watch without changes, and peerWait
	// how long a peer may. They bound how long a source that has gone silent is
	// trusted.
	watchWait = 1500 * time.Millisecond
	peerWait  = 500 * time.Millisecond
	// peerGrace is the time beyond its wait after which a question is given up.
	peerGrace = 500 * time.Millisecond
	// gatherFor is the pause after changes, so that changes in quick succession
	// arrive in one answer.
	gatherFor = 200 * time.Millisecond
	// badFor is how long a source that failed is passed over while there are others.
	badFor = 2500 * time.Millisecond
	// behindFor is how long a peer is passed over that answers but is behind; it may
	// find a better source at any moment.
	behindFor = 400 * time.Millisecond
	// retryPause is the pause before the next try when all sources have failed.
	retryPause = 400 * time.Millisecond
	// startTimeout bounds a read of the store by a node that knows nothing, but for
	// each read in patientEvery, which finds a store that is slow. startPause is how
	// long such a node passes over a source that failed: other nodes may start at the
	// same time, and until one has read the store none can serve. Only roots turn to
	// the store so often.
	startTimeout = 400 * time.Millisecond
	patientEvery = 4
	startPause   = 250 * time.Millisecond
	// ageSlack bounds the age of what a node knows that follows the store, and
	// agePerNode is added for each further node on the way to a peer. Each may wait
	// for changes once. Up to three nodes stay under outageAfter, so that a node whose
	// way to the store is cut turns elsewhere before it takes that for an outage.
	ageSlack   = watchWait + 500*time.Millisecond
	agePerNode = peerWait + 100*time.Millisecond
	// unknownAge is told while nothing is known.
	unknownAge = time.Hour
	// outageAfter is the time without any word of the store, from peers either, after
	// which entries may have lapsed.
	outageAfter = 3300 * time.Millisecond
	expireEvery = 100 * time.Millisecond
)

// errBehind is the cause for passing over a peer that is not up to date.
var errBehind = errors.New("the peer is behind")

// storeSource names the store among the sources.
const storeSource = "store"

// Options configure a Watcher.
type Options struct {
	// Process names this start of the node.
	Process string
	Store   Store
	Peers   Peers
	Catalog *catalog.Catalog
	// TableWait is how long after it was accepted a table may wait for its leaves.
	TableWait time.Duration
	// OnChange is called after the catalog has changed.
	OnChange func()
	Logger   *zap.Logger
	Scope    tally.Scope
	// Random returns a number in [0, 1) for jitter.
	Random func() float64
}

// Watcher follows the store, or peers that do.
type Watcher struct {
	options Options
	start   time.Time
	// confirmed is when the store had nothing newer than the catalog, in
	// nanoseconds since start; zero before the first answer.
	confirmed atomic.Int64
	// path are the processes between the store and this one.
	path atomic.Pointer[[]string]
	// mu guards upstream and root.
	mu       sync.Mutex
	upstream []string
	root     bool
	// The fields below belong to the goroutine of Run.
	bad       map[string]time.Duration
	cursors   map[string]Question
	current   string
	watching  bool
	storeLost bool
	// startTries counts the reads of the store while nothing is known.
	startTries int
}

// NewWatcher returns a watcher that follows the store; Run starts it.
func NewWatcher(o Options) *Watcher {
	return &Watcher{
		options: o, start: time.Now(), root: true,
		bad: map[string]time.Duration{}, cursors: map[string]Question{},
	}
}

// SetUpstream sets the peers to follow, best first, and whether the store goes
// before them.
func (w *Watcher) SetUpstream(addresses []string, root bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream, w.root = addresses, root
}

// Age returns the time since the store had nothing newer, and false before the
// first answer.
func (w *Watcher) Age() (time.Duration, bool) {
	confirmed := w.confirmed.Load()
	return w.now() - time.Duration(confirmed), confirmed != 0
}

func (w *Watcher) now() time.Duration { return time.Since(w.start) }

// Run follows the sources until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	go w.expire(ctx)
	for ctx.Err() == nil {
		source, good := w.choose()
		if !good {
			pause := retryPause
			if w.knowsNothing() {
				pause = startPause
			}
			if periodic.Sleep(ctx, w.jitter(pause)) != nil {
				return nil
			}
		}
		changed, err := w.follow(ctx, source)
		if err != nil && ctx.Err() == nil {
			w.failed(source, err)
			continue
		}
		w.use(source)
		if changed && periodic.Sleep(ctx, gatherFor) != nil {
			return nil
		}
	}
	return nil
}

// choose returns the first source that has not failed lately. If all have, it
// returns the one whose turn comes first, and false.
func (w *Watcher) choose() (source string, good bool) {
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
		if w.bad[s] <= now {
			return s, true
		}
		if source == "" || w.bad[s] < w.bad[source] {
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

// followStore reads a snapshot of the store, or waits for changes once.
func (w *Watcher) followStore(ctx context.Context) (changed bool, err error) {
	c := w.options.Catalog
	if w.knowsNothing() {
		w.startTries++
		if w.startTries%patientEvery != 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, startTimeout)
			defer cancel()
		}
		return false, w.readStore(ctx)
	}
	wait := watchWait
	if w.storeLost {
		// A store that is still silent is found out sooner without a wait.
		wait = 0
	}
	u, err := w.options.Store.Watch(ctx, c.View().AsOf, wait)
	if errors.Is(err, ErrHistoryLost) {
		w.options.Logger.Warn("history of the store is lost, reading a snapshot", zap.Uint64("as_of", c.View().AsOf))
		return false, w.readStore(ctx)
	}
	if err != nil {
		return false, err
	}
	w.letTablesWait()
	w.storeAnswered()
	events, complete := c.Apply(w.now(), u)
	if !complete {
		return false, w.readStore(ctx)
	}
	w.report(events, u.AsOf)
	return len(u.Changes) > 0, nil
}

// knowsNothing reports whether neither the store nor a peer has told of any entry.
func (w *Watcher) knowsNothing() bool { return !w.watching && w.options.Catalog.View().AsOf == 0 }

func (w *Watcher) readStore(ctx context.Context) error {
	s, err := w.options.Store.Snapshot(ctx)
	if err != nil {
		return err
	}
	w.letTablesWait()
	w.storeAnswered()
	w.watching = true
	w.report(w.options.Catalog.Replace(w.now(), s), s.AsOf)
	return nil
}

// storeAnswered notes an answer of the store.
func (w *Watcher) storeAnswered() {
	w.endOutage(true)
	if w.storeLost {
		w.storeLost = false
		age, _ := w.Age()
		w.options.Logger.Info("store answers again", zap.Duration("confirmed_ago", age))
	}
	w.path.Store(nil)
	w.confirm(0)
}

// letTablesWait is called before an answer is confirmed and applied. A table that it
// brings was accepted after the last confirmation.
func (w *Watcher) letTablesWait() {
	var until time.Duration
	if age, known := w.Age(); known {
		until = w.now() - age + w.options.TableWait
	}
	w.options.Catalog.DeferTables(until)
}

// endOutage is called before the changes of a source that is up to date are applied.
// If the source is the store, or the store failed this node, and there was no word of
// the store for long, leaves whose entries lapsed meanwhile are held for a moment.
func (w *Watcher) endOutage(fromStore bool) {
	age, known := w.Age()
	if !known || !fromStore && !w.storeLost || age <= outageAfter {
		return
	}
	w.options.Logger.Info("outage of the store has ended, holding lapsed leaves", zap.Duration("lasted", age))
	w.options.Catalog.HoldLapsed(w.now())
}

// confirm notes that the catalog holds all that the store had age ago.
func (w *Watcher) confirm(age time.Duration) {
	at := max(w.now()-age, 1)
	if int64(at) > w.confirmed.Load() {
		w.confirmed.Store(int64(at))
	}
}

// followPeer asks a peer once.
func (w *Watcher) followPeer(ctx context.Context, address string) (changed bool, err error) {
	q := w.cursors[address]
	q.Asker, q.Wait = w.options.Process, peerWait
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerGrace)
	defer cancel()
	r, err := w.options.Peers.Ask(ctx, address, &q)
	if err != nil {
		delete(w.cursors, address)
		return false, err
	}
	limit := ageLimit(len(r.Path))
	if r.Age <= limit && !slices.Contains(r.Path, w.options.Process) {
		w.endOutage(false)
	}
	w.letTablesWait()
	now := w.now()
	var events []catalog.Event
	if r.Full {
		events = w.options.Catalog.Replace(now, &catalog.Snapshot{AsOf: r.AsOf, Entries: r.Changes})
	} else {
		events = w.options.Catalog.Merge(now, r.Changes, r.AsOf)
	}
	w.cursors[address] = Question{Process: r.Process, Sequence: r.Sequence}
	w.report(events, r.AsOf)
	if slices.Contains(r.Path, w.options.Process) {
		return false, fmt.Errorf("%w: it follows this node", errBehind)
	}
	if r.Age > limit {
		return false, fmt.Errorf("%w: what it knows is %v old, more than %v", errBehind, r.Age, limit)
	}
	w.path.Store(&r.Path)
	w.confirm(r.Age)
	return len(r.Changes) > 0, nil
}

// use notes that a source has answered.
func (w *Watcher) use(source string) {
	delete(w.bad, source)
	if w.current == source {
		return
	}
	w.options.Logger.Info("following a source", zap.String("source", source), zap.String("before", w.current),
		zap.Uint64("as_of", w.options.Catalog.View().AsOf))
	w.current = source
}

func (w *Watcher) failed(source string, err error) {
	w.options.Scope.Counter("source_failures").Inc(1)
	now := w.now()
	w.bad[source] = now + w.jitter(w.passOver(source, err))
	if source == storeSource {
		if w.storeLost {
			return
		}
		w.storeLost = true
	}
	age, _ := w.Age()
	w.options.Logger.Warn("source does not answer", zap.String("source", source), zap.Error(err),
		zap.Duration("confirmed_ago", age))
}

// passOver returns how long a source that failed is passed over.
func (w *Watcher) passOver(source string, err error) time.Duration {
	w.mu.Lock()
	root := w.root
	w.mu.Unlock()
	switch {
	case w.knowsNothing() && (root || source != storeSource):
		return startPause
	case errors.Is(err, errBehind):
		return behindFor
	}
	return badFor
}

func (w *Watcher) expire(ctx context.Context) {
	periodic.Run(ctx, expireEvery, func() {
		w.report(w.options.Catalog.Expire(w.now()), w.options.Catalog.View().AsOf)
	})
}

// report logs changes and passes them on.
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
	fields := []zap.Field{zap.String("key", e.Change.Key), zap.Uint64("revision", e.Change.Revision), zap.Uint64("as_of", asOf)}
	switch {
	case e.Ignored != "":
		logger.Info("change ignored", append(fields, zap.String("reason", e.Ignored))...)
	case e.Waits:
		logger.Info("table waits for leaves in a cold start",
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
