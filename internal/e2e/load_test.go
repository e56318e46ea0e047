package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a caller sends.
type request struct {
	path, body string
	headers    map[string]string
}

// exchange is a request with its answer or error.
type exchange struct {
	request
	node       *process
	sent, done time.Time
	answer     *answer
	err        error
}

// ok reports whether the answer has status 200.
func (e *exchange) ok() bool { return e.err == nil && e.answer.Status == http.StatusOK }

// load runs callers that send requests to the nodes in turn until it is stopped.
type load struct {
	cluster *cluster
	build   func(n int64) request
	sent    atomic.Int64
	stopped atomic.Bool
	// interval is the minimum time from the start of one request of a caller to the
	// start of its next.
	interval time.Duration
	// skipUnready makes the callers skip nodes that are not ready.
	skipUnready atomic.Bool
	wg          sync.WaitGroup
	// mu guards exchanges.
	mu        sync.Mutex
	exchanges []exchange
}

// searchAll builds a search for every entry of the index, with a body that is unique
// to n.
func searchAll(n int64) request {
	return request{path: searchPath + "?limit=1000", body: fmt.Sprintf(`{"text":"entry","number":%d}`, n)}
}

// pacedInterval is long enough to leave the processors idle for most of the time.
const pacedInterval = 25 * time.Millisecond

// startLoad starts callers that each send searches without a pause.
func (c *cluster) startLoad(callers int) *load { return c.startLoadOf(searchAll, callers) }

// startPacedLoad starts callers that each send at most one search per pacedInterval.
func (c *cluster) startPacedLoad(callers int) *load {
	return c.startCallers(&load{build: searchAll, interval: pacedInterval}, callers)
}

func (c *cluster) startLoadOf(build func(n int64) request, callers int) *load {
	return c.startCallers(&load{build: build}, callers)
}

func (c *cluster) startCallers(l *load, callers int) *load {
	l.cluster = c
	nodes := append([]*process(nil), c.nodes...)
	for i := range callers {
		l.wg.Go(func() {
			for n := i; !l.stopped.Load(); n++ {
				p := nodes[n%len(nodes)]
				if p.unreachable.Load() || l.skipUnready.Load() && !p.isReady() {
					continue
				}
				begin := time.Now()
				l.record(p.exchange(l.build(l.sent.Add(1))))
				time.Sleep(l.interval - time.Since(begin))
			}
		})
	}
	c.t.Cleanup(l.stop)
	return l
}

// avoidUnready makes the callers skip nodes that are not ready, as a load balancer
// does.
func (l *load) avoidUnready(avoid bool) { l.skipUnready.Store(avoid) }

func (p *process) isReady() bool {
	response, err := client.Get("http://" + p.settings.OpsListen + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// exchange sends a request and waits for its answer.
func (p *process) exchange(r request) exchange {
	e := exchange{request: r, node: p, sent: time.Now()}
	e.answer, e.err = p.post(r.path, r.body, r.headers)
	e.done = time.Now()
	return e
}

func (l *load) record(e exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
}

// countOK returns the number of answers with status 200.
func (l *load) countOK() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.exchanges {
		if l.exchanges[i].ok() {
			n++
		}
	}
	return n
}

// waitAnswers waits for n more answers with status 200.
func (l *load) waitAnswers(n int) {
	l.cluster.t.Helper()
	end := l.countOK() + n
	l.cluster.wait("answers under load", func() bool { return l.countOK() >= end })
}

// waitFullCoverage waits for n more answers with full coverage.
func (l *load) waitFullCoverage(n int) {
	l.cluster.t.Helper()
	end := l.countFullCoverage() + n
	l.cluster.wait("answers with full coverage under load", func() bool { return l.countFullCoverage() >= end })
}

// countFullCoverage returns the number of answers with full coverage.
func (l *load) countFullCoverage() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.exchanges {
		if e := &l.exchanges[i]; e.ok() && e.answer.Coverage.Covered == e.answer.Coverage.Total {
			n++
		}
	}
	return n
}

func (l *load) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
	if l.cluster.t.Failed() {
		l.cluster.t.Logf("answers by node: %v", l.outcomes())
	}
}

// outcomes counts the exchanges by node and result.
func (l *load) outcomes() map[string]int {
	counts := map[string]int{}
	for _, e := range l.exchanges {
		counts[e.node.settings.Name+": "+e.summary()]++
	}
	return counts
}

func (e *exchange) summary() string {
	if e.err != nil {
		return e.err.Error()
	}
	a := e.answer
	return fmt.Sprintf("%d %s %s %d/%d %v", a.Status, a.Kind, a.Message, a.Coverage.Covered, a.Coverage.Total, a.Coverage.Missing)
}

// anyNode returns a random reachable node.
func (c *cluster) anyNode() *process {
	for {
		if p := c.nodes[rand.IntN(len(c.nodes))]; !p.unreachable.Load() {
			return p
		}
	}
}
