package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

func (s *setup) arrivals(service string) int {
	n := 0
	for _, leaf := range s.leaves[service] {
		n += len(leaf.Requests())
	}
	return n
}

// crashOn makes the leaves of a service crash on a request with the given body, and answer all
// others.
func (s *setup) crashOn(service, body string) {
	for _, leaf := range s.leaves[service] {
		leaf.SetScript(func(c net.Conn, r *http.Request) bool {
			got, err := io.ReadAll(r.Body)
			if err != nil || string(got) == body {
				leaf.Crash()
				return false
			}
			return relaytest.Answer(200, "sig", "whole")(c, r)
		})
	}
}

// awaitCrashes waits until the handler has a record of one content with a number of crashes.
func (s *setup) awaitCrashes(ends int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		all := s.handler.Crashes()
		return len(all) == 1 && len(all[0].Ends) == ends
	}, 5*time.Second, time.Millisecond)
}

// TestContentThatCrashesLeavesIsNotRepeated has a caller that retries a content which crashes
// each leaf that runs it. Once two requests in a row have crashed leaves, the content must be
// refused, also by another node that has received the crash records.
func TestContentThatCrashesLeavesIsNotRepeated(t *testing.T) {
	six := make([]relaytest.Script, 6)
	s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": six})
	s.crashOn("s", "bad")
	assert.Equal(t, 502, s.do("POST", "/one/x", "bad").status)
	s.awaitCrashes(2)
	updates := s.handler.CrashUpdates()
	assert.Equal(t, 502, s.do("POST", "/one/x", "bad").status)
	s.awaitCrashes(4)
	for range 4 {
		got := s.do("POST", "/one/x", "bad")
		assert.Equal(t, 503, got.status)
		assert.NotEmpty(t, got.header.Get("Retry-After"))
		assert.Equal(t, 4, s.arrivals("s"), "four leaves have crashed")
	}
	assert.Equal(t, 200, s.do("POST", "/one/x", "good").status)

	other := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": six})
	other.crashOn("s", "bad")
	other.handler.MergeCrashes(updates)
	other.awaitCrashes(2)
	assert.Equal(t, 502, other.do("POST", "/one/x", "bad").status)
	assert.Equal(t, 2, other.arrivals("s"))
	other.awaitCrashes(4)
	assert.Equal(t, 503, other.do("POST", "/one/x", "bad").status, "another node has recorded crashes")
	assert.Equal(t, 2, other.arrivals("s"))
}

// TestAnswerOfAnotherShardDoesNotClearContent guards against a gathered content that crashes the
// leaves of one shard but is cleared because the other shards answer it.
func TestAnswerOfAnotherShardDoesNotClearContent(t *testing.T) {
	five := func() []relaytest.Script {
		list := make([]relaytest.Script, 5)
		for i := range list {
			list[i] = relaytest.Answer(200, "sig", rec("a"))
		}
		return list
	}
	s := newSetup(t, gatherRoutes(2, 0.5), map[string][]relaytest.Script{"s0": five(), "s1": five()})
	s.crashOn("s0", "bad")
	for i := range 2 {
		assert.Equal(t, 200, s.do("POST", "/all/x", "bad").status)
		s.awaitCrashes(2 * (i + 1))
	}
	assert.Equal(t, 503, s.do("POST", "/all/x", "bad").status)
	assert.Equal(t, 4, s.arrivals("s0"))
	call := &relay.GatherCall{
		ID: "req-1", Method: "POST", URI: "/all/x", Host: "shop.example", Header: http.Header{relaytest.HeaderID: {"req-1"}},
		Body: []byte("bad"), Version: 1, Left: time.Second, Within: 100 * time.Millisecond,
	}
	a := s.handler.ServeGather(context.Background(), call)
	assert.Equal(t, kind.Quarantined.String(), a.Failed, "a helper refuses it too")
	assert.Equal(t, 4, s.arrivals("s0"))
}

// TestLostContentIsRetriedOnceAnswered loses a content twice in a row for a reason other than
// the content. After an answer it must be retried as before.
func TestLostContentIsRetriedOnceAnswered(t *testing.T) {
	var losing atomic.Bool
	script := func(c net.Conn, r *http.Request) bool {
		if losing.Load() {
			return relaytest.Reset(c, r)
		}
		return relaytest.Answer(200, "sig", "whole")(c, r)
	}
	s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": {script, script, script}})
	for range 3 {
		before := s.arrivals("s")
		losing.Store(true)
		assert.Equal(t, 502, s.do("POST", "/one/x", "same").status)
		assert.Equal(t, 2, s.arrivals("s")-before)
		losing.Store(false)
		assert.Equal(t, 200, s.do("POST", "/one/x", "same").status)
	}
}

// TestConnectionResetsAreNotCrashes guards against contents that are refused because
// leaves that keep running have reset connections.
func TestConnectionResetsAreNotCrashes(t *testing.T) {
	s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": {relaytest.Reset, relaytest.Reset, relaytest.Reset}})
	for i := range 6 {
		assert.Equal(t, 502, s.do("POST", "/one/x", "same").status)
		assert.Equal(t, 2*(i+1), s.arrivals("s"))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Empty(t, s.handler.Crashes())
}

// TestContentIsSeparatePerCaller guards against mixing up callers that send the same bytes: a
// caller must not be refused for crashes of another one, nor clear the content of another one.
func TestContentIsSeparatePerCaller(t *testing.T) {
	six := make([]relaytest.Script, 6)
	s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": six})
	for _, leaf := range s.leaves["s"] {
		leaf.SetScript(func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Authorization") == "bad" {
				leaf.Crash()
				return false
			}
			return relaytest.Answer(200, "sig", "whole")(c, r)
		})
	}
	statusFor := func(caller string) int {
		r, err := http.NewRequest(http.MethodGet, s.server.URL+"/one/x", nil)
		require.NoError(t, err)
		r.Host = "shop.example"
		r.Header.Set("Authorization", caller)
		r.Header.Set(relaytest.HeaderLeft, timeoutHeader)
		response, err := s.server.Client().Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	for i := range 2 {
		assert.Equal(t, 502, statusFor("bad"))
		s.awaitCrashes(2 * (i + 1))
		assert.Equal(t, 200, statusFor("good"))
	}
	assert.Equal(t, 503, statusFor("bad"))
	assert.Equal(t, 200, statusFor("good"))
}

// TestReplacedEntryCountsAsCrash guards against a content that makes its leaf hang and is not
// recorded, because no connection shows that the leaf's process has ended. A replaced entry of
// the leaf must count as its end.
func TestReplacedEntryCountsAsCrash(t *testing.T) {
	hang := func(net.Conn, *http.Request) bool {
		time.Sleep(5 * time.Second)
		return false
	}
	s := newSetup(t, gatherRoutes(2, 0.5), map[string][]relaytest.Script{
		"s0": {hang}, "s1": {relaytest.Answer(200, "sig", rec("a"))},
	})
	change := func(revision uint64, c catalog.Change) {
		c.Revision = revision
		s.catalog.Merge(0, []catalog.Change{c}, revision)
		s.services.Update()
	}
	start := func(revision uint64) {
		change(revision, catalog.Change{Key: "s0-0", Leaf: &catalog.Leaf{
			ID: "s0-0", Service: "s0", Address: s.leaves["s0"][0].Address, DataCentre: "here", Slots: 4,
			Started: int64(revision), Sequence: int64(revision),
		}})
	}
	start(2)
	assert.Equal(t, 200, s.do("POST", "/all/x", "bad").status)
	change(3, catalog.Change{Key: "zone", TakenOut: "here"})
	change(4, catalog.Change{Key: "zone"})
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, s.handler.Crashes(), "a leaf that is taken out has not ended")
	for i := range 2 {
		assert.Equal(t, 200, s.do("POST", "/all/x", "bad").status)
		assert.Equal(t, 200, s.do("POST", "/all/x", "good").status)
		start(uint64(5 + i))
		require.Eventually(t, func() bool {
			all := s.handler.Crashes()
			return len(all) == 2 && len(all[0].Ends) == i+1
		}, 5*time.Second, time.Millisecond)
	}
	assert.Equal(t, 503, s.do("POST", "/all/x", "bad").status)
}

// TestContentIsHeldAfterLossOfAllNodes guards against a content that crashes its leaves and is sent as
// often as an unknown one by nodes which have all been lost: the entries of the leaves show that some have
// started again before.
func TestContentIsHeldAfterLossOfAllNodes(t *testing.T) {
	for name, restarted := range map[string]bool{"leaves have started again before": true, "all leaves started together": false} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": make([]relaytest.Script, 6)})
			var changes []catalog.Change
			for i, leaf := range s.leaves["s"] {
				started := time.Now().Add(-time.Hour / 2)
				if restarted && i < 2 {
					started = time.Now().Add(-time.Minute)
				}
				id := fmt.Sprint("s-", i)
				changes = append(changes, catalog.Change{Key: id, Revision: 2, Leaf: &catalog.Leaf{
					ID: id, Service: "s", Address: leaf.Address, DataCentre: "here", Slots: 4, Started: started.UnixMilli(),
				}})
			}
			s.catalog.Merge(0, changes, 2)
			s.services.Update()
			s.crashOn("s", "bad")
			assert.Equal(t, 502, s.do("POST", "/one/x", "bad").status)
			s.awaitCrashes(2)
			want, arrivals := 502, 4
			if restarted {
				want, arrivals = 503, 2
			}
			assert.Equal(t, want, s.do("POST", "/one/x", "bad").status)
			assert.Equal(t, arrivals, s.arrivals("s"))
			assert.Equal(t, 200, s.do("POST", "/one/x", "good").status)
		})
	}
}
