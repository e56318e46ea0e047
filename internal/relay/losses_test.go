package relay_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// crashOn answers well, but ends the connection on a request with a body.
func crashOn(body string) relaytest.Script {
	return func(c net.Conn, r *http.Request) bool {
		got, err := io.ReadAll(r.Body)
		if err != nil || string(got) == body {
			return relaytest.Reset(c, r)
		}
		return relaytest.Answer(200, "sig", "whole")(c, r)
	}
}

func (s *site) arrivals(service string) int {
	n := 0
	for _, leaf := range s.leaves[service] {
		n += len(leaf.Requests())
	}
	return n
}

// TestContentThatCrashesLeavesIsNotRepeated sends a content that ends the process of
// each leaf that runs it, as callers do that send it again.
func TestContentThatCrashesLeavesIsNotRepeated(t *testing.T) {
	s := newSite(t, oneLeaf(true), map[string][]relaytest.Script{"s": {crashOn("bad"), crashOn("bad"), crashOn("bad")}})
	for i := range 6 {
		got := s.do("POST", "/one/x", "bad")
		if i < 2 {
			assert.Equal(t, 502, got.status)
			assert.Equal(t, 2+i, s.arrivals("s"), "only the first request is repeated")
			continue
		}
		assert.Equal(t, 503, got.status)
		assert.NotEmpty(t, got.header.Get("Retry-After"))
		assert.Equal(t, 3, s.arrivals("s"), "three leaves have crashed")
	}
	assert.Equal(t, 200, s.do("POST", "/one/x", "good").status)
	require.Len(t, s.told, 2)

	other := newSite(t, oneLeaf(true), map[string][]relaytest.Script{"s": {crashOn("bad"), crashOn("bad")}})
	other.handler.TakeLoss(s.told[0])
	assert.Equal(t, 502, other.do("POST", "/one/x", "bad").status)
	assert.Equal(t, 1, other.arrivals("s"), "another node has seen it crash leaves")
	assert.Equal(t, 503, other.do("POST", "/one/x", "bad").status)
	assert.Equal(t, 1, other.arrivals("s"))
	other.handler.TakeLoss(quarantine.Loss{Fingerprint: s.told[0].Fingerprint})
	assert.Equal(t, 502, other.do("POST", "/one/x", "bad").status, "another node has had an answer")
}

// TestLostContentIsRepeatedOnceAnswered loses a content twice in a row for another
// reason than the content.
func TestLostContentIsRepeatedOnceAnswered(t *testing.T) {
	var losing atomic.Bool
	script := func(c net.Conn, r *http.Request) bool {
		if losing.Load() {
			return relaytest.Reset(c, r)
		}
		return relaytest.Answer(200, "sig", "whole")(c, r)
	}
	s := newSite(t, oneLeaf(true), map[string][]relaytest.Script{"s": {script, script, script}})
	for range 3 {
		before := s.arrivals("s")
		losing.Store(true)
		assert.Equal(t, 502, s.do("POST", "/one/x", "same").status)
		assert.Equal(t, 2, s.arrivals("s")-before)
		losing.Store(false)
		assert.Equal(t, 200, s.do("POST", "/one/x", "same").status)
	}
}
