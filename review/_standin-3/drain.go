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
	// shorterCut and longerCut are how long the two machines do not reach the store; the pages name 5.5 s.
	shorterCut = 4300 * time.Millisecond
	longerCut  = 5400 * time.Millisecond
	// leafLife is how long a leaf that has left goes on serving.
	leafLife = 9 * time.Second
	// burstSize is the number of requests that are sent to a machine at the same time.
	burstSize = 24
)

// drain: two machines lose the store for some seconds, one a little longer than the other, while a leaf leaves
// whose entry is removed without a report of draining. Once both have had the store again for contactMs, no
// request may reach that leaf.
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
	const stayers, rounds = 2, 6
	st, err := startStore("127.3.1.1:0", 100, 1)
	if err != nil {
		return couldNotRun(err)
	}
	st.put("op/config", map[string]any{"version": 5,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes":   []any{map[string]any{"name": "one", "host": "shop.example", "prefix": "/one/", "kind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "service": "alpha", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "alpha", "healthPath": "/health", "maxConns": 48, "protocol": "h1", "tls": false, "warmupS": 0.0, "warmupPerS": 0.0}},
	})
	bk := newBook()
	var leavers []*leaf
	for i := range stayers + rounds {
		l := &leaf{id: fmt.Sprintf("i-%02d", i), service: "alpha", zone: "zone-a", address: fmt.Sprintf("127.3.2.%d", i+1),
			store: st, book: bk, slots: 6, work: 10 * time.Millisecond}
		if err := l.start(); err != nil {
			return couldNotRun(err)
		}
		defer l.end()
		if i >= stayers {
			leavers = append(leavers, l)
		}
	}
	ports, err := freePorts(2)
	if err != nil {
		return couldNotRun(err)
	}
	seeds := []string{fmt.Sprintf("%s:%d", nodeIP(0), ports[3]), fmt.Sprintf("%s:%d", nodeIP(1), ports[3])}
	log, err := os.Create(filepath.Join(tmp, "nodes.log"))
	if err != nil {
		return couldNotRun(err)
	}
	var nodes []*node
	var gates []*gate
	for i := range 2 {
		g, err := newGate(fmt.Sprintf("127.3.1.%d:0", i+2), st.address)
		if err != nil {
			return couldNotRun(err)
		}
		n, err := newNode(tmp, i, "zone-a", ports, seeds, g.address)
		if err == nil {
			err = n.start(log)
		}
		if err != nil {
			return couldNotRun(err)
		}
		defer n.kill()
		nodes, gates = append(nodes, n), append(gates, g)
	}
	for _, n := range nodes {
		if !n.waitReady(10 * time.Second) {
			return couldNotRun(fmt.Errorf("%s is not ready", n.name))
		}
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for round := range rounds {
		// The store sees which machine reads it; the other one is told by that machine.
		before := []int{gates[0].watched(), gates[1].watched()}
		time.Sleep(3500 * time.Millisecond)
		reader := 0
		if gates[1].watched()-before[1] > gates[0].watched()-before[0] {
			reader = 1
		}
		other := 1 - reader
		rec.note("round %d: %s reads the store, %s does not", round+1, nodes[reader].name, nodes[other].name)
		l := leavers[round]
		cutAt := time.Now()
		if trouble {
			for i, g := range gates {
				g.cut()
				rec.note("%s is cut off from the store", nodes[i].name)
			}
		}
		time.Sleep(2 * time.Second)
		acked := l.leave()
		rec.noteAt(acked, "leaf %s leaves without reporting draining: the store has removed its entry; it serves for %v more", l.id, leafLife)
		time.Sleep(time.Until(cutAt.Add(shorterCut)))
		if trouble {
			if err := gates[other].heal(); err != nil {
				return couldNotRun(err)
			}
			rec.note("%s reaches the store again", nodes[other].name)
		}
		time.Sleep(time.Until(cutAt.Add(longerCut)))
		if trouble {
			if err := gates[reader].heal(); err != nil {
				return couldNotRun(err)
			}
			rec.note("%s reaches the store again", nodes[reader].name)
		}
		time.Sleep(time.Until(cutAt.Add(longerCut + contact + 300*time.Millisecond)))
		rec.note("both machines are in touch")
		late := 0
		for i, n := range nodes {
			sent, err := burst(n, fmt.Sprintf("%02x%02x", round, i), rec)
			if err != nil {
				return couldNotRun(err)
			}
			for _, attempt := range sent {
				for _, r := range bk.of(attempt) {
					rec.noteAt(r.at, "  %s reached leaf %s from %s", attempt, r.leaf, n.name)
					if after := r.at.Sub(acked); r.leaf == l.id && after > drainBound {
						late++
						rec.noteAt(r.at, "  DRAIN: %.3f s after the store had removed the entry of %s", after.Seconds(), l.id)
					}
				}
			}
		}
		rec.note("round %d: %d late requests at leaf %s", round+1, late, l.id)
		broken += late
		time.Sleep(time.Until(acked.Add(leafLife)))
		l.end()
		rec.note("leaf %s has ended", l.id)
		if broken > 0 {
			break
		}
	}
	rec.note("late requests in all: %d", broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// burst sends requests to a node at the same time, so that they spread over the leaves, and returns their
// attempts.
func burst(n *node, prefix string, rec *record) ([]string, error) {
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
			rec.noteAt(o.sent, "%s sent to %s, answered after %v with %d %s", attempts[k], n.name, o.ended.Sub(o.sent).Round(time.Millisecond), o.status, o.err)
		})
	}
	wg.Wait()
	return attempts, errors.Join(errs...)
}

func couldNotRun(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return 2
}
