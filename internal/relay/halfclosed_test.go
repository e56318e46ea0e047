package relay_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// TestRequestWithoutAnswerIsNoSuccess guards against an empty success for a request that is given up
// without an answer: its caller has closed its sending side, or its body is broken.
func TestRequestWithoutAnswerIsNoSuccess(t *testing.T) {
	const head = "POST /one/x HTTP/1.1\r\nHost: shop.example\r\n%s: req-1\r\n%s: 2000\r\n"
	for name, rest := range map[string]string{
		"whole request":  "Content-Length: 5\r\n\r\norder",
		"truncated body": "Content-Length: 5\r\n\r\nor",
		"broken chunk":   "Transfer-Encoding: chunked\r\n\r\nx\r\norder\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, singleLeafRoutes(false), map[string][]relaytest.Script{"s": {delayed(100*time.Millisecond, relaytest.Answer(200, "sig", "done"))}})
			c, err := net.Dial("tcp", s.server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, head+rest, relaytest.HeaderID, relaytest.HeaderLeft)
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			got, _ := io.ReadAll(c)
			assert.NotContains(t, string(got), "200 OK")
		})
	}
}
