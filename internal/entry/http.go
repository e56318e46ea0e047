package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/redwingshelf/redwingshelf/internal/callerconn"
	"github.com/redwingshelf/redwingshelf/internal/coverage"
	"github.com/redwingshelf/redwingshelf/internal/intake"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

const (
	defaultLimit = 20
	maxLimit     = 10000
	maxIDLength  = 128
	// hitBytes is about the memory that a hit of a search takes until its answer has been written.
	hitBytes = 256
	// MinHitsBytes is the memory for the hits of a search with the highest limit.
	MinHitsBytes = maxLimit * hitBytes
)

// HTTP serves callers over HTTP, as described in docs/API.md.
type HTTP struct {
	handler Handler
	tickets func() (string, error)
	maxBody int64
	// hits bounds the memory for the hits of searches in progress.
	hits *memlimit.Memory
	mux  *http.ServeMux
}

// NewHTTP returns the callers' HTTP interface. tickets issues a ticket for a
// request that is not idempotent; maxBody bounds a request body in bytes, and hits the
// memory for the hits of searches in progress.
func NewHTTP(handler Handler, tickets func() (string, error), maxBody int64, hits *memlimit.Memory) *HTTP {
	h := &HTTP{handler: handler, tickets: tickets, maxBody: maxBody, hits: hits, mux: http.NewServeMux()}
	const service = "/v1/customers/{customer}/services/{service}"
	h.mux.HandleFunc("POST "+service+"/search", h.search)
	h.mux.HandleFunc("POST "+service+"/requests", h.request)
	h.mux.HandleFunc("POST /v1/tickets", h.ticket)
	h.mux.HandleFunc("/", h.notFound)
	return h
}

// ServeHTTP implements http.Handler.
func (h *HTTP) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *HTTP) search(w http.ResponseWriter, r *http.Request)  { h.serve(w, r, true) }
func (h *HTTP) request(w http.ResponseWriter, r *http.Request) { h.serve(w, r, false) }

func (h *HTTP) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, "", kind.Errorf(kind.NotFound, "path %q does not exist", r.URL.Path))
}

func (h *HTTP) ticket(w http.ResponseWriter, _ *http.Request) {
	ticket, err := h.tickets()
	if err != nil {
		writeError(w, "", err)
		return
	}
	writeJSON(w, http.StatusCreated, ticketBody{Ticket: ticket})
}

func (h *HTTP) serve(w http.ResponseWriter, r *http.Request, idempotent bool) {
	request, err := h.parse(w, r, idempotent)
	if err != nil && !idempotent && r.Header.Get(HeaderTicket) != "" {
		err = kind.WithRun(err, kind.RunUnknown)
	}
	if err != nil {
		writeError(w, "", err)
		return
	}
	w.Header().Set(HeaderRequestID, request.ID)
	if idempotent {
		size := request.Limit * hitBytes
		if !h.hits.Reserve(size) {
			writeError(w, request.ID, kind.Errorf(kind.Overloaded, "no memory for a search with %d hits", request.Limit))
			return
		}
		defer h.hits.Release(size)
	}
	answer, err := h.handler(r.Context(), request)
	if err != nil {
		writeError(w, request.ID, err)
		return
	}
	writeAnswer(w, request, answer)
}

func (h *HTTP) parse(w http.ResponseWriter, r *http.Request, idempotent bool) (*Request, error) {
	request := &Request{
		ID:         r.Header.Get(HeaderRequestID),
		Customer:   r.PathValue("customer"),
		Service:    r.PathValue("service"),
		Class:      r.Header.Get(HeaderClass),
		Idempotent: idempotent,
		Key:        r.URL.Query().Get("key"),
		Ticket:     r.Header.Get(HeaderTicket),
		Limit:      defaultLimit,
		Received:   time.Now(),
	}
	if len(request.ID) > maxIDLength {
		return nil, kind.Errorf(kind.BadRequest, "header %s is longer than %d bytes", HeaderRequestID, maxIDLength)
	}
	if request.ID == "" {
		request.ID = newID()
	}
	if err := parseTimeout(r, request); err != nil {
		return nil, err
	}
	if err := parseLimit(r, request); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, kind.Errorf(kind.TooLarge, "request body is larger than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, intake.ErrNoRoom) {
		return nil, kind.Errorf(kind.Overloaded, "read the request body: %w", err)
	}
	if err != nil {
		return nil, kind.Errorf(kind.BadRequest, "read the request body: %w", err)
	}
	callerconn.RequestRead(r.Context())
	if !json.Valid(body) {
		return nil, kind.Errorf(kind.BadRequest, "request body is not JSON")
	}
	request.Body = body
	return request, nil
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func parseTimeout(r *http.Request, request *Request) error {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return kind.Errorf(kind.BadRequest, "header %s: %q is not a number of milliseconds", HeaderTimeout, text)
	}
	request.Timeout = time.Duration(ms) * time.Millisecond
	if ms <= 0 {
		request.Timeout = -1
	}
	return nil
}

func parseLimit(r *http.Request, request *Request) error {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxLimit {
		return kind.Errorf(kind.BadRequest, "parameter limit: %q is not between 1 and %d", text, maxLimit)
	}
	request.Limit = limit
	return nil
}

// ticketBody is the answer to a request for a ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

// hitBody is one document of an answer.
type hitBody struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// missingBody is one part of the key space that an answer lacks.
type missingBody struct {
	Leaf   string `json:"leaf"`
	Shard  string `json:"shard"`
	From   uint32 `json:"from"`
	To     uint32 `json:"to"`
	Reason string `json:"reason"`
}

// coverageBody states the covered fraction of the key space. Total is zero if
// the fraction is unknown, in which case Covered is a lower bound.
type coverageBody struct {
	Known   bool          `json:"known"`
	Covered uint32        `json:"covered"`
	Total   uint32        `json:"total"`
	Missing []missingBody `json:"missing"`
}

// searchBody is the answer to a search.
type searchBody struct {
	RequestID string       `json:"request_id"`
	Snapshot  string       `json:"snapshot"`
	Coverage  coverageBody `json:"coverage"`
	Truncated bool         `json:"truncated"`
	Hits      []hitBody    `json:"hits"`
}

// requestBody is the answer to a request that is not idempotent.
type requestBody struct {
	RequestID string          `json:"request_id"`
	Run       kind.Run        `json:"run"`
	Replayed  bool            `json:"replayed"`
	Leaf      string          `json:"leaf"`
	Result    json.RawMessage `json:"result"`
}

// errorBody is the answer to a request that failed.
type errorBody struct {
	RequestID string   `json:"request_id,omitempty"`
	Kind      string   `json:"kind"`
	Message   string   `json:"message"`
	Run       kind.Run `json:"run"`
	MayResend bool     `json:"may_resend"`
}

func writeAnswer(w http.ResponseWriter, r *Request, a *Answer) {
	w.Header().Set(HeaderRun, string(kind.RunYes))
	if a.Result == nil {
		writeJSON(w, http.StatusOK, requestBody{RequestID: r.ID, Run: kind.RunYes, Replayed: a.Replayed, Leaf: a.Leaf, Result: a.Body})
		return
	}
	body := newSearchBody(r, a.Result)
	w.Header().Set(HeaderSnapshot, body.Snapshot)
	w.Header().Set(HeaderCoverage, fmt.Sprintf("%d/%d", body.Coverage.Covered, body.Coverage.Total))
	writeJSON(w, http.StatusOK, body)
}

func newSearchBody(r *Request, result *coverage.Result) searchBody {
	body := searchBody{
		RequestID: r.ID,
		Snapshot:  result.Snapshot.Name,
		Truncated: result.Truncated,
		Hits:      make([]hitBody, len(result.Hits)),
		Coverage: coverageBody{
			Known:   result.Fraction.Known(),
			Covered: result.Fraction.Covered,
			Total:   result.Fraction.Total,
			Missing: make([]missingBody, len(result.Missing)),
		},
	}
	for i, hit := range result.Hits {
		body.Hits[i] = hitBody{ID: hit.ID, Score: hit.Score, Body: hit.Body}
	}
	for i, m := range result.Missing {
		body.Coverage.Missing[i] = missingBody{Leaf: m.Leaf, Shard: m.Shard, From: m.Range.From, To: m.Range.To, Reason: m.Reason.String()}
	}
	return body
}

func writeError(w http.ResponseWriter, id string, err error) {
	answer := kind.Of(err).Answer()
	run := kind.RunOf(err)
	w.Header().Set(HeaderRun, string(run))
	if answer.CallerMayResend {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, answer.Status, errorBody{
		RequestID: id,
		Kind:      answer.Name,
		Message:   messageOf(err),
		Run:       run,
		MayResend: answer.CallerMayResend,
	})
}

// messageOf returns the text of an error without the name of its kind.
func messageOf(err error) string {
	var kindErr *kind.Error
	if errors.As(err, &kindErr) {
		return kindErr.Err.Error()
	}
	return err.Error()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"kind":"internal","message":"answer can't be encoded","run":"unknown","may_resend":false}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
