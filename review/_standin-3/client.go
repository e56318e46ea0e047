package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is what a client has seen of one attempt.
type outcome struct {
	status      int
	body        []byte
	err         string
	sent, ended time.Time
}

// call sends one GET request on a connection and reads the answer. reusable is false if the connection can't be
// used again.
func call(c net.Conn, br *bufio.Reader, route, attempt string, deadline time.Duration) (o outcome, reusable bool) {
	o.sent = time.Now()
	_ = c.SetDeadline(o.sent.Add(deadline + 3*time.Second))
	_, err := fmt.Fprintf(c, "GET /%s/%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n",
		route, attempt, attempt, deadline.Milliseconds())
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(br, nil); err == nil {
			o.status, reusable = response.StatusCode, !response.Close
			o.body, err = io.ReadAll(response.Body)
		}
	}
	o.ended = time.Now()
	if err != nil {
		o.err = err.Error()
		return o, false
	}
	return o, reusable
}
