package e2e

import (
	"sync"
	"sync/atomic"
)

// load sends searches to the nodes in turn until it is stopped.
type load struct {
	cluster *cluster
	stopped atomic.Bool
	wg      sync.WaitGroup
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
				l.send(nodes[n%len(nodes)], path)
			}
		})
	}
	c.t.Cleanup(l.stop)
	return l
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
