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

// maxAnswerBytes bounds the answer to a query.
const maxAnswerBytes = 64 << 20

// sendQuery sends one request, which is never sent again.
func sendQuery(ctx context.Context, options *queryOptions, body []byte) (*queryAnswer, error) {
	request, err := newQueryRequest(ctx, options, body)
	if err != nil {
		return nil, err
	}
	if options.submit {
		ticket, err := takeTicket(ctx, options.address)
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
	target := url.URL{Scheme: "http", Host: options.address}
	target.Path = fmt.Sprintf("/v1/customers/%s/services/%s/%s", options.customer, options.service, action)
	target.RawQuery = options.parameters().Encode()
	// Without a way to rewind the body the client can't send it a second time.
	reader := io.NopCloser(bytes.NewReader(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), reader)
	if err != nil {
		return nil, fmt.Errorf("query of %s: %w", options.address, err)
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

// takeTicket asks a host for the ticket of a request that is not idempotent.
func takeTicket(ctx context.Context, address string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/tickets", nil)
	if err != nil {
		return "", fmt.Errorf("ticket of %s: %w", address, err)
	}
	status, body, err := do(request)
	if err != nil {
		return "", err
	}
	var answer struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Ticket == "" {
		return "", fmt.Errorf("ticket of %s: answer with status %d has no ticket", address, status)
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
