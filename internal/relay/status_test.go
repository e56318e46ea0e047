package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// rawStatus answers with a status line that holds any text for a status, and counts the requests.
func rawStatus(status string, requests *atomic.Int64) relaytest.Script {
	return func(c net.Conn, r *http.Request) bool {
		requests.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Trouble\r\n%s: %s\r\n%s: sig\r\nContent-Length: 16\r\n\r\n%s",
			status, relaytest.HeaderID, r.Header.Get(relaytest.HeaderID), relaytest.HeaderSigned, rec("x"))
		// The connection stays open, as that of a leaf that will send nothing more.
		_, _ = io.Copy(io.Discard, c)
		return false
	}
}

// TestAnswerWithoutValidStatusIsAFailure has a leaf send what is no status of an answer. The leaf has
// failed, at once, and nothing of it reaches the caller.
func TestAnswerWithoutValidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "100", "101", "102", "199", "600", "700", "999", "20", "2000", "2x0", "abc", "-20", "+20", ""} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			var single, gathered atomic.Int64
			s := newSetup(t, append(singleLeafRoutes(false), gatherRoutes(2, 0.5)...), map[string][]relaytest.Script{
				"s": {rawStatus(status, &single)}, "s0": {rawStatus(status, &gathered)}, "s1": {relaytest.Answer(200, "sig1", rec("b"))},
			})
			got := s.do(http.MethodPost, "/one/x", "order")
			assert.Equal(t, 502, got.status)
			assert.Empty(t, got.header.Get(relaytest.HeaderSigned))
			assert.NotContains(t, got.body, rec("x"))
			assert.Less(t, got.took, time.Second, "of 2 s")
			assert.EqualValues(t, 1, single.Load())

			got = s.do(http.MethodGet, "/all/x", "")
			assert.Equal(t, 200, got.status)
			assert.Equal(t, rec("b"), got.body)
			assert.Equal(t, "1", got.header.Get(relaytest.HeaderMissing))
		})
	}
}

// TestInterimAnswerIsSkipped checks that an answer may follow an interim one.
func TestInterimAnswerIsSkipped(t *testing.T) {
	s := newSetup(t, singleLeafRoutes(false), map[string][]relaytest.Script{"s": {func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
		return relaytest.Answer(200, "sig", rec("a"))(c, r)
	}}})
	got := s.do(http.MethodPost, "/one/x", "order")
	assert.Equal(t, 200, got.status)
	assert.Equal(t, rec("a"), got.body)
}
