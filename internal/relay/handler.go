package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
	"github.com/redwingshelf/redwingshelf/internal/intake"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/reqlog"
)

const (
	// defaultTimeout is the timeout of a request for which neither the caller nor the
	// route sets one.
	defaultTimeout = 10 * time.Second
	// defaultBodyBytes bounds a request body if the routing table sets no limit.
	defaultBodyBytes = 1 << 20
	// initialLag is the initial estimate of the lag of partial answers. A lag of maxLag or
	// more is not attributed to the node itself and leaves the estimate unchanged.
	initialLag = 4 * time.Millisecond
	maxLag     = 40 * time.Millisecond
)

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// HandlerOptions configures a Handler.
type HandlerOptions struct {
	// CallerMargin returns the part of a route's objective that the round trip to the
	// caller of a request takes; a partial answer is sent that much earlier. It receives
	// the context of the request.
	CallerMargin func(context.Context) time.Duration
	// NonIdempotentMaxIdle bounds how long a connection may have been idle before a request
	// that is not idempotent is sent on it.
	NonIdempotentMaxIdle time.Duration
	// PublishCrashes starts sending the CrashUpdates to the other nodes. It does not wait
	// for them.
	PublishCrashes func()
	// RequestTrial asks a node whether a quarantined content may be sent once.
	RequestTrial func(ctx context.Context, node string, f quarantine.Fingerprint) (bool, error)
	// RequestRead is called when a request has been read completely, with its context. It may be
	// nil.
	RequestRead func(context.Context)
	// Access decides how old the knowledge of keys may be.
	Access AccessOptions
	// Quotas grants credits to requests of limited tenants; nil grants all.
	Quotas Quotas
	// CallBytes bounds the memory for calls to leaves and for the requests that they carry; zero means
	// memlimit.Default.
	CallBytes int64
	// SyncingCrashes reports whether the node still waits for the crash records of its peers.
	SyncingCrashes func() bool
	// NodesRanBefore is set if nodes have run, and kept crash records, before this one was started.
	NodesRanBefore bool
}

// Handler serves the requests of callers.
type Handler struct {
	options  HandlerOptions
	dialect  Dialect
	catalog  *catalog.Catalog
	services *Services
	routes   *routeStates
	log      *reqlog.Log
	metrics  *metrics
	helpers  helpers
	crashes  *quarantine.Crashes
	// startsObservedAt is when the starts of leaves were last observed.
	startsObservedAt atomic.Int64
	// callMemory is the memory for the calls in progress and their requests.
	callMemory *memlimit.Divided
	// stopping is nil until a planned stop, whose begin closes stopBegun.
	stopping  atomic.Pointer[dispatch.StopSchedule]
	stopBegun chan struct{}
	// delegation ends when the node has to answer all requests before it stops.
	delegation    context.Context
	endDelegation context.CancelCauseFunc
	// serving counts the requests of callers in progress.
	serving atomic.Int64
	// gathering counts the gathers in progress for peers.
	gathering atomic.Int64
	// lag is the estimate of how long after its due time a partial answer is written, and
	// partLag of how long after it was due at a peer its answer about a part is processed.
	lag     lagEstimate
	partLag lagEstimate
}

// NewHandler returns a handler.
func NewHandler(o HandlerOptions, d Dialect, c *catalog.Catalog, s *Services, g GatherClient, log *reqlog.Log, scope tally.Scope) *Handler {
	h := &Handler{
		options: o, dialect: d, catalog: c, services: s, routes: newRouteStates(), log: log,
		metrics: newMetrics(scope), helpers: newHelpers(g), callMemory: memlimit.NewDivided(o.CallBytes), stopBegun: make(chan struct{}),
		crashes: quarantine.NewCrashes(quarantine.CrashOptions{TTL: crashRecordTTL, MaxRecords: maxCrashRecords, IDBase: rand.Uint64(), AfterLoss: o.NodesRanBefore}),
	}
	h.delegation, h.endDelegation = context.WithCancelCause(context.Background())
	s.onCrash = h.recordCrash
	h.lag.init(initialLag, 0, maxLag)
	h.partLag.init(initialPartLag, minPartLag, maxPartLag)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if r.ContentLength != 0 {
		// It also bounds how long the server waits for a body that is not needed.
		_ = http.NewResponseController(w).SetReadDeadline(received.Add(defaultTimeout))
	}
	h.serving.Add(1)
	defer h.serving.Add(-1)
	if h.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	q, err := h.serve(w, r, received)
	h.metrics.record(q, err, time.Since(received))
	if kind.Of(err) == kind.Canceled {
		// If the handler returned, the server would send an empty success.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, received time.Time) (*query, error) {
	request, err := h.readRequest(w, r, received)
	if err == nil {
		err = h.checkStop(request)
	}
	if err == nil {
		err = h.admit(r.Context(), request)
	}
	if err == nil {
		err = h.takeCredit(r.Context(), request)
	}
	if err != nil {
		h.writeError(w, request, nil, err)
		return nil, err
	}
	q := newQuery(h, request)
	defer q.release()
	defer func() { h.returnCredit(request, q, err) }()
	if answer := q.delegateWhole(r.Context()); answer != nil {
		q.delegated = answer
		err = answer.err()
		if kind.Of(err) == kind.Canceled && r.Context().Err() == nil {
			// The caller still waits for an answer.
			err = kind.Errorf(kind.ConnectionLost, "the peer has given up the gather: %w", err)
		}
		if err != nil {
			h.writeError(w, request, nil, err)
			return q, err
		}
		return q, h.writeGathered(w, q, answer)
	}
	if err = q.reserve(); err == nil {
		err = q.run(r.Context())
	}
	h.returnUnusedTrial(q, err)
	if err != nil {
		h.writeError(w, request, q, err)
		return q, err
	}
	return q, h.answer(w, q)
}

// readRequest reads the whole request and finds its route.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, received time.Time) (*request, error) {
	request := &request{
		method: r.Method, uri: r.RequestURI, host: r.Host, received: received, view: h.catalog.View(),
	}
	var timeout time.Duration
	var err error
	request.id, timeout = h.dialect.ReadRequest(r.Header)
	table := request.view.Table
	if table == nil {
		return request, kind.Errorf(kind.NoConfiguration, "no routing table has been received yet")
	}
	request.route = table.Match(hostOnly(r.Host), pathOnly(r.RequestURI))
	if request.route == nil {
		return request, kind.Errorf(kind.NotFound, "routing table version %d has no route for %s%s", table.Version, r.Host, r.URL.Path)
	}
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	request.caller, err = h.identify(request, r.Header)
	if err != nil {
		return request, err
	}
	request.deadline = received.Add(shorterTimeout(timeout, request.route.Timeout))
	request.body, err = readBody(w, r, limit, request.deadline)
	if err != nil {
		return request, bodyError(err)
	}
	if h.options.RequestRead != nil {
		h.options.RequestRead(r.Context())
	}
	request.header = forwardedHeaders(r.Header)
	h.dialect.SetTenant(request.header, request.tenantName())
	request.margin = h.options.CallerMargin(r.Context()) + h.lag.value()
	return request, nil
}

// readBody reads the body of a request, of at most limit bytes and until its deadline at most.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
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
		return kind.Errorf(kind.TooLarge, "the request body is larger than %d bytes", tooLarge.Limit)
	}
	switch {
	case errors.Is(err, intake.ErrNoRoom):
		return kind.Errorf(kind.Overloaded, "read the request body: %w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return kind.Errorf(kind.DeadlinePassed, "the request body has not arrived before the deadline: %w", err)
	}
	return kind.Errorf(kind.Canceled, "read the request body: %w", err)
}

// shorterTimeout returns the shorter of two timeouts, or defaultTimeout if neither is set. Zero
// means that a timeout is not set.
func shorterTimeout(a, b time.Duration) time.Duration {
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

// forwardedHeaders returns the headers that are forwarded.
func forwardedHeaders(h http.Header) http.Header {
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
		return h.writeLeafAnswer(w, q.request, q.calls[0].answered)
	}
	return h.writeGathered(w, q, q.mergeParts())
}

// mergeParts merges the parts that have arrived.
func (q *query) mergeParts() *GatherAnswer {
	a := q.mergeCalls(func(*call) bool { return true })
	if len(q.bodies) > 0 {
		a.Signatures = append(a.Signatures, q.signatures...)
		a.Body = mergeTopK(append(q.bodies, a.Body), q.request.route.TopK)
	}
	a.Missing = q.total - len(a.Signatures)
	return a
}

// mergeCalls merges the answers to some of the calls.
func (q *query) mergeCalls(include func(*call) bool) *GatherAnswer {
	a := new(GatherAnswer)
	var parts [][]byte
	for _, c := range q.calls {
		if c.answered != nil && include(c) {
			a.Signatures = append(a.Signatures, c.answered.head.Signature)
			parts = append(parts, c.answered.answer.Body)
		}
	}
	a.Body = mergeTopK(parts, q.request.route.TopK)
	return a
}

// writeGathered writes a gathered answer.
func (h *Handler) writeGathered(w http.ResponseWriter, q *query, a *GatherAnswer) error {
	if a.Missing > 0 {
		h.log.Note("partial answer", q.request.id, zap.String("route", q.request.route.Name),
			zap.Int("missing", a.Missing), zap.Int("failed", q.failed), zap.Duration("after", time.Since(q.request.received)),
			zap.Uint64("as_of", catalog.Number(q.request.view.AsOf)))
	}
	header := w.Header()
	h.dialect.SetGatheredHeaders(header, a.Signatures, a.Missing)
	header["Content-Type"] = []string{"application/octet-stream"}
	header["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	w.WriteHeader(http.StatusOK)
	_, err := w.Write(a.Body)
	if late := time.Since(q.partialDue()); a.Missing > 0 && late > 0 && late < maxLag {
		h.lag.observe(late)
	}
	return err
}

// writeLeafAnswer writes the answer of a leaf that has run the request. It is unchanged, but for a
// status that promises the opposite.
func (h *Handler) writeLeafAnswer(w http.ResponseWriter, r *request, a *attempt) error {
	answer, status := a.answer, a.answer.Status
	if promisesNotRun(status) {
		// The signature is valid only for the leaf's own status.
		status = http.StatusBadGateway
		h.dialect.RemoveSignature(answer.Header)
	}
	if status >= http.StatusBadRequest {
		h.log.Note("leaf failure returned to caller", r.id, zap.String("leaf", a.pick.ID),
			zap.Int("leaf_status", answer.Status), zap.Int("status", status), zap.Duration("after", time.Since(r.received)))
	}
	header := w.Header()
	for name, values := range forwardedHeaders(answer.Header) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		// A nil value keeps the server from adding a content type of its own.
		header["Content-Type"] = nil
	}
	if bodyAllowed(status) {
		header["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	w.WriteHeader(status)
	_, err := w.Write(answer.Body)
	return err
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeError writes the response to a request that failed.
func (h *Handler) writeError(w http.ResponseWriter, r *request, q *query, err error) {
	k := kind.Of(err)
	if k == kind.Canceled {
		h.log.Note("caller disconnected", r.id, zap.Error(err), zap.Duration("after", time.Since(r.received)))
		return
	}
	if q != nil && h.writeLeafFailure(w, q) {
		return
	}
	status := k.Answer().Status
	mayHaveRun := kind.RunOf(err) != kind.RunNo
	if k == kind.Quarantined && !mayHaveRun {
		// The content may be harmless, so the caller may retry.
		status = http.StatusServiceUnavailable
	}
	if mayHaveRun && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	fields := []zap.Field{
		zap.Stringer("kind", k), zap.Int("status", status), zap.Error(err),
		zap.Duration("after", time.Since(r.received)), zap.Uint64("as_of", catalog.Number(r.view.AsOf)),
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name))
	}
	fields = append(fields, h.accessFields(r, k)...)
	h.log.Note("request failed", r.id, fields...)
	if k == kind.StaleConfiguration {
		// The caller's other requests have better chances at another node.
		w.Header().Set("Connection", "close")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterHeader(err, time.Until(r.deadline)))
	}
	http.Error(w, k.String(), status)
}

// writeLeafFailure writes the failure that a leaf has answered to a request to a single
// leaf. It returns false if there is none.
func (h *Handler) writeLeafFailure(w http.ResponseWriter, q *query) bool {
	if q.request.gathered() {
		// The node may have no calls of its own.
		return false
	}
	lastFailed := q.calls[0].lastFailed
	if lastFailed == nil || lastFailed.answer == nil || lastFailed.head.NotRun || lastFailed.head.WrongLeaf || lastFailed.head.Successful {
		return false
	}
	if err := h.writeLeafAnswer(w, q.request, lastFailed); err != nil {
		h.log.Note("failed to write answer", q.request.id, zap.Error(err))
	}
	return true
}
