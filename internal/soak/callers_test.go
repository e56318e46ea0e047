package soak

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// exchange is one request of a caller and its outcome.
type exchange struct {
	id, path string
	// key is the key of the request; it is empty on a site without tenants.
	key      string
	node     *node
	from, to time.Time
	status   int
	err      error
	// reused reports whether the connection had carried a request before.
	reused bool
}

// callers send requests until they are stopped. Each keeps its connection to a node
// until a request fails or has status 500 or above, or after 61 requests.
type callers struct {
	site  *site
	wg    sync.WaitGroup
	count atomic.Int64
	// mu guards the fields below.
	mu        sync.Mutex
	completed []exchange
	failures  []string
	// failedChecks counts the last readiness checks of each node that failed in a row.
	failedChecks map[*node]int
}

func startCallers(ctx context.Context, s *site, n int, seed uint64) *callers {
	c := &callers{site: s, failedChecks: map[*node]int{}}
	c.wg.Go(func() { c.pollReadiness(ctx) })
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wg.Go(func() { c.run(ctx, rng) })
	}
	return c
}

// pollReadiness checks the readiness of all nodes each second.
func (c *callers) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range c.site.nodes {
			ready := n.ready()
			c.mu.Lock()
			if ready {
				c.failedChecks[n] = 0
			} else {
				c.failedChecks[n]++
			}
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// pick chooses a random node that has not failed its last two readiness checks, or any
// node if there is none.
func (c *callers) pick(rng *rand.Rand) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []*node
	for _, n := range c.site.nodes {
		if c.failedChecks[n] < 2 {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		candidates = c.site.nodes
	}
	return candidates[rng.IntN(len(candidates))]
}

func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	var n *node
	var transport *http.Transport
	used, key := 0, ""
	kind := rng.IntN(tenantKinds)
	for ctx.Err() == nil {
		if n == nil {
			n, used = c.pick(rng), 0
			transport = &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		key = c.site.tenants.nextKey(rng, kind, key)
		r := c.send(rng, n, transport, used > 0, key)
		used++
		c.mu.Lock()
		c.completed = append(c.completed, r)
		c.mu.Unlock()
		if r.err != nil || r.status >= 500 || used > 60 {
			transport.CloseIdleConnections()
			n = nil
		}
	}
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// send sends one request with a unique ID.
func (c *callers) send(rng *rand.Rand, n *node, transport *http.Transport, reused bool, key string) exchange {
	id := fmt.Sprintf("%016x", c.count.Add(1)<<20|int64(rng.Uint32()>>12))
	method, path, body := http.MethodGet, "/all/x", ""
	switch rng.IntN(10) {
	case 0, 1:
		path = "/one/x"
	case 2, 3:
		method, path, body = http.MethodPost, "/once/x", strings.Repeat("b", rng.IntN(2000))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "soak.example"
	request.Header.Set(platformtest.HeaderAttempt, id)
	request.Header.Set(platformtest.HeaderDeadline, "1200")
	if key != "" {
		request.Header.Set(platformtest.HeaderKey, key)
		request.Header.Set(platformtest.HeaderTenant, "claimed")
	}
	r := exchange{id: id, path: path, key: key, node: n, from: time.Now(), reused: reused}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err == nil {
		var got []byte
		if got, err = drain(response); err == nil {
			r.status = response.StatusCode
			c.check(id, path, response, got)
		}
	}
	r.err, r.to = err, time.Now()
	return r
}

func (c *callers) addFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// check checks one answer on its own.
func (c *callers) check(id, path string, response *http.Response, body []byte) {
	if response.StatusCode == http.StatusNotFound {
		c.addFailure("request %s to %s has no route", id, path)
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	if path != "/all/x" {
		if stamp := response.Header.Get(platformtest.HeaderStamp); stamp != platformtest.Stamp("ledger", id) ||
			!bytes.Equal(body, platformtest.Part("ledger", id)) {
			c.addFailure("request %s got an answer stamped %q", id, stamp)
		}
		return
	}
	c.checkGathered(id, response, body)
}

func (c *callers) checkGathered(id string, response *http.Response, body []byte) {
	var parts [][]byte
	seen := map[string]bool{}
	for _, stamp := range strings.Split(response.Header.Get(platformtest.HeaderParts), ", ") {
		service, mine := platformtest.ServiceOf(stamp, id)
		if !mine || seen[service] || !strings.HasPrefix(service, "shard-") {
			c.addFailure("request %s got a wrong part %q", id, stamp)
			return
		}
		seen[service] = true
		parts = append(parts, platformtest.Part(service, id))
	}
	missing, _ := strconv.Atoi(response.Header.Get(platformtest.HeaderMissing))
	if len(seen)+missing != shards || float64(len(seen)) < math.Ceil(0.8*shards) {
		c.addFailure("request %s got %d parts with %d missing", id, len(seen), missing)
	}
	if !bytes.Equal(body, topRecords(parts, 10)) {
		c.addFailure("request %s got records other than the greatest of its parts", id)
	}
}

// topRecords returns the k greatest records in descending order.
func topRecords(parts [][]byte, k int) []byte {
	var records []string
	for _, p := range parts {
		for i := 0; i+16 <= len(p); i += 16 {
			records = append(records, string(p[i:i+16]))
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	return []byte(strings.Join(records[:min(k, len(records))], ""))
}
