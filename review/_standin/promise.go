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
	const leaves = 14
	zones := []string{"accra-tema", "accra-kaneshie", "accra-madina"}
	s.config.addService("depot-ledger", 96)
	failing := func(attempt string) int {
		if !trouble {
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
		if i < 2 {
			// 2 of 14 leaves fail two fifths of their requests.
			o.fail = failing
		}
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
	var mu sync.Mutex
	var all []*call
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
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
