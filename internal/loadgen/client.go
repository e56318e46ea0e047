package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/entry"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 64 << 20

// client sends requests to nodes.
type client struct {
	http    *http.Client
	timeout time.Duration
	// exchangeTimeout bounds a whole exchange, including the request for a ticket.
	exchangeTimeout time.Duration
}

func newClient(o *Options) *client {
	c := &client{timeout: o.Timeout, exchangeTimeout: o.Timeout + answerGrace}
	if o.Timeout == 0 {
		c.exchangeTimeout = defaultTimeout
	}
	c.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: o.MaxInFlight,
		DisableCompression:  true,
	}}
	return c
}

func (c *client) close() { c.http.CloseIdleConnections() }

// send sends one request, after obtaining a ticket if it needs one, and returns its
// answer.
func (c *client) send(ctx context.Context, address, id string, s *Stream) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.exchangeTimeout)
	defer cancel()
	ticket := ""
	if s.Submit {
		issued, err := c.post(ctx, "http://"+address+"/v1/tickets", "", nil)
		if err != nil || issued.Ticket == "" {
			return issued, err
		}
		ticket = issued.Ticket
	}
	return c.post(ctx, "http://"+address+s.path(id), s.Body, c.header(id, ticket, s))
}

func (s *Stream) path(id string) string {
	path := "/v1/customers/" + s.Customer + "/services/" + s.Service
	if s.Submit {
		return path + "/requests?key=" + id
	}
	if s.Limit > 0 {
		return path + "/search?limit=" + strconv.Itoa(s.Limit)
	}
	return path + "/search"
}

func (c *client) header(id, ticket string, s *Stream) http.Header {
	h := http.Header{}
	h.Set(entry.HeaderRequestID, id)
	if s.Class != "" {
		h.Set(entry.HeaderClass, s.Class)
	}
	if ticket != "" {
		h.Set(entry.HeaderTicket, ticket)
	}
	if c.timeout > 0 {
		h.Set(entry.HeaderTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	}
	return h
}

func (c *client) post(ctx context.Context, url, body string, header http.Header) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	if header != nil {
		request.Header = header
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	answer := &Answer{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, fmt.Errorf("decode answer with status %d: %w", response.StatusCode, err)
	}
	answer.Status = response.StatusCode
	return answer, nil
}
