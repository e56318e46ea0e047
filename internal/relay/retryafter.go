package relay

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

const (
	// defaultRetryAfter is the time after which a refused request may be sent again, if no
	// better time is known.
	defaultRetryAfter = 100 * time.Millisecond
	// minRetryAfter bounds the time from below.
	minRetryAfter = 10 * time.Millisecond
	// callerPatience is the fraction of the time left that callers wait at most before they
	// send a refused request again.
	callerPatience = 1.0 / 3
)

// retryLaterError is the error of a refused request that may succeed after a known time.
type retryLaterError struct {
	err   error
	after time.Duration
}

// Error implements the error interface.
func (e *retryLaterError) Error() string { return e.err.Error() }

// Unwrap returns the reason of the refusal.
func (e *retryLaterError) Unwrap() error { return e.err }

// withRetryAfter adds the time after which a refused request may succeed. Zero adds nothing.
func withRetryAfter(err error, after time.Duration) error {
	if after <= 0 {
		return err
	}
	return &retryLaterError{err: err, after: after}
}

// retryAfterOf returns the time that withRetryAfter has added, or zero.
func retryAfterOf(err error) time.Duration {
	var later *retryLaterError
	if errors.As(err, &later) {
		return later.after
	}
	return 0
}

// retryAfterHeader returns the value of the Retry-After header for a request refused with err,
// whose caller waits for left.
func retryAfterHeader(err error, left time.Duration) string {
	after := retryAfterOf(err)
	if after == 0 {
		after = defaultRetryAfter
	} else if left > 0 {
		after = max(min(after, time.Duration(callerPatience*float64(left))), minRetryAfter)
	}
	return strconv.FormatFloat(after.Seconds(), 'f', -1, 64)
}

// quietLeft returns the time after which enough services have a leaf that may be called, if the
// others lack one only because their leaves have asked for quiet, and zero otherwise.
func (q *query) quietLeft() time.Duration {
	callable := 0
	var left []time.Duration
	for _, c := range q.calls {
		s := q.handler.services.get(c.service)
		switch {
		case s == nil:
		case s.callable():
			callable++
		default:
			if d := s.quietLeft(); d > 0 {
				left = append(left, d)
			}
		}
	}
	slices.Sort(left)
	for i, d := range left {
		if q.covered(callable + i + 1) {
			return d
		}
	}
	return 0
}
