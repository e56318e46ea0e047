package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// few is the number of requests that may reach a leaf after their client has gone.
const few = 10

// caseGone: the leaves of one shard of ten turn slow for some seconds. The clients open a connection for
// each request, and close it after the answer.
func caseGone(r *record) (string, bool) {
	const (
		shards      = 10
		clients     = 60
		work        = 7500 * time.Microsecond
		slower      = 11
		slow, pause = 8 * time.Second, 2 * time.Second
	)
	s := newStore()
	c := config{Version: 7, Limits: limits()}
	var names []string
	var disturbed []*leaf
	for i := range shards {
		name := fmt.Sprintf("desk%d", i)
		names = append(names, name)
		c.Services = append(c.Services, newService(name, 25))
		leaves := startLeaves(3, name, s, r, work, func(_ int, l *leaf) { l.queue = 12 })
		if i == 2 {
			disturbed = leaves
		}
	}
	c.Routes = []route{{Name: "r-sweep", Host: host, Prefix: "/sweep/", Kind: "idempotent", TimeoutMS: 800, TargetLatencyMS: 80, Priority: 1, MaxAttempts: 2,
		Gather: names, TopK: 50, MinCoverage: 0.89}}
	s.put("op/config", c)
	machines := startMachines(6, s)
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range clients {
		wg.Go(func() {
			m := machines[i%len(machines)]
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(200+rand.IntN(200)) * time.Millisecond):
				}
				c := &client{address: m.front(), record: r, machine: m.name}
				id := fmt.Sprintf("a-%02d-%04d", i, n)
				c.send("GET", host, "/sweep/2f", id, 800*time.Millisecond, nil)
				c.close()
				r.add(event{Kind: "closed", ID: id, Machine: m.name})
			}
		})
	}
	time.Sleep(8 * time.Second)
	for range 3 {
		if trouble {
			r.add(event{Kind: "slow", Service: disturbed[0].service})
			for _, l := range disturbed {
				l.setWork(slower * work)
			}
		}
		time.Sleep(slow)
		r.add(event{Kind: "fast", Service: disturbed[0].service})
		for _, l := range disturbed {
			l.setWork(work)
		}
		time.Sleep(pause)
	}
	close(done)
	wg.Wait()
	closed, late, status := map[string]time.Duration{}, 0, map[int]int{}
	for _, e := range r.all() {
		switch e.Kind {
		case "closed":
			closed[e.ID] = e.At
		case "answered":
			status[e.Status]++
		case "arrival":
			if at, ok := closed[e.ID]; ok && e.At > at+500*time.Millisecond {
				late++
				r.add(event{Kind: "late", ID: e.ID, Leaf: e.Leaf, Note: fmt.Sprintf("reached the leaf %.3f s after the client had closed its connection", (e.At - at).Seconds())})
			}
		}
	}
	return fmt.Sprintf("answers by status %v; %d requests reached a leaf over half a second after their client had closed its connection", status, late), late > few
}
