package relaynode_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/relay/relaytest"
)

// shape is a deployment of one node with services, each of some leaves.
type shape struct {
	name   string
	zone   string
	routes []*catalog.Route
	limits catalog.ClientLimits
	// leaves are the zones of a service's leaves.
	leaves map[string][]string
	// maxConns are the connections that a leaf accepts.
	maxConns int
	requests []shapeRequest
}

// shapeRequest is a request with the answer that it must get.
type shapeRequest struct {
	host, path, body string
	status           int
	// from is the body of the answer: the name of the service that gave it, or the
	// greatest records of a gather.
	from string
}

func route(host, prefix string, backends ...catalog.Target) *catalog.Route {
	return &catalog.Route{
		Name: host + prefix, Host: host, Prefix: prefix, Idempotent: true, Timeout: 2 * time.Second,
		Objective: 500 * time.Millisecond, MaxAttempts: 2, Targets: backends,
	}
}

func gathered(topK int, least float64, shards ...string) *catalog.Route {
	r := route("g", "/")
	r.Shards, r.TopK, r.MinCoverage = shards, topK, least
	return r
}

func only(service string) catalog.Target { return catalog.Target{Service: service, Weight: 1} }

// record returns a record of a gather that is made of one letter.
func record(letter string) string { return strings.Repeat(letter, 16) }

func shapes() []shape {
	var manyRoutes []*catalog.Route
	var manyRequests []shapeRequest
	for i := range 500 {
		prefix := fmt.Sprintf("/%d/", i)
		manyRoutes = append(manyRoutes, route("many", prefix, only("s")), route("many", prefix+"deep/", only("t")))
	}
	for _, i := range []int{0, 1, 50, 499} {
		manyRequests = append(manyRequests,
			shapeRequest{"many", fmt.Sprintf("/%d/x", i), "", 200, "s"},
			shapeRequest{"many", fmt.Sprintf("/%d/deep/x", i), "", 200, "t"},
			shapeRequest{"many", fmt.Sprintf("/%d", i), "", 404, ""})
	}
	var shards []string
	manyShards := map[string][]string{}
	for i := range 60 {
		name := fmt.Sprintf("part-%02d", i)
		shards = append(shards, name)
		manyShards[name] = []string{fmt.Sprintf("z%d", i%7)}
	}
	sevenZones := []string{"z0", "z1", "z2", "z3", "z4", "z5", "z6"}
	return []shape{
		{
			name: "one node, one zone, one leaf of one connection", zone: "z", maxConns: 1,
			routes: []*catalog.Route{route("h", "/", only("s"))}, leaves: map[string][]string{"s": {"z"}},
			requests: []shapeRequest{{"h", "/", "", 200, "s"}, {"h", "/a?b=c", "x", 200, "s"}, {"other", "/", "", 404, ""}},
		},
		{
			name: "seven zones", zone: "z3", maxConns: 5,
			routes: []*catalog.Route{route("h", "/", only("s"))}, leaves: map[string][]string{"s": sevenZones},
			requests: []shapeRequest{{"h", "/", "", 200, "s"}},
		},
		{
			name: "no leaf in the node's zone", zone: "elsewhere", maxConns: 5,
			routes: []*catalog.Route{route("h", "/", only("s"))}, leaves: map[string][]string{"s": {"z0", "z1"}},
			requests: []shapeRequest{{"h", "/", "", 200, "s"}},
		},
		{
			name: "weights of zero", zone: "z", maxConns: 5,
			routes: []*catalog.Route{
				route("h", "/", catalog.Target{Service: "s"}, only("t")),
				route("none", "/", catalog.Target{Service: "s"}),
			},
			leaves:   map[string][]string{"s": {"z"}, "t": {"z"}},
			requests: []shapeRequest{{"h", "/", "", 200, "t"}, {"none", "/", "", 503, ""}},
		},
		{
			name: "a service without leaves", zone: "z", maxConns: 5,
			routes: []*catalog.Route{route("h", "/", only("s")), route("gone", "/", only("t"))},
			leaves: map[string][]string{"s": {"z"}},
			requests: []shapeRequest{
				{"h", "/", "", 200, "s"}, {"gone", "/", "", 503, ""},
			},
		},
		{
			name: "bodies at the limit", zone: "z", maxConns: 5, limits: catalog.ClientLimits{BodyBytes: 3000},
			routes: []*catalog.Route{route("h", "/", only("s"))}, leaves: map[string][]string{"s": {"z"}},
			requests: []shapeRequest{
				{"h", "/", strings.Repeat("b", 3000), 200, "s"}, {"h", "/", strings.Repeat("b", 3001), 413, ""},
			},
		},
		{
			name: "a thousand routes", zone: "z", maxConns: 5, routes: manyRoutes,
			leaves: map[string][]string{"s": {"z"}, "t": {"z"}}, requests: manyRequests,
		},
		{
			name: "a gather of one shard", zone: "z", maxConns: 5, routes: []*catalog.Route{gathered(3, 1, "a")},
			leaves:   map[string][]string{"a": {"z"}},
			requests: []shapeRequest{{"g", "/", "", 200, record("a")}},
		},
		{
			name: "a gather of sixty shards over seven zones", zone: "z2", maxConns: 1,
			routes: []*catalog.Route{gathered(2, 1, shards...)}, leaves: manyShards,
			requests: []shapeRequest{{"g", "/", "", 200, strings.Repeat(record("p"), 2)}},
		},
		{
			name: "a gather that may leave out all but one", zone: "z", maxConns: 5,
			routes: []*catalog.Route{gathered(1, 0, "a", "b", "c")}, leaves: map[string][]string{"b": {"z"}},
			requests: []shapeRequest{{"g", "/", "", 200, record("b")}},
		},
	}
}

// TestShapesOfDeployments serves deployments that differ in their numbers, names and
// bounds.
func TestShapesOfDeployments(t *testing.T) {
	for _, d := range shapes() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			table := &catalog.Table{Version: 1, Routes: d.routes, Limits: d.limits, Services: map[string]*catalog.Service{}}
			s := &store{snapshot: catalog.Snapshot{AsOf: 1, Entries: []catalog.Change{{Key: "table", Revision: 1, Table: table}}}}
			for service, zones := range d.leaves {
				table.Services[service] = &catalog.Service{Name: service, MaxConns: d.maxConns}
				body := service
				for _, r := range d.routes {
					if len(r.Shards) > 0 {
						body = record(service[:1])
					}
				}
				for i, zone := range zones {
					id := fmt.Sprintf("%s/%d", service, i)
					leaf := relaytest.NewLeaf(t, answerWith(body))
					s.snapshot.Entries = append(s.snapshot.Entries, catalog.Change{Key: id, Revision: 1, Leaf: &catalog.Leaf{
						ID: id, Service: service, Address: leaf.Address, DataCentre: zone, Slots: 1,
					}})
				}
			}
			r := startIn(t, "node", d.zone, s)
			r.awaitReady(t)
			for _, want := range d.requests {
				for range 3 {
					status, body := r.ask(t, want)
					assert.Equal(t, want.status, status, "%s%s", want.host, want.path)
					if want.status == http.StatusOK {
						assert.Equal(t, want.from, body, "%s%s", want.host, want.path)
					}
				}
			}
		})
	}
}

// answerWith reads the request's body and answers.
func answerWith(body string) relaytest.Script {
	return func(c net.Conn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		return relaytest.Answer(200, "sig", body)(c, r)
	}
}

func (r *running) ask(t *testing.T, want shapeRequest) (status int, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.settings.CallerListen+want.path, strings.NewReader(want.body))
	require.NoError(t, err)
	request.Host = want.host
	request.Header.Set(relaytest.HeaderID, "id")
	request.Header.Set(relaytest.HeaderLeft, "1500")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(got)
}
