package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/leafconn"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route
	// names a time.
	defaultTimeout = 10 * time.Second
	// retryAfter is what callers of a refused request are told to wait, in seconds.
	retryAfter = "0.1"
	// defaultBodyBytes bounds a body while the table names no bound.
	defaultBodyBytes = 1 << 20
	// firstLag is the first estimate of the lag of a partial answer, and maxLag the
	// greatest lag that is taken for the node's own.
	firstLag = 4 * time.Millisecond
	maxLag   = 40 * time.Millisecond
	// lagRise and lagFall are the weights of a sample above and below the estimate.
	lagRise = 0.5
	lagFall = 0.05
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// HandlerOptions configure a Handler.
type HandlerOptions struct {
	// CallerMargin returns the part of a route's objective that the way to and from
	// the caller of a request takes; an answer is sent so much earlier. It gets the
	// request's context.
	CallerMargin func(context.Context) time.Duration
	// NonIdempotentMaxIdle bounds how long a connection may have been idle before a request
	// that must not be repeated is sent on it.
	NonIdempotentMaxIdle time.Duration
	// PublishCrashes lets the other nodes know of CrashNews. It does not wait for them.
	PublishCrashes func()
	// RequestTrial asks a node if a refused content may be sent once.
	RequestTrial func(ctx context.Context, node string, f quarantine.Fingerprint) (bool, error)
	// SyncingCrashes reports whether the node waits for what its peers know of contents.
	SyncingCrashes func() bool
}

// Handler serves callers.
type Handler struct {
	options  HandlerOptions
	dialect  Dialect
	catalog  *catalog.Catalog
	backends *Backends
	routes   *routeStates
	log      *reqlog.Log
	metrics  *metrics
	helpers  helpers
	crashes  *quarantine.Crashes
	stopping atomic.Bool
	// gathering counts the gathers in progress for peers.
	gathering atomic.Int64
	// lag is how long after its due time a partial answer is written, in
	// nanoseconds.
	lag atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(o HandlerOptions, d Dialect, c *catalog.Catalog, b *Backends, g Gatherer, log *reqlog.Log, scope tally.Scope) *Handler {
	h := &Handler{
		options: o, dialect: d, catalog: c, backends: b, routes: newRouteStates(), log: log,
		metrics: newMetrics(scope), helpers: newHelpers(g),
		crashes: quarantine.NewCrashes(quarantine.CrashOptions{Period: crashPeriod, MaxRecords: maxCrashes, Source: rand.Uint64()}),
	}
	b.onEnded = h.leafEnded
	h.lag.Store(int64(firstLag))
	return h
}

// Stop asks callers to close their connections after the next answer.
func (h *Handler) Stop() { h.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q, err := h.serve(w, r, received)
	h.metrics.record(q, err, time.Since(received))
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, received time.Time) (*query, error) {
	request, err := h.read(w, r, received)
	if err == nil {
		err = h.admit(r.Context(), request)
	}
	if err != nil {
		h.refuse(w, request, nil, err)
		return nil, err
	}
	q := newQuery(h, request)
	defer q.release()
	if answer := h.delegate(r.Context(), q); answer != nil {
		q.delegated = answer
		if err := answer.err(); err != nil {
			h.refuse(w, request, nil, err)
			return q, err
		}
		return q, h.writeGathered(w, q, answer)
	}
	err = q.run(r.Context())
	h.endTrial(q, err)
	if err != nil {
		h.refuse(w, request, q, err)
		return q, err
	}
	return q, h.answer(w, q)
}

// read reads the whole request and finds its route.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, received time.Time) (*request, error) {
	request := &request{
		method: r.Method, uri: r.RequestURI, host: r.Host, received: received, view: h.catalog.View(),
	}
	var timeout time.Duration
	request.id, timeout = h.dialect.ReadRequest(r.Header)
	table := request.view.Table
	if table == nil {
		return request, kind.Errorf(kind.NoConfiguration, "no table of routes is known yet")
	}
	request.route = table.Match(hostOnly(r.Host), pathOnly(r.RequestURI))
	if request.route == nil {
		return request, kind.Errorf(kind.NotFound, "no route of version %d matches %s%s", table.Version, r.Host, r.URL.Path)
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return request, bodyError(err)
	}
	request.body = body
	request.header = forwarded(r.Header)
	request.margin = h.options.CallerMargin(r.Context()) + time.Duration(h.lag.Load())
	request.deadline = received.Add(shorter(timeout, request.route.Timeout))
	return request, nil
}

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// pathOnly returns the path of a request target.
func pathOnly(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return kind.Errorf(kind.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return kind.Errorf(kind.Canceled, "read the body: %w", err)
}

// shorter returns the shorter of two times, of which zero means none.
func shorter(a, b time.Duration) time.Duration {
	switch {
	case a <= 0 && b <= 0:
		return defaultTimeout
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// forwarded returns the headers that are passed on.
func forwarded(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		if !connectionHeaders[name] {
			kept[name] = values
		}
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(kept, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return kept
}

// answer writes the answer of a query.
func (h *Handler) answer(w http.ResponseWriter, q *query) error {
	if !q.request.gathered() {
		return h.pass(w, q.calls[0].answer)
	}
	return h.writeGathered(w, q, q.gather())
}

// gather merges the parts that are in.
func (q *query) gather() *GatherAnswer {
	a := new(GatherAnswer)
	var parts [][]byte
	for _, c := range q.calls {
		if c.answer != nil {
			a.Signatures = append(a.Signatures, c.signed)
			parts = append(parts, c.answer.Body)
		}
	}
	a.Missing = len(q.calls) - len(parts)
	a.Body = greatest(parts, q.request.route.TopK)
	return a
}

// writeGathered writes a gathered answer.
func (h *Handler) writeGathered(w http.ResponseWriter, q *query, a *GatherAnswer) error {
	if a.Missing > 0 {
		h.log.Note("answered in part", q.request.id, zap.String("route", q.request.route.Name),
			zap.Int("missing", a.Missing), zap.Int("failed", q.failed), zap.Duration("after", time.Since(q.request.received)),
			zap.Uint64("as_of", q.request.view.AsOf))
	}
	header := w.Header()
	h.dialect.SetGatheredHeaders(header, a.Signatures, a.Missing)
	header["Content-Type"] = []string{"application/octet-stream"}
	header["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(a.Body)
	if late := time.Since(q.due()); a.Missing > 0 && late > 0 && late < maxLag {
		h.observeLag(late)
	}
	return err
}

// observeLag takes the time from when a partial answer was due until it was
// written. The estimate rises fast and falls slowly, so that few answers are late.
func (h *Handler) observeLag(late time.Duration) {
	lag := time.Duration(h.lag.Load())
	gain := lagFall
	if late > lag {
		gain = lagRise
	}
	h.lag.Store(int64(lag) + int64(gain*float64(late-lag)))
}

// pass writes a leaf's answer unchanged.
func (h *Handler) pass(w http.ResponseWriter, answer *leafconn.Answer) error {
	header := w.Header()
	for name, values := range forwarded(answer.Header) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		// A nil value keeps the server from adding a type of its own.
		header["Content-Type"] = nil
	}
	if bodyAllowed(answer.Status) {
		header["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	return err
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse writes the answer to a request that failed.
func (h *Handler) refuse(w http.ResponseWriter, r *request, q *query, err error) {
	k := kind.Of(err)
	if k == kind.Canceled {
		h.log.Note("caller left", r.id, zap.Duration("after", time.Since(r.received)))
		return
	}
	if q != nil && h.passFailure(w, q) {
		return
	}
	status := k.Answer().Status
	ran := kind.RunOf(err) != kind.RunNo
	if k == kind.Quarantined && !ran {
		// The content may be in order, so that a caller may come back.
		status = http.StatusServiceUnavailable
	}
	if ran && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		// These statuses promise that the request has not run.
		status = http.StatusBadGateway
	}
	fields := []zap.Field{
		zap.Stringer("kind", k), zap.Int("status", status), zap.Error(err),
		zap.Duration("after", time.Since(r.received)), zap.Uint64("as_of", r.view.AsOf),
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name))
	}
	h.log.Note("request failed", r.id, fields...)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, k.String(), status)
}

// passFailure passes on the failure that a leaf has answered to a request to one
// leaf. It reports false if there is none.
func (h *Handler) passFailure(w http.ResponseWriter, q *query) bool {
	last := q.calls[0].last
	if q.request.gathered() || last == nil || last.answer == nil || last.head.NotRun || last.head.Misdirected || last.head.Successful {
		return false
	}
	h.log.Note("failure of a leaf passed on", q.request.id, zap.String("leaf", last.pick.ID),
		zap.Int("status", last.answer.Status), zap.Duration("after", time.Since(q.request.received)))
	answer := last.answer
	if answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests {
		changed := *answer
		changed.Status = http.StatusBadGateway
		h.dialect.RemoveSignature(changed.Header)
		answer = &changed
	}
	if err := h.pass(w, answer); err != nil {
		h.log.Note("answer not written", q.request.id, zap.Error(err))
	}
	return true
}
