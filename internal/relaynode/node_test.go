package relaynode_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
	"github.com/redwingshelf/redwingshelf/internal/relaynode"
)

// store is a store that never changes and can be away.
type store struct {
	mu       sync.Mutex
	away     bool
	snapshot catalog.Snapshot
}

var errAway = errors.New("the store is away")

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *store) Snapshot(context.Context) (*catalog.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, errAway
	}
	return &s.snapshot, nil
}

func (s *store) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, errAway
	}
	return &catalog.Update{From: after, AsOf: after}, nil
}

// newStore returns a store with one route to leaves.
func newStore(leaves ...*relaytest.Leaf) *store {
	table := &catalog.Table{
		Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", MaxConns: 20}},
		Routes: []*catalog.Route{{
			Name: "one", Host: "shop.example", Prefix: "/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 2, Targets: []catalog.Target{{Service: "s", Weight: 1}},
		}},
	}
	s := &store{snapshot: catalog.Snapshot{AsOf: 1, Entries: []catalog.Change{{Key: "table", Revision: 1, Table: table}}}}
	for i, l := range leaves {
		id := fmt.Sprintf("leaf-%d", i)
		s.snapshot.Entries = append(s.snapshot.Entries, catalog.Change{Key: id, Revision: 1, Leaf: &catalog.Leaf{
			ID: id, Service: "s", Address: l.Address, DataCentre: "z", Slots: 4,
		}})
	}
	return s
}

// freeAddress returns an address on loopback that nothing listens at.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// running is a node that runs until stop is called or the test ends.
type running struct {
	settings relaynode.Settings
	stop     context.CancelFunc
	ended    chan error
	logs     *observer.ObservedLogs
}

// awaitLog waits for a line with fields.
func (r *running) awaitLog(t *testing.T, message string, fields ...zap.Field) {
	t.Helper()
	require.Eventually(t, func() bool {
		lines := r.logs.FilterMessage(message)
		for _, f := range fields {
			lines = lines.FilterField(f)
		}
		return lines.Len() > 0
	}, 10*time.Second, 5*time.Millisecond, message)
}

func start(t *testing.T, name string, s *store, seeds ...string) *running {
	t.Helper()
	return startIn(t, name, "z", s, seeds...)
}

func startIn(t *testing.T, name, zone string, s *store, seeds ...string) *running {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	var settings relaynode.Settings
	var n *relaynode.Node
	var err error = syscall.EADDRINUSE
	// Another socket may take an address before the node listens there.
	for try := 0; try < 10 && errors.Is(err, syscall.EADDRINUSE); try++ {
		settings = relaynode.Settings{
			Name: name, DataCentre: zone, CallerListen: freeAddress(t), ReadyListen: freeAddress(t), PeerListen: freeAddress(t),
			MetricsListen: freeAddress(t), ReadyPath: "/ready", Seeds: seeds, StopWithin: 2 * time.Second,
			RepeatShare: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second,
		}
		n, err = relaynode.New(settings, relaytest.Dialect{}, s, zap.New(core), func() int64 { return 0 })
	}
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{settings: settings, stop: cancel, ended: make(chan error, 1), logs: logs}
	go func() { r.ended <- n.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

func (r *running) readyStatus(t *testing.T) int {
	response, err := http.Get("http://" + r.settings.ReadyListen + "/ready")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func (r *running) awaitReady(t *testing.T) {
	require.Eventually(t, func() bool { return r.readyStatus(t) == http.StatusOK }, 10*time.Second, 5*time.Millisecond)
}

func post(client *http.Client, address, id string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/order", nil)
	if err != nil {
		return nil, err
	}
	request.Host = "shop.example"
	request.Header.Set(relaytest.HeaderID, id)
	request.Header.Set(relaytest.HeaderLeft, "2000")
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, errors.Join(err, response.Body.Close())
}

func TestStartsWithoutStore(t *testing.T) {
	s := newStore(relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x")))
	s.setAway(true)
	r := start(t, "a", s)
	assert.Equal(t, http.StatusServiceUnavailable, r.readyStatus(t))
	response, err := post(http.DefaultClient, r.settings.CallerListen, "1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	s.setAway(false)
	r.awaitReady(t)
	response, err = post(http.DefaultClient, r.settings.CallerListen, "2")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// TestLearnsFromPeer expects a node without the store to serve by what a peer knows.
func TestLearnsFromPeer(t *testing.T) {
	leaf := relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))
	first := start(t, "a", newStore(leaf))
	first.awaitReady(t)
	away := newStore(leaf)
	away.setAway(true)
	second := start(t, "b", away, first.settings.PeerListen)
	second.awaitReady(t)
}

// TestMetricsCountLeavesByState serves with two leaves, of which one is gone.
func TestMetricsCountLeavesByState(t *testing.T) {
	gone := relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))
	gone.Close()
	r := start(t, "a", newStore(gone, relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))))
	r.awaitReady(t)
	require.Eventually(t, func() bool {
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				_, err := post(http.DefaultClient, r.settings.CallerListen, "1")
				assert.NoError(t, err)
			})
		}
		callers.Wait()
		response, err := http.Get("http://" + r.settings.MetricsListen + "/metrics")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		page, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return strings.Contains(string(page), `redwingshelf_relay_leaves{host="a",service="s",state="ejected",zone="z"} 1`) &&
			strings.Contains(string(page), `redwingshelf_relay_leaves{host="a",service="s",state="warm",zone="z"} 1`)
	}, 20*time.Second, 20*time.Millisecond)
	r.awaitLog(t, "leaf left out but for trials", zap.String("service", "s"))
}

// TestNodesHearOfContentThatEndedLeaves sends a content that ends each leaf that runs it to
// one node, and then to another one, which must not send it.
func TestNodesHearOfContentThatEndedLeaves(t *testing.T) {
	var leaves []*relaytest.Leaf
	for range 6 {
		var leaf *relaytest.Leaf
		leaf = relaytest.NewLeaf(t, func(net.Conn, *http.Request) bool {
			leaf.Crash()
			return false
		})
		leaves = append(leaves, leaf)
	}
	arrivals := func() int {
		n := 0
		for _, l := range leaves {
			n += len(l.Requests())
		}
		return n
	}
	s := newStore(leaves...)
	s.snapshot.Entries[0].Table.Routes[0].Idempotent = true
	first := start(t, "a", s)
	first.awaitReady(t)
	second := start(t, "b", s, first.settings.PeerListen)
	second.awaitReady(t)
	first.awaitLog(t, "bounds shared out", zap.Int("nodes", 2))
	for _, r := range []*running{first, second} {
		r.awaitLog(t, "part of the shared bounds taken")
	}
	for i := range 2 {
		response, err := post(http.DefaultClient, first.settings.CallerListen, "1")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Equal(t, 2*(1+i), arrivals())
		second.awaitLog(t, "content known from a peer", zap.Int("ends", 1+i))
	}
	third := start(t, "c", s, first.settings.PeerListen)
	third.awaitReady(t)
	trials := 0
	for _, r := range []*running{first, second, third} {
		response, err := post(http.DefaultClient, r.settings.CallerListen, "2")
		require.NoError(t, err)
		if r.logs.FilterMessage("content sent on trial").Len() > 0 {
			trials++
		} else {
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		}
		require.Equal(t, 4+trials, arrivals(), "%s sends the content", r.settings.Name)
	}
	require.LessOrEqual(t, trials, 1)
}

// TestStopCutsNothingOff sends requests on kept connections while a node stops. Each
// is answered, or was on its way when an idle connection closed and has not run.
func TestStopCutsNothingOff(t *testing.T) {
	slow := relaytest.NewLeaf(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(100 * time.Millisecond)
		return relaytest.Answer(200, "sig", "x")(c, r)
	})
	r := start(t, "a", newStore(slow))
	r.awaitReady(t)
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered, closing := 0, 0
	lost := map[string]bool{}
	stopped := make(chan struct{})
	for caller := range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", caller, i)
				response, err := post(client, r.settings.CallerListen, id)
				mu.Lock()
				switch {
				case err != nil:
					lost[id] = true
				case response.StatusCode == http.StatusOK:
					answered++
				}
				if err == nil && response.Close {
					closing++
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	begin := time.Now()
	r.stop()
	require.Eventually(t, func() bool { return r.readyStatus(t) == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	require.NoError(t, <-r.ended)
	assert.Less(t, time.Since(begin), 2*time.Second)
	close(stopped)
	callers.Wait()
	assert.Greater(t, answered, 20)
	assert.Positive(t, closing, "answers during the stop ask to close the connection")
	for _, id := range slow.Requests() {
		assert.False(t, lost[id], "request %s ran and its caller got no answer", id)
	}
}
