package leafconn

import (
	"bytes"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReadAnswer checks that no bytes sent by a leaf exceed the limits, and that the memory
// of a body is released.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add(bytes.Repeat([]byte("HTTP/1.1 102 Processing\r\n\r\n"), 50))
	f.Fuzz(func(t *testing.T, data []byte) {
		memory := NewMemory(1 << 20)
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		c := newConn(NewPool("leaf", 1, true, memory), near)
		c.source.Reader = bytes.NewReader(data)
		e := &exchange{request: plainRequest()}
		answer, _, err := c.readAnswer(e)
		if err == nil {
			require.GreaterOrEqual(t, answer.Status, http.StatusOK)
			require.LessOrEqual(t, int64(len(answer.Body)), memory.Used())
			answer.Release()
		}
		require.Zero(t, memory.Used())
	})
}
