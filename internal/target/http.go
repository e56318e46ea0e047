package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// MaxAnswer is the maximum length of a leaf's answer in bytes.
const MaxAnswer = 1 << 20

// answerGrace is the time after a call's deadline for which the call still waits for the
// leaf's answer.
const answerGrace = 500 * time.Millisecond

// HTTP calls one leaf by the HTTP contract. It uses HTTP/2 without TLS, so that
// cancelling a call does not close its connection.
type HTTP struct {
	base   url.URL
	conns  *conns
	memory *memlimit.Memory
}

// NewHTTP returns a Caller of the leaf at a base URL such as
// http://10.0.0.7:9000, with at most the given number of connections. Bodies of answers are
// reserved in memory while they are received.
func NewHTTP(base string, connections int, memory *memlimit.Memory) (*HTTP, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("leaf address %q: %w", base, err)
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("leaf address %q is not of the form http://IP:PORT", base)
	}
	h := &HTTP{base: url.URL{Scheme: "http", Host: u.Host}, memory: memory}
	h.conns = newConns(u.Host, connections, h.report)
	return h, nil
}

// Call implements Caller. It waits for the leaf's answer up to answerGrace past the
// deadline, since the leaf itself ends late work and reports it.
func (h *HTTP) Call(ctx context.Context, r *Request) (*Answer, error) {
	if time.Until(r.Deadline) <= 0 {
		return nil, deadlinePassed(r)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(answerGrace))
	defer cancel()
	c, err := h.conns.get(ctx)
	if err != nil {
		return nil, newCallError(err)
	}
	defer c.end()
	// Opening the connection may have taken time.
	remaining := time.Until(r.Deadline)
	if remaining <= 0 {
		return nil, deadlinePassed(r)
	}
	select {
	case <-r.Withdrawn:
		return nil, newCallError(kind.WithRun(kind.Errorf(kind.Canceled, "call to leaf %q was withdrawn", r.Leaf), kind.RunNo))
	default:
	}
	if r.Incarnation != "" && c.firstReport.Incarnation != "" && c.firstReport.Incarnation != r.Incarnation {
		return nil, incarnationMismatch(c, r)
	}
	heads := new(informational)
	response, err := c.client.RoundTrip(h.newRequest(heads.bound(ctx), r, remaining))
	if err != nil && ctx.Err() == nil && (heads.exceeded() || c.sentInvalidHead(err)) {
		h.conns.retire(c)
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "leaf %q sent an invalid head: %w", r.Leaf, err))
	}
	if err != nil {
		h.conns.sweep()
		return nil, h.transportError(ctx, c, r, err)
	}
	defer h.end(ctx, c, response)
	return h.readAnswer(ctx, c, r, response)
}

// end closes the body of an answer, and retires the connection if the leaf goes on sending.
func (h *HTTP) end(ctx context.Context, c *conn, response *http.Response) {
	if !endBody(response.Body) && ctx.Err() == nil {
		h.conns.retire(c)
	}
}

// Cancel implements Caller.
func (h *HTTP) Cancel(ctx context.Context, id string) {
	c, err := h.conns.get(ctx)
	if err != nil {
		return
	}
	defer c.end()
	u := h.base
	u.Path = PathCancel
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return
	}
	request.Header.Set(HeaderRequestID, id)
	response, err := c.client.RoundTrip(request)
	if err == nil {
		h.end(ctx, c, response)
	}
}

func deadlinePassed(r *Request) error {
	return newCallError(kind.Errorf(kind.DeadlinePassed, "deadline passed before leaf %q was called", r.Leaf))
}

// incarnationMismatch returns the error of a call whose leaf has restarted since the call was
// admitted. The call has to be admitted again for the new process.
func incarnationMismatch(c *conn, r *Request) error {
	e := newCallError(kind.Errorf(kind.LeafCold, "leaf %q has incarnation %q instead of %q", r.Leaf, c.firstReport.Incarnation, r.Incarnation))
	e.Report = c.firstReport
	return e
}

func (h *HTTP) newRequest(ctx context.Context, r *Request, remaining time.Duration) *http.Request {
	u := h.base
	u.Path = PathRun
	header := http.Header{
		HeaderRequestID:  {r.ID},
		HeaderTimeout:    {strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)},
		HeaderIdempotent: {strconv.FormatBool(r.Idempotent)},
		HeaderLeaf:       {r.Leaf},
		HeaderCustomer:   {r.Customer},
		HeaderClass:      {r.Class},
	}
	if r.Snapshot != "" {
		header[HeaderSnapshot] = []string{r.Snapshot}
	}
	// GetBody stays nil, so that net/http can't resend the body.
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &u,
		Host:          u.Host,
		Header:        header,
		ContentLength: int64(len(r.Body)),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
	}
	return request.WithContext(ctx)
}

// transportError classifies a failure without an answer. The outcome of the request is
// unknown, since it may have left this node.
func (h *HTTP) transportError(ctx context.Context, c *conn, r *Request, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return newCallError(kind.Errorf(kind.DeadlineExceeded, "leaf %q did not answer in time", r.Leaf))
	case ctx.Err() != nil:
		return newCallError(kind.Errorf(kind.Canceled, "call to leaf %q was canceled", r.Leaf))
	default:
		e := newCallError(kind.Errorf(kind.ConnectionLost, "call to leaf %q: %w", r.Leaf, err))
		e.Died = !c.retired.Load()
		return e
	}
}

func (h *HTTP) readAnswer(ctx context.Context, c *conn, r *Request, response *http.Response) (*Answer, error) {
	if echo := response.Header.Get(HeaderRequestID); echo != r.ID {
		h.conns.retire(c)
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "leaf %q answered request %q instead of %q", r.Leaf, echo, r.ID))
	}
	report, err := parseReport(response.Header)
	if err != nil {
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "leaf %q: %w", r.Leaf, err))
	}
	if response.StatusCode != http.StatusOK && (response.StatusCode < http.StatusBadRequest || response.StatusCode > maxStatus) {
		h.conns.retire(c)
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "leaf %q answered with the invalid status %d", r.Leaf, response.StatusCode))
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(r, report, response)
	}
	if response.ContentLength < 0 || response.ContentLength > MaxAnswer {
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "leaf %q declared a length of %d bytes", r.Leaf, response.ContentLength))
	}
	if !h.memory.Reserve(int(response.ContentLength)) {
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "no memory for %d bytes of leaf %q", response.ContentLength, r.Leaf))
	}
	defer h.memory.Release(int(response.ContentLength))
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return nil, h.bodyError(ctx, c, r, err)
	}
	from, to, err := ParseRange(response.Header.Get(HeaderKeyRange))
	if err != nil {
		return nil, newCallError(kind.Errorf(kind.BadAnswer, "leaf %q: %w", r.Leaf, err))
	}
	return &Answer{
		Report:   report,
		Snapshot: response.Header.Get(HeaderSnapshot),
		From:     from,
		To:       to,
		Body:     body,
	}, nil
}

func (h *HTTP) bodyError(ctx context.Context, c *conn, r *Request, err error) error {
	if ctx.Err() != nil {
		return h.transportError(ctx, c, r, err)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return newCallError(kind.Errorf(kind.BadAnswer, "answer of leaf %q is truncated: %w", r.Leaf, err))
	}
	return h.transportError(ctx, c, r, err)
}

// maxStatus is the greatest status of a refusal.
const maxStatus = 599

// refusals maps the values of HeaderRefusal to kinds.
var refusals = map[string]kind.Kind{
	"shed":     kind.LeafShed,
	"cold":     kind.LeafCold,
	"leaving":  kind.LeafLeaving,
	"snapshot": kind.SnapshotNotHeld,
	"deadline": kind.DeadlineExceeded,
	"canceled": kind.Canceled,
}

func refusal(r *Request, report Report, response *http.Response) error {
	reason := response.Header.Get(HeaderRefusal)
	k, known := refusals[reason]
	saysNotRun := response.Header.Get(HeaderRun) == string(kind.RunNo)
	if !known || k.Answer().Run == kind.RunNo && !saysNotRun {
		k = kind.OutcomeUnknown
	}
	e := newCallError(kind.Errorf(k, "leaf %q refused with status %d (%s)", r.Leaf, response.StatusCode, reason))
	e.Report = report
	return e
}

// Report implements Caller.
func (h *HTTP) Report(ctx context.Context) (*Report, error) {
	c, err := h.conns.get(ctx)
	if err != nil {
		return nil, err
	}
	defer c.end()
	report, err := h.report(ctx, c.client)
	switch {
	case kind.Of(err) == kind.ConnectionLost:
		h.conns.sweep()
		return nil, err
	case err != nil:
		h.conns.retire(c)
		return nil, err
	}
	return &report, nil
}

// report requests the report of the leaf at the other end of a connection.
func (h *HTTP) report(ctx context.Context, client *http.ClientConn) (Report, error) {
	u := h.base
	u.Path = PathReport
	request, err := http.NewRequestWithContext(new(informational).bound(ctx), http.MethodGet, u.String(), nil)
	if err != nil {
		return Report{}, err
	}
	response, err := client.RoundTrip(request)
	if err != nil {
		return Report{}, kind.Errorf(kind.ConnectionLost, "request the report of leaf at %s: %w", u.Host, err)
	}
	if !endBody(response.Body) {
		return Report{}, kind.Errorf(kind.BadAnswer, "report of leaf at %s does not end", u.Host)
	}
	report, err := parseReport(response.Header)
	if err != nil {
		return Report{}, kind.Errorf(kind.BadAnswer, "report of leaf at %s: %w", u.Host, err)
	}
	return report, nil
}

// SetConnections implements Caller.
func (h *HTTP) SetConnections(n int) { h.conns.setLimit(n) }

// Counts implements Caller.
func (h *HTTP) Counts() (open, retired int) { return h.conns.counts() }

// Close implements Caller.
func (h *HTTP) Close() { h.conns.close() }

func newCallError(err error) *CallError { return &CallError{Err: err} }
