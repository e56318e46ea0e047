package e2e

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// load sends searches to the nodes in turn until it is stopped.
type load struct {
	cluster *cluster
	stopped atomic.Bool
	// balanced makes the callers avoid nodes that report that they are not ready.
	balanced atomic.Bool
	wg       sync.WaitGroup
	// mu guards answers and errors.
	mu      sync.Mutex
	answers []*answer
	errors  []error
}

// startLoad starts callers that each send one search after the other.
func (c *cluster) startLoad(path string, callers int) *load {
	l := &load{cluster: c}
	nodes := append([]*process(nil), c.nodes...)
	for i := range callers {
		l.wg.Go(func() {
			for n := i; !l.stopped.Load(); n++ {
				if p := nodes[n%len(nodes)]; !l.balanced.Load() || p.isReady() {
					l.send(p, path)
				}
			}
		})
	}
	c.t.Cleanup(l.stop)
	return l
}

// avoidUnready makes the callers behave like a balancer.
func (l *load) avoidUnready(avoid bool) { l.balanced.Store(avoid) }

func (p *process) isReady() bool {
	response, err := http.Get("http://" + p.settings.OpsListen + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

func (l *load) send(p *process, path string) {
	a, err := p.post(path, `{"text":"entry"}`, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.errors = append(l.errors, err)
		return
	}
	l.answers = append(l.answers, a)
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// waitAnswers waits for n more answers.
func (l *load) waitAnswers(n int) {
	l.cluster.t.Helper()
	end := l.count() + n
	l.cluster.wait("answers under load", func() bool { return l.count() >= end })
}

func (l *load) stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}
