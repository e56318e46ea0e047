package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// additional are the bytes that a faulty leaf sends after a complete answer: they belong to no request,
// and bear the ID of none.
const additional = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{429: true, 503: true, 408: true, 421: true}

// caseExtra: faulty leaves send additional bytes after some of their answers, late.
func caseExtra(r *record) (string, bool) {
	const (
		leaves         = 14
		share, spoiled = 0.5, 0.03
		window, pause  = 5 * time.Second, time.Second
		windows        = 8
		clients        = 24
	)
	s := newStore()
	s.put("op/config", config{Version: 7, Limits: limits(), Services: []service{newService("depot", 96)}, Routes: []route{
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", TimeoutMS: 2500, TargetLatencyMS: 250, Priority: 2, MaxAttempts: 2, Service: "depot"},
	}})
	var mu sync.Mutex
	disturbed := false
	due := map[net.Conn]bool{}
	startLeaves(leaves, "depot", s, r, 60*time.Millisecond, func(i int, l *leaf) {
		if !trouble || i >= leaves*share {
			return
		}
		l.before = func(a *arrival) {
			mu.Lock()
			defer mu.Unlock()
			if due[a.conn] {
				r.add(event{Kind: "extra", Leaf: l.id, Note: "additional bytes after the answer before " + a.id})
				_, _ = a.conn.Write([]byte(additional))
			}
			due[a.conn] = disturbed && rand.Float64() < spoiled
		}
	})
	machines := startMachines(6, s)
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range clients {
		wg.Go(func() {
			m := machines[i%len(machines)]
			c := &client{address: m.front(), record: r, machine: m.name}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
				}
				c.send("POST", host, "/book/x", fmt.Sprintf("a-%02d-%04d", i, n), 2500*time.Millisecond, []byte("pane"))
			}
		})
	}
	for range windows {
		mu.Lock()
		disturbed = true
		mu.Unlock()
		time.Sleep(window)
		mu.Lock()
		disturbed = false
		mu.Unlock()
		time.Sleep(pause)
	}
	close(done)
	wg.Wait()
	time.Sleep(3 * time.Second)
	runs, status := map[string]int{}, map[string]int{}
	for _, e := range r.all() {
		switch e.Kind {
		case "run":
			runs[e.ID]++
		case "answered":
			status[e.ID] = e.Status
		}
	}
	twice, refused, served := 0, 0, 0
	for id, code := range status {
		if runs[id] > 1 {
			twice++
			r.add(event{Kind: "twice", ID: id})
		}
		if runs[id] > 0 && promises[code] {
			refused++
			r.add(event{Kind: "refused", ID: id})
		}
		if code == 200 {
			served++
		}
	}
	return fmt.Sprintf("%d additional answers; %d requests that may run once, %d served; %d ran more than once, %d were refused and have run",
		r.count("extra"), len(status), served, twice, refused), twice+refused > 0
}
