package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/redwingshelf/redwingshelf/internal/entry"
)

// maxAnswerBytes bounds the size of an answer that is read.
const maxAnswerBytes = 64 << 20

// sendQuery sends one request and never retries it.
func sendQuery(ctx context.Context, options *queryOptions, body []byte) (*queryAnswer, error) {
	request, err := newQueryRequest(ctx, options, body)
	if err != nil {
		return nil, err
	}
	if options.submit {
		ticket, err := fetchTicket(ctx, options.address)
		if err != nil {
			return nil, err
		}
		request.Header.Set(entry.HeaderTicket, ticket)
	}
	status, answer, err := do(request)
	if err != nil {
		return nil, err
	}
	return parseAnswer(status, answer)
}

func newQueryRequest(ctx context.Context, options *queryOptions, body []byte) (*http.Request, error) {
	action := "search"
	if options.submit {
		action = "requests"
	}
	u := url.URL{Scheme: "http", Host: options.address}
	u.Path = fmt.Sprintf("/v1/customers/%s/services/%s/%s", options.customer, options.service, action)
	u.RawQuery = options.parameters().Encode()
	// NopCloser hides the type of the reader, so that the request has no GetBody and
	// net/http can't retry it.
	reader := io.NopCloser(bytes.NewReader(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), reader)
	if err != nil {
		return nil, fmt.Errorf("query to %s: %w", options.address, err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(entry.HeaderTimeout, strconv.FormatInt(options.timeout.Milliseconds(), 10))
	setIfPresent(request.Header, entry.HeaderClass, options.class)
	setIfPresent(request.Header, entry.HeaderRequestID, options.requestID)
	return request, nil
}

func (o *queryOptions) parameters() url.Values {
	parameters := url.Values{}
	if o.limit != 0 {
		parameters.Set("limit", strconv.Itoa(o.limit))
	}
	if o.key != "" {
		parameters.Set("key", o.key)
	}
	return parameters
}

func setIfPresent(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// fetchTicket requests a ticket, which a request that is not idempotent needs, from
// a host.
func fetchTicket(ctx context.Context, address string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/tickets", nil)
	if err != nil {
		return "", fmt.Errorf("request ticket from %s: %w", address, err)
	}
	status, body, err := do(request)
	if err != nil {
		return "", err
	}
	var answer struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Ticket == "" {
		return "", fmt.Errorf("request ticket from %s: answer with status %d has no ticket", address, status)
	}
	return answer.Ticket, nil
}

func do(request *http.Request) (status int, body []byte, err error) {
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("query: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	return response.StatusCode, body, nil
}
