package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// falsePromise lets leaves fail part of the requests that they have run, with a status of their own,
// and counts the requests that are not idempotent and are answered as not run.
func falsePromise(s *site, trouble bool) (outcome, error) {
	// The leaves fail requests for as long as the site file's own entry of this disruption lasts.
	const leaves, before, lasts = 14, 7 * time.Second, 6500 * time.Millisecond
	var from time.Time
	zones := []string{"accra-tema", "accra-kaneshie", "accra-madina"}
	s.config.addService("depot-ledger", 96)
	// chosen are the leaves that fail; mu guards it.
	var mu sync.Mutex
	chosen := map[string]bool{}
	failing := func(leaf, attempt string) int {
		mu.Lock()
		fails := chosen[leaf]
		mu.Unlock()
		if since := time.Since(from); !fails || since < 0 || since > lasts {
			return 0
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(attempt))
		switch n := h.Sum32() % 100; {
		case n < 20:
			return http.StatusTooManyRequests
		case n < 40:
			return http.StatusRequestTimeout
		}
		return 0
	}
	for i := range leaves {
		o := leafOptions{id: fmt.Sprintf("i-%02d", i), service: "depot-ledger", zone: zones[i%3], slots: 2, queue: 8, work: 60 * time.Millisecond}
		o.fail = func(attempt string) int { return failing(o.id, attempt) }
		if err := s.addLeaf(o); err != nil {
			return outcome{}, err
		}
	}
	order := route{
		Name: "job-order", Host: "hufi27.example", Prefix: "/goka902/", Kind: "non_idempotent", TimeoutMS: 2500,
		TargetLatencyMS: 250, Priority: 2, Service: "depot-ledger", MaxAttempts: 2,
	}
	s.config.Routes = append(s.config.Routes, order)
	for i := range 3 {
		s.addNode(zones[i], shelfMachine)
	}
	if err := s.start(); err != nil {
		return outcome{}, err
	}
	from = time.Now().Add(before)
	if trouble {
		// 2 of 14 leaves fail two fifths of their requests: those that have had most of them.
		time.AfterFunc(before, func() {
			busiest := s.log.busiest()[:2]
			mu.Lock()
			defer mu.Unlock()
			for _, id := range busiest {
				chosen[id] = true
			}
			s.log.sayf("leaves %v fail part of their requests for %v", busiest, lasts)
		})
	}
	var all []*call
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	s.load(ctx, s.nodes, 5, 300*time.Millisecond, func(c *client, _ int) *call {
		return c.do(&order, http.MethodPost, fmt.Sprintf("%s%x", order.Prefix, rand.Uint32()), []byte(`{"panes": 4}`), 2500*time.Millisecond)
	}, func(k *call) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, k)
	}).Wait()
	statuses, broken := map[int]int{}, 0
	for _, k := range all {
		statuses[k.status]++
		runs := s.log.runsOf(k.attempt)
		promised := k.status == 429 || k.status == 503 || k.status == 408 || k.status == 421
		if promised && len(runs) > 0 {
			broken++
			s.log.addf("REFUSED: request %s is answered %d, and leaf %s has run it", k.attempt, k.status, runs[0].leaf)
		}
	}
	return outcome{broken: broken > 0, text: fmt.Sprintf("%d requests, by status %v; answered 408, 421, 429 or 503 although a leaf has run them: %d (the rule allows 0)", len(all), statuses, broken)}, nil
}
