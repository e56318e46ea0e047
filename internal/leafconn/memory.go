package leafconn

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeaderBytes bounds the status line and headers of an answer, and maxAnswerBytes
	// its body.
	maxHeaderBytes = 64 << 10
	maxAnswerBytes = 16 << 20
	// framingDivisor bounds the framing of a chunked body: it may add up to
	// maxAnswerBytes/framingDivisor bytes.
	framingDivisor = 4
	// DefaultMemory is the memory for answer bodies, in bytes, of a host that sets no limit.
	DefaultMemory = 256 << 20
)

// ErrTooLarge is the error of calls whose answer exceeds the size limits or does not fit in
// the memory for answer bodies.
var ErrTooLarge = errors.New("answer exceeds the size or memory limit")

// Memory limits the total size of the answer bodies that a node holds.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of limit bytes, or of DefaultMemory if limit is not positive.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		limit = DefaultMemory
	}
	return &Memory{limit: limit}
}

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

func (m *Memory) reserve(n int) bool {
	for {
		used := m.used.Load()
		if used+int64(n) > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

func (m *Memory) release(n int) { m.used.Add(-int64(n)) }

// boundedReader fails with ErrTooLarge once no bytes remain of its allowance.
type boundedReader struct {
	io.Reader
	remaining int
}

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.Reader.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}

// readBody reads the body of an answer into memory reserved from the pool's Memory. It
// returns the number of bytes reserved, also with an error.
func (c *conn) readBody(response *http.Response) (body []byte, reserved int, err error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > maxAnswerBytes {
		return nil, 0, ErrTooLarge
	}
	c.source.remaining = maxAnswerBytes + maxAnswerBytes/framingDivisor
	var read bytes.Buffer
	for {
		if read.Available() < bytes.MinRead {
			// The reservation of a body of unknown length doubles with the buffer.
			more := max(read.Len(), bytes.MinRead, int(response.ContentLength)+bytes.MinRead-reserved)
			if !c.pool.memory.reserve(more) {
				return nil, reserved, ErrTooLarge
			}
			reserved += more
			read.Grow(more)
		}
		n, err := response.Body.Read(read.AvailableBuffer()[:read.Available()])
		read.Write(read.AvailableBuffer()[:n])
		switch {
		case read.Len() > maxAnswerBytes:
			return nil, reserved, ErrTooLarge
		case errors.Is(err, io.EOF):
			return read.Bytes(), reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}
