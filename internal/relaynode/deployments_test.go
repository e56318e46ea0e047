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

// deployment describes a deployment with one node, and the requests that it must serve.
type deployment struct {
	name       string
	dataCentre string
	routes     []*catalog.Route
	limits     catalog.ClientLimits
	// leaves are the data centres of the leaves, by service.
	leaves map[string][]string
	// maxConns is the number of connections that a leaf accepts.
	maxConns int
	requests []testRequest
}

// testRequest is a request with the expected answer.
type testRequest struct {
	host, path, body string
	status           int
	// wantBody is the body of the answer: the name of the service that answers, or the
	// greatest records of a gather.
	wantBody string
}

func route(host, prefix string, services ...catalog.WeightedService) *catalog.Route {
	return &catalog.Route{
		Name: host + prefix, Host: host, Prefix: prefix, Idempotent: true, Timeout: 2 * time.Second,
		Objective: 500 * time.Millisecond, MaxAttempts: 2, WeightedServices: services,
	}
}

func gatheredRoute(topK int, minCoverage float64, shards ...string) *catalog.Route {
	r := route("g", "/")
	r.Shards, r.TopK, r.MinCoverage = shards, topK, minCoverage
	return r
}

func onlyService(service string) catalog.WeightedService {
	return catalog.WeightedService{Service: service, Weight: 1}
}

// record returns a record of a gather that repeats one letter.
func record(letter string) string { return strings.Repeat(letter, 16) }

func deployments() []deployment {
	var manyRoutes []*catalog.Route
	var manyRequests []testRequest
	for i := range 500 {
		prefix := fmt.Sprintf("/%d/", i)
		manyRoutes = append(manyRoutes, route("many", prefix, onlyService("s")), route("many", prefix+"deep/", onlyService("t")))
	}
	for _, i := range []int{0, 1, 50, 499} {
		manyRequests = append(manyRequests,
			testRequest{"many", fmt.Sprintf("/%d/x", i), "", 200, "s"},
			testRequest{"many", fmt.Sprintf("/%d/deep/x", i), "", 200, "t"},
			testRequest{"many", fmt.Sprintf("/%d", i), "", 404, ""})
	}
	var shards []string
	manyShards := map[string][]string{}
	for i := range 60 {
		name := fmt.Sprintf("part-%02d", i)
		shards = append(shards, name)
		manyShards[name] = []string{fmt.Sprintf("z%d", i%7)}
	}
	sevenDataCentres := []string{"z0", "z1", "z2", "z3", "z4", "z5", "z6"}
	return []deployment{
		{
			name: "one node, one data centre, one leaf with one connection", dataCentre: "z", maxConns: 1,
			routes: []*catalog.Route{route("h", "/", onlyService("s"))}, leaves: map[string][]string{"s": {"z"}},
			requests: []testRequest{{"h", "/", "", 200, "s"}, {"h", "/a?b=c", "x", 200, "s"}, {"other", "/", "", 404, ""}},
		},
		{
			name: "seven data centres", dataCentre: "z3", maxConns: 5,
			routes: []*catalog.Route{route("h", "/", onlyService("s"))}, leaves: map[string][]string{"s": sevenDataCentres},
			requests: []testRequest{{"h", "/", "", 200, "s"}},
		},
		{
			name: "no leaf in the node's data centre", dataCentre: "elsewhere", maxConns: 5,
			routes: []*catalog.Route{route("h", "/", onlyService("s"))}, leaves: map[string][]string{"s": {"z0", "z1"}},
			requests: []testRequest{{"h", "/", "", 200, "s"}},
		},
		{
			name: "weights of zero", dataCentre: "z", maxConns: 5,
			routes: []*catalog.Route{
				route("h", "/", catalog.WeightedService{Service: "s"}, onlyService("t")),
				route("none", "/", catalog.WeightedService{Service: "s"}),
			},
			leaves:   map[string][]string{"s": {"z"}, "t": {"z"}},
			requests: []testRequest{{"h", "/", "", 200, "t"}, {"none", "/", "", 503, ""}},
		},
		{
			name: "a service without leaves", dataCentre: "z", maxConns: 5,
			routes: []*catalog.Route{route("h", "/", onlyService("s")), route("gone", "/", onlyService("t"))},
			leaves: map[string][]string{"s": {"z"}},
			requests: []testRequest{
				{"h", "/", "", 200, "s"}, {"gone", "/", "", 503, ""},
			},
		},
		{
			name: "bodies at the limit", dataCentre: "z", maxConns: 5, limits: catalog.ClientLimits{BodyBytes: 3000},
			routes: []*catalog.Route{route("h", "/", onlyService("s"))}, leaves: map[string][]string{"s": {"z"}},
			requests: []testRequest{
				{"h", "/", strings.Repeat("b", 3000), 200, "s"}, {"h", "/", strings.Repeat("b", 3001), 413, ""},
			},
		},
		{
			name: "a thousand routes", dataCentre: "z", maxConns: 5, routes: manyRoutes,
			leaves: map[string][]string{"s": {"z"}, "t": {"z"}}, requests: manyRequests,
		},
		{
			name: "a gather of one shard", dataCentre: "z", maxConns: 5, routes: []*catalog.Route{gatheredRoute(3, 1, "a")},
			leaves:   map[string][]string{"a": {"z"}},
			requests: []testRequest{{"g", "/", "", 200, record("a")}},
		},
		{
			name: "a gather of sixty shards in seven data centres", dataCentre: "z2", maxConns: 1,
			routes: []*catalog.Route{gatheredRoute(2, 1, shards...)}, leaves: manyShards,
			requests: []testRequest{{"g", "/", "", 200, strings.Repeat(record("p"), 2)}},
		},
		{
			name: "a gather that may leave out all but one", dataCentre: "z", maxConns: 5,
			routes: []*catalog.Route{gatheredRoute(1, 0, "a", "b", "c")}, leaves: map[string][]string{"b": {"z"}},
			requests: []testRequest{{"g", "/", "", 200, record("b")}},
		},
	}
}

// TestDeploymentsOfDifferentShapes serves requests in deployments that differ in their
// numbers of leaves, routes and shards, in their names and in their limits.
func TestDeploymentsOfDifferentShapes(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			table := &catalog.Table{Version: 1, Routes: d.routes, Limits: d.limits, Services: map[string]*catalog.Service{}}
			s := &fakeStore{snapshot: catalog.Snapshot{AsOf: 1, Entries: []catalog.Change{{Key: "table", Revision: 1, Table: table}}}}
			for service, dataCentres := range d.leaves {
				table.Services[service] = &catalog.Service{Name: service, MaxConns: d.maxConns}
				body := service
				for _, r := range d.routes {
					if len(r.Shards) > 0 {
						body = record(service[:1])
					}
				}
				for i, dataCentre := range dataCentres {
					id := fmt.Sprintf("%s/%d", service, i)
					leaf := relaytest.NewLeaf(t, answerWith(body))
					s.snapshot.Entries = append(s.snapshot.Entries, catalog.Change{Key: id, Revision: 1, Leaf: &catalog.Leaf{
						ID: id, Service: service, Address: leaf.Address, DataCentre: dataCentre, Slots: 1,
					}})
				}
			}
			r := startNodeIn(t, "node", d.dataCentre, s)
			r.awaitReady(t)
			for _, want := range d.requests {
				for range 3 {
					status, body := r.ask(t, want)
					assert.Equal(t, want.status, status, "%s%s", want.host, want.path)
					if want.status == http.StatusOK {
						assert.Equal(t, want.wantBody, body, "%s%s", want.host, want.path)
					}
				}
			}
		})
	}
}

// answerWith returns a script that reads the request's body and answers with a body.
func answerWith(body string) relaytest.Script {
	return func(c net.Conn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		return relaytest.Answer(200, "sig", body)(c, r)
	}
}

func (r *testNode) ask(t *testing.T, want testRequest) (status int, body string) {
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
