package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	drainBound = 3 * time.Second // drainMs
	contact    = 4 * time.Second // contactMs
	// cutLength is how long the zone does not reach the store.
	cutLength = 5500 * time.Millisecond
	// leafLife is how long a leaf that has left goes on serving.
	leafLife = 9 * time.Second
	// burstSize is the number of requests that are sent to a machine at the same time.
	burstSize = 48
	// stayers are the leaves that stay. One of the others leaves in each round, one of eight (0.125) in the last.
	stayers, rounds = 7, 7
	siteCount       = 3
)

// site is a small deployment: two machines of one zone, a store and the leaves of one service.
type site struct {
	name    string
	nodes   []*node
	gates   []*gate
	book    *book
	leavers []*leaf
	rec     *record
}

// drain: nothing gets out of the zone of two machines for some seconds, so that they lose the store, while a leaf
// leaves whose entry is removed without a report of draining. Once both have had the store again for contactMs, no
// request may reach that leaf. Three sites that know nothing of each other do the same beside each other.
func drain(dir string, trouble bool) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return couldNotRun(err)
	}
	tmp, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return couldNotRun(err)
	}
	defer os.RemoveAll(tmp)
	var sites []*site
	defer func() {
		for _, s := range sites {
			s.end()
		}
	}()
	for k := range siteCount {
		s, err := newSite(filepath.Join(tmp, fmt.Sprint(k)), k, rec)
		sites = append(sites, s)
		if err != nil {
			return couldNotRun(err)
		}
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for round := 0; round < rounds && broken == 0; round++ {
		late, errs := make([]int, siteCount), make([]error, siteCount)
		var wg sync.WaitGroup
		for k, s := range sites {
			wg.Go(func() { late[k], errs[k] = s.play(round, trouble) })
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return couldNotRun(err)
		}
		for _, n := range late {
			broken += n
		}
	}
	rec.note("late requests in all: %d", broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// newSite starts a site. What it returns has to be ended, with an error too.
func newSite(dir string, k int, rec *record) (*site, error) {
	s := &site{name: fmt.Sprintf("site %d", k+1), book: newBook(), rec: rec}
	if err := os.Mkdir(dir, 0o755); err != nil {
		return s, err
	}
	st, err := startStore("127.3.1.1:0", 100, 1)
	if err != nil {
		return s, err
	}
	st.put("op/config", map[string]any{"version": 5,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes":   []any{map[string]any{"name": "one", "host": "shop.example", "prefix": "/one/", "kind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "service": "alpha", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "alpha", "healthPath": "/health", "maxConns": 48, "protocol": "h1", "tls": false, "warmupS": 0.0, "warmupPerS": 0.0}},
	})
	for i := range stayers + rounds {
		l := &leaf{id: fmt.Sprintf("i-%02d", i), service: "alpha", zone: "zone-a", address: fmt.Sprintf("127.3.2.%d", i+1),
			store: st, book: s.book, slots: 6, work: 10 * time.Millisecond}
		if err := l.start(); err != nil {
			return s, err
		}
		if i >= stayers {
			s.leavers = append(s.leavers, l)
		}
	}
	ports, err := freePorts(2)
	if err != nil {
		return s, err
	}
	seeds := []string{fmt.Sprintf("%s:%d", nodeIP(0), ports[3]), fmt.Sprintf("%s:%d", nodeIP(1), ports[3])}
	log, err := os.Create(filepath.Join(dir, "nodes.log"))
	if err != nil {
		return s, err
	}
	for i := range 2 {
		g, err := newGate(fmt.Sprintf("127.3.1.%d:0", i+2), st.address)
		if err != nil {
			return s, err
		}
		n, err := newNode(dir, i, "zone-a", ports, seeds, g.address)
		if err == nil {
			err = n.start(log)
		}
		if err != nil {
			return s, err
		}
		s.nodes, s.gates = append(s.nodes, n), append(s.gates, g)
	}
	for _, n := range s.nodes {
		if !n.waitReady(10 * time.Second) {
			return s, fmt.Errorf("%s is not ready", n.name)
		}
	}
	return s, nil
}

func (s *site) end() {
	for _, n := range s.nodes {
		n.kill()
	}
}

func (s *site) noteAt(at time.Time, format string, args ...any) {
	s.rec.noteAt(at, "%s: %s", s.name, fmt.Sprintf(format, args...))
}

func (s *site) note(format string, args ...any) { s.noteAt(time.Now(), format, args...) }

// play plays a round and returns how many requests broke the rule.
func (s *site) play(round int, trouble bool) (late int, err error) {
	// The store sees which machine reads it; the other one is told by that machine.
	before := []int{s.gates[0].watched(), s.gates[1].watched()}
	time.Sleep(3500 * time.Millisecond)
	reader := 0
	if s.gates[1].watched()-before[1] > s.gates[0].watched()-before[0] {
		reader = 1
	}
	s.note("round %d: %s reads the store, %s does not", round+1, s.nodes[reader].name, s.nodes[1-reader].name)
	l := s.leavers[round]
	cutAt := time.Now()
	if trouble {
		for _, g := range s.gates {
			g.cut()
		}
		s.note("nothing gets from the zone to the store")
	}
	time.Sleep(2 * time.Second)
	acked := l.leave()
	s.noteAt(acked, "leaf %s leaves without reporting draining: the store has removed its entry; it serves for %v more", l.id, leafLife)
	time.Sleep(time.Until(cutAt.Add(cutLength)))
	if trouble {
		for _, g := range s.gates {
			g.heal()
		}
		s.note("the cut has ended")
	}
	time.Sleep(time.Until(cutAt.Add(cutLength + contact + 300*time.Millisecond)))
	s.note("both machines are in touch")
	for i, n := range s.nodes {
		sent, err := s.burst(n, fmt.Sprintf("%02x%02x", round, i))
		if err != nil {
			return late, err
		}
		for _, attempt := range sent {
			for _, r := range s.book.of(attempt) {
				s.noteAt(r.at, "  %s reached leaf %s from %s", attempt, r.leaf, n.name)
				if after := r.at.Sub(acked); r.leaf == l.id && after > drainBound {
					late++
					s.noteAt(r.at, "  DRAIN: %.3f s after the store had removed the entry of %s", after.Seconds(), l.id)
				}
			}
		}
	}
	s.note("round %d: %d late requests at leaf %s", round+1, late, l.id)
	time.Sleep(time.Until(acked.Add(leafLife)))
	l.end()
	s.note("leaf %s has ended", l.id)
	return late, nil
}

// burst sends requests to a node at the same time, so that they spread over the leaves, and returns their
// attempts.
func (s *site) burst(n *node, prefix string) ([]string, error) {
	attempts := make([]string, burstSize)
	errs := make([]error, burstSize)
	var wg sync.WaitGroup
	for k := range burstSize {
		attempts[k] = fmt.Sprintf("%s%012x", prefix, k)
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				errs[k] = err
				return
			}
			defer func() { _ = c.Close() }()
			o, _ := call(c, bufio.NewReader(c), "one", attempts[k], 2*time.Second)
			s.noteAt(o.sent, "%s sent to %s, answered after %v with %d %s", attempts[k], n.name, o.ended.Sub(o.sent).Round(time.Millisecond), o.status, o.err)
		})
	}
	wg.Wait()
	return attempts, errors.Join(errs...)
}

func couldNotRun(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return 2
}
