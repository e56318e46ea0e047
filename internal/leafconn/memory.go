package leafconn

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

const (
	// maxHeaderBytes bounds the status line and headers of an answer, and maxAnswerBytes
	// its body.
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 16 << 20
	// unreservedHeadBytes is the size of a head for which no memory is reserved. For the bytes
	// beyond it headExpansion times their number is reserved, since the fields of parsed
	// headers are larger than short lines on the wire.
	unreservedHeadBytes = readBuffer
	headExpansion       = 16
	// framingDivisor bounds the framing of a chunked body: it may add up to
	// maxAnswerBytes/framingDivisor bytes.
	framingDivisor = 4
)

// ErrTooLarge is the error of calls whose answer exceeds the size limits or does not fit in
// the memory for answers.
var ErrTooLarge = errors.New("answer exceeds the size or memory limit")

// boundedReader fails with ErrTooLarge once no bytes remain of its allowance. It reserves memory
// for the bytes of a head beyond the first ones.
type boundedReader struct {
	io.Reader
	remaining int
	// unreserved is the number of bytes that may be read without a reservation.
	unreserved int
	memory     *memlimit.Memory
	// reserved is the memory reserved for the present head.
	reserved int
}

// beginHead prepares for reading the head of an answer.
func (r *boundedReader) beginHead() {
	r.remaining, r.unreserved = maxHeaderBytes, unreservedHeadBytes
}

// beginBody prepares for reading a body, for which readBody reserves memory. It returns the
// memory that is reserved for the head.
func (r *boundedReader) beginBody() (reserved int) {
	r.remaining = maxAnswerBytes + maxAnswerBytes/framingDivisor
	r.unreserved = r.remaining
	return r.endHead()
}

// endHead returns the memory that is reserved for the head. The caller releases it.
func (r *boundedReader) endHead() (reserved int) {
	reserved, r.reserved = r.reserved, 0
	return reserved
}

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.Reader.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	if excess := n - r.unreserved; excess > 0 {
		if !r.memory.Reserve(excess * headExpansion) {
			return 0, ErrTooLarge
		}
		r.reserved += excess * headExpansion
	}
	r.unreserved = max(0, r.unreserved-n)
	return n, err
}

// readBody reads the body of an answer into memory reserved from the pool's memory. It
// returns the number of bytes reserved, also with an error.
func (c *conn) readBody(response *http.Response) (body []byte, reserved int, err error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > maxAnswerBytes {
		return nil, 0, ErrTooLarge
	}
	for {
		if cap(body)-len(body) < bytes.MinRead {
			// The reservation of a body of unknown length doubles with the buffer.
			more := max(len(body), bytes.MinRead, int(response.ContentLength)+bytes.MinRead-reserved)
			if !c.pool.memory.Reserve(more) {
				return nil, reserved, ErrTooLarge
			}
			reserved += more
			// The capacity is what is reserved; append would add to it.
			body = append(make([]byte, 0, reserved), body...)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			return nil, reserved, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}
