package relaynode_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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

// fakeStore is a store that never changes and that can be unavailable.
type fakeStore struct {
	mu          sync.Mutex
	unavailable bool
	snapshot    catalog.Snapshot
}

var errStoreUnavailable = errors.New("store is unavailable")

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeStore) Snapshot(context.Context, time.Duration) (*catalog.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errStoreUnavailable
	}
	return &s.snapshot, nil
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Update, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errStoreUnavailable
	}
	return &catalog.Update{From: after, AsOf: after}, nil
}

// newStore returns a store with one route to leaves.
func newStore(leaves ...*relaytest.Leaf) *fakeStore {
	table := &catalog.Table{
		Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s", MaxConns: 20}},
		Routes: []*catalog.Route{{
			Name: "one", Host: "shop.example", Prefix: "/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 2, WeightedServices: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}},
	}
	s := &fakeStore{snapshot: catalog.Snapshot{AsOf: 1, Entries: []catalog.Change{{Key: "table", Revision: 1, Table: table}}}}
	for i, l := range leaves {
		id := fmt.Sprintf("leaf-%d", i)
		s.snapshot.Entries = append(s.snapshot.Entries, catalog.Change{Key: id, Revision: 1, Leaf: &catalog.Leaf{
			ID: id, Service: "s", Address: l.Address, DataCentre: "z", Slots: 4,
		}})
	}
	return s
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// testNode is a node that runs until stop is called or the test ends.
type testNode struct {
	settings relaynode.Settings
	stop     context.CancelFunc
	ended    chan error
	logs     *observer.ObservedLogs
}

// awaitLog waits for a log line with a message and fields.
func (r *testNode) awaitLog(t *testing.T, message string, fields ...zap.Field) {
	t.Helper()
	require.Eventually(t, func() bool {
		lines := r.logs.FilterMessage(message)
		for _, f := range fields {
			lines = lines.FilterField(f)
		}
		return lines.Len() > 0
	}, 10*time.Second, 5*time.Millisecond, message)
}

func startNode(t *testing.T, name string, s *fakeStore, seeds ...string) *testNode {
	t.Helper()
	return startNodeIn(t, name, "z", s, seeds...)
}

func startNodeIn(t *testing.T, name, dataCentre string, s *fakeStore, seeds ...string) *testNode {
	t.Helper()
	return startNodeWith(t, name, dataCentre, 2*time.Second, s, seeds...)
}

func startNodeWith(t *testing.T, name, dataCentre string, gracePeriod time.Duration, s *fakeStore, seeds ...string) *testNode {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	var settings relaynode.Settings
	var n *relaynode.Node
	var err error = syscall.EADDRINUSE
	// Another socket may take an address before the node listens on it.
	for try := 0; try < 10 && errors.Is(err, syscall.EADDRINUSE); try++ {
		settings = relaynode.Settings{
			Name: name, DataCentre: dataCentre, CallerListen: freeAddress(t), ReadyListen: freeAddress(t), PeerListen: freeAddress(t),
			MetricsListen: freeAddress(t), ReadyPath: "/ready", Seeds: seeds, StopGracePeriod: gracePeriod,
			RetryBudgetRatio: 0.2, RetryBudgetSlack: 50, RetryWindow: 10 * time.Second,
		}
		n, err = relaynode.New(settings, relaytest.Dialect{}, s, zap.New(core), func() int64 { return 0 })
	}
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &testNode{settings: settings, stop: cancel, ended: make(chan error, 1), logs: logs}
	go func() { r.ended <- n.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

func (r *testNode) readyStatus(t *testing.T) int {
	response, err := http.Get("http://" + r.settings.ReadyListen + "/ready")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func (r *testNode) awaitReady(t *testing.T) {
	require.Eventually(t, func() bool { return r.readyStatus(t) == http.StatusOK }, 10*time.Second, 5*time.Millisecond)
}

func post(client *http.Client, address, id string) (*http.Response, error) {
	return postWithin(client, address, id, 2*time.Second)
}

func postWithin(client *http.Client, address, id string, timeout time.Duration) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/order", nil)
	if err != nil {
		return nil, err
	}
	request.Host = "shop.example"
	request.Header.Set(relaytest.HeaderID, id)
	request.Header.Set(relaytest.HeaderLeft, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, errors.Join(err, response.Body.Close())
}

func TestStartsWithoutStore(t *testing.T) {
	s := newStore(relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x")))
	s.setUnavailable(true)
	r := startNode(t, "a", s)
	assert.Equal(t, http.StatusServiceUnavailable, r.readyStatus(t))
	response, err := post(http.DefaultClient, r.settings.CallerListen, "1")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	s.setUnavailable(false)
	r.awaitReady(t)
	response, err = post(http.DefaultClient, r.settings.CallerListen, "2")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// TestLearnsFromPeer expects a node that can't read the store to become ready with the
// catalog of a peer.
func TestLearnsFromPeer(t *testing.T) {
	leaf := relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))
	first := startNode(t, "a", newStore(leaf))
	first.awaitReady(t)
	unavailable := newStore(leaf)
	unavailable.setUnavailable(true)
	second := startNode(t, "b", unavailable, first.settings.PeerListen)
	second.awaitReady(t)
}

// TestMetricsCountLeavesByState serves requests with two leaves, of which one is down.
func TestMetricsCountLeavesByState(t *testing.T) {
	down := relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))
	down.Close()
	r := startNode(t, "a", newStore(down, relaytest.NewLeaf(t, relaytest.Answer(200, "sig", "x"))))
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
	r.awaitLog(t, "leaf ejected, only probes are sent to it", zap.String("service", "s"))
}

// TestNodesShareCrashRecords sends a content that crashes each leaf that runs it to one
// node. After that, no node may send it to a leaf, except for one trial.
func TestNodesShareCrashRecords(t *testing.T) {
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
	first := startNode(t, "a", s)
	first.awaitReady(t)
	second := startNode(t, "b", s, first.settings.PeerListen)
	second.awaitReady(t)
	first.awaitLog(t, "bounds shared out", zap.Int("nodes", 2))
	for _, r := range []*testNode{first, second} {
		r.awaitLog(t, "peers discovered, share of the limits taken")
	}
	for i := range 2 {
		response, err := post(http.DefaultClient, first.settings.CallerListen, "1")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Equal(t, 2*(1+i), arrivals())
		second.awaitLog(t, "crash record received from a peer", zap.Int("ends", 1+i))
	}
	third := startNode(t, "c", s, first.settings.PeerListen)
	third.awaitReady(t)
	trials := 0
	for _, r := range []*testNode{first, second, third} {
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

// TestStopCutsOffNoRequests sends requests on persistent connections while a node stops. Each
// request is answered, unless the node closed the idle connection at the same time; such a
// request has not run.
func TestStopCutsOffNoRequests(t *testing.T) {
	slow := relaytest.NewLeaf(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(100 * time.Millisecond)
		return relaytest.Answer(200, "sig", "x")(c, r)
	})
	r := startNode(t, "a", newStore(slow))
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
