package relay_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
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

// maxTableAge is the age from which the handlers of tests refuse requests with keys.
const maxTableAge = 5 * time.Second

// accessStub states an age of the table and implements relay.Quotas.
type accessStub struct {
	tableAge atomic.Int64
	mu       sync.Mutex
	// credits are those that are left; a negative number sets no limit.
	credits  int
	returned int
}

func (a *accessStub) age() (time.Duration, bool) { return time.Duration(a.tableAge.Load()), true }

func (a *accessStub) Take(context.Context, *catalog.Tenant) (*relay.Credit, time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.credits == 0 {
		return nil, 40 * time.Millisecond, nil
	}
	a.credits--
	return new(relay.Credit), 0, nil
}

func (a *accessStub) Return(*relay.Credit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returned++
}

// recordHeaders returns a script that records the headers of requests and answers them.
func recordHeaders(headers chan<- http.Header, body string) relaytest.Script {
	answer := relaytest.Answer(200, "signed", body)
	return func(c net.Conn, r *http.Request) bool {
		headers <- r.Header.Clone()
		return answer(c, r)
	}
}

// setTenants writes a table with tenants.
func (s *setup) setTenants(version int64, tenants ...*catalog.Tenant) {
	before := s.catalog.View().Newest
	table := &catalog.Table{Version: version, Routes: before.Routes, Services: before.Services, Limits: before.Limits, Tenants: tenants}
	s.catalog.Apply(0, &catalog.Update{From: uint64(version - 1), AsOf: uint64(version), Changes: []catalog.Change{
		{Key: "table", Revision: uint64(version), Table: table},
	}})
	require.EqualValues(s.t, version, s.catalog.View().Newest.Version)
}

func testTenant(name string, keys ...string) *catalog.Tenant {
	t := &catalog.Tenant{Name: name}
	for _, k := range keys {
		t.Credentials = append(t.Credentials, catalog.NewCredential(k))
	}
	return t
}

func TestRequestsAreIdentifiedByKey(t *testing.T) {
	open := singleLeafRoutes(true)[0]
	open.Name, open.Prefix, open.Open = "open", "/open/", true
	routes := append(singleLeafRoutes(true), open)
	cases := []struct {
		name, path string
		header     http.Header
		age        time.Duration
		status     int
		tenant     string
	}{
		{"known key", "/one/x", http.Header{relaytest.HeaderKey: {"k1"}}, 0, 200, "acme"},
		{"claimed tenant is replaced", "/one/x", http.Header{relaytest.HeaderKey: {"k1"}, relaytest.HeaderTenant: {"other"}}, 0, 200, "acme"},
		{"claimed tenant on an open route", "/open/x", http.Header{relaytest.HeaderTenant: {"other", "another"}}, 0, 200, ""},
		{"key on an open route", "/open/x", http.Header{relaytest.HeaderKey: {"k1"}}, 0, 200, ""},
		{"open route, old table", "/open/x", nil, time.Minute, 200, ""},
		{"unknown key", "/one/x", http.Header{relaytest.HeaderKey: {"k9"}}, 0, 401, ""},
		{"no key", "/one/x", nil, 0, 401, ""},
		{"empty key", "/one/x", http.Header{relaytest.HeaderKey: {""}}, 0, 401, ""},
		{"several keys", "/one/x", http.Header{relaytest.HeaderKey: {"k1", "k1"}}, 0, 401, ""},
		{"old table", "/one/x", http.Header{relaytest.HeaderKey: {"k1"}}, maxTableAge + 1, 503, ""},
		{"unknown key, old table", "/one/x", http.Header{relaytest.HeaderKey: {"k9"}}, maxTableAge + 1, 503, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			headers := make(chan http.Header, 10)
			s := newSetup(t, routes, map[string][]relaytest.Script{"s": {recordHeaders(headers, "x")}})
			s.access.credits = -1
			s.setTenants(2, testTenant("acme", "k1"))
			s.access.tableAge.Store(int64(c.age))
			s.extraHeader = c.header
			got := s.do(http.MethodGet, c.path, "")
			assert.Equal(t, c.status, got.status)
			if c.status == 503 {
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			}
			if c.status != 200 {
				assert.Empty(t, headers, "no leaf has received it")
				return
			}
			sent := <-headers
			assert.Equal(t, c.tenant, strings.Join(sent.Values(relaytest.HeaderTenant), "|"))
			assert.Empty(t, sent.Values(relaytest.HeaderKey))
		})
	}
	t.Run("no tenants in the table", func(t *testing.T) {
		headers := make(chan http.Header, 10)
		s := newSetup(t, routes, map[string][]relaytest.Script{"s": {recordHeaders(headers, "x")}})
		s.access.tableAge.Store(int64(time.Hour))
		s.extraHeader = http.Header{relaytest.HeaderTenant: {"other"}}
		assert.Equal(t, 200, s.do(http.MethodGet, "/one/x", "").status)
		assert.Empty(t, (<-headers).Values(relaytest.HeaderTenant))
	})
}

// TestRevokedKeyIsNotSentAgain takes a key away, or lets the table grow old, while a request is at
// its first leaf, which then fails: the request is not sent to another one.
func TestRevokedKeyIsNotSentAgain(t *testing.T) {
	for name, change := range map[string]func(s *setup){
		"key taken away":            func(s *setup) { s.setTenants(3, testTenant("acme", "k2")) },
		"key given to another":      func(s *setup) { s.setTenants(3, testTenant("other", "k1")) },
		"table too old":             func(s *setup) { s.access.tableAge.Store(int64(maxTableAge + 1)) },
		"nothing":                   func(*setup) {},
		"another key is taken away": func(s *setup) { s.setTenants(3, testTenant("acme", "k1")) },
	} {
		t.Run(name, func(t *testing.T) {
			var s *setup
			var sent atomic.Int64
			refuse := relaytest.Answer(200, "signed", "x")
			script := func(c net.Conn, r *http.Request) bool {
				if sent.Add(1) == 1 {
					change(s)
					return relaytest.NotRun(c, r)
				}
				return refuse(c, r)
			}
			s = newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": {script, script}})
			s.access.credits = -1
			s.setTenants(2, testTenant("acme", "k1", "k2"))
			s.extraHeader = http.Header{relaytest.HeaderKey: {"k1"}}
			got := s.do(http.MethodGet, "/one/x", "")
			if name == "nothing" || name == "another key is taken away" {
				assert.Equal(t, 200, got.status)
				return
			}
			assert.Equal(t, 503, got.status)
			assert.EqualValues(t, 1, sent.Load())
		})
	}
}

// TestPeerGetsNoKey checks what a node tells a peer that gathers for it, and that a peer which can't
// confirm the key does not gather.
func TestPeerGetsNoKey(t *testing.T) {
	headers := make(chan http.Header, 100)
	leaves := map[string][]relaytest.Script{}
	for _, service := range gatherRoutes(12, 0.5)[0].Shards {
		leaves[service] = []relaytest.Script{recordHeaders(headers, rec("a"))}
	}
	limited := testTenant("acme", "k1")
	s := newSetup(t, gatherRoutes(12, 0.5), leaves)
	s.access.credits = -1
	s.setTenants(2, limited)
	s.handler.SetDelegation(singleHelper("big"))
	var call *relay.GatherCall
	s.peerStub = func(_ context.Context, c *relay.GatherCall) (*relay.GatherAnswer, bool, error) {
		call = c
		return s.handler.ServeGather(t.Context(), c), true, nil
	}
	s.extraHeader = http.Header{relaytest.HeaderKey: {"k1"}, relaytest.HeaderTenant: {"other"}}
	assert.Equal(t, 200, s.do(http.MethodGet, "/all/x", "").status)
	require.NotNil(t, call)
	assert.Equal(t, "acme", call.Tenant)
	assert.Empty(t, call.Header.Values(relaytest.HeaderKey))
	sent := <-headers
	assert.Equal(t, []string{"acme"}, sent.Values(relaytest.HeaderTenant))
	assert.Empty(t, sent.Values(relaytest.HeaderKey))

	s.setTenants(3, testTenant("acme", "k2"))
	call.Version = 1
	assert.Equal(t, kind.Unauthorized.String(), s.handler.ServeGather(t.Context(), call).Failed)
	s.setTenants(4, limited)
	s.access.tableAge.Store(int64(maxTableAge + 1))
	answer := s.handler.ServeGather(t.Context(), call)
	assert.Equal(t, kind.StaleConfiguration.String(), answer.Failed)
	assert.False(t, answer.MayHaveRun)
}

func TestQuotaRefusesAndGetsCreditsBack(t *testing.T) {
	limited := testTenant("acme", "k1")
	limited.RatePerSecond = 1
	setUp := func(script relaytest.Script) *setup {
		s := newSetup(t, singleLeafRoutes(true), map[string][]relaytest.Script{"s": {script}})
		s.setTenants(2, limited, testTenant("free", "k2"))
		s.extraHeader = http.Header{relaytest.HeaderKey: {"k1"}}
		return s
	}
	t.Run("no credit", func(t *testing.T) {
		s := setUp(relaytest.Answer(200, "signed", "x"))
		got := s.do(http.MethodGet, "/one/x", "")
		assert.Equal(t, 429, got.status)
		assert.Equal(t, "0.04", got.header.Get("Retry-After"))
		s.extraHeader = http.Header{relaytest.HeaderKey: {"k2"}}
		assert.Equal(t, 200, s.do(http.MethodGet, "/one/x", "").status, "a tenant without limit needs no credit")
	})
	t.Run("not run", func(t *testing.T) {
		s := setUp(relaytest.NotRun)
		s.access.credits = 1
		assert.Equal(t, 503, s.do(http.MethodGet, "/one/x", "").status)
		assert.Equal(t, 1, s.access.returned)
	})
	t.Run("may have run", func(t *testing.T) {
		s := setUp(func(net.Conn, *http.Request) bool { return false })
		s.access.credits = 1
		assert.Equal(t, 502, s.do(http.MethodGet, "/one/x", "").status)
		assert.Zero(t, s.access.returned)
	})
	t.Run("run", func(t *testing.T) {
		s := setUp(relaytest.Answer(200, "signed", "x"))
		s.access.credits = 1
		assert.Equal(t, 200, s.do(http.MethodGet, "/one/x", "").status)
		assert.Zero(t, s.access.returned)
	})
}

// TestTenantPriority checks that the tenant's priority replaces that of the route.
func TestTenantPriority(t *testing.T) {
	urgent := testTenant("acme", "k1")
	urgent.HasPriority = true
	routes := singleLeafRoutes(true)
	routes[0].Priority = 3
	assert.Equal(t, 0, relay.PriorityOf(urgent, routes[0]))
	assert.Equal(t, 3, relay.PriorityOf(testTenant("usual"), routes[0]))
	assert.Equal(t, 3, relay.PriorityOf(nil, routes[0]))
}
