package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/redwingshelf/redwingshelf/internal/intake"
)

// startServer starts a server with room for 4 KiB of requests. A request is read completely, and is answered
// once a value has been received from answer.
func startServer(t *testing.T) (address string, serving <-chan struct{}, answer chan<- struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	begun, end := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		ConnState: Track, ConnContext: WithConn,
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			assert.NoError(t, err)
			RequestRead(r.Context())
			begun <- struct{}{}
			select {
			case <-end:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		})),
	}
	go func() {
		_ = server.Serve(Listen(l, intake.Limits{Conns: 10, Bytes: 4 << 10}, tally.NoopScope))
	}()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), begun, end
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// takeRoom sends a request that leaves little room for others.
func takeRoom(t *testing.T, address string, serving <-chan struct{}) net.Conn {
	c := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2800\r\n\r\n"+strings.Repeat("b", 2800))
	require.NoError(t, err)
	<-serving
	return c
}

func readStatus(t *testing.T, c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

func TestHeadWithoutRoomIsRefusedTruly(t *testing.T) {
	address, serving, answer := startServer(t)
	first := takeRoom(t, address, serving)
	second := dial(t, address)
	_, err := io.WriteString(second, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2000)+"\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, readStatus(t, second))
	answer <- struct{}{}
	require.Equal(t, http.StatusOK, readStatus(t, first))
}

func TestBytesAfterARequestDoNotEndIt(t *testing.T) {
	address, serving, answer := startServer(t)
	first := takeRoom(t, address, serving)
	second := dial(t, address)
	_, err := io.WriteString(second, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-serving
	// Each line takes room beyond its bytes.
	for range 4 {
		_, err := io.WriteString(second, "\n")
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	answer <- struct{}{}
	answer <- struct{}{}
	require.Equal(t, http.StatusOK, readStatus(t, second))
	require.Equal(t, http.StatusOK, readStatus(t, first))
}
