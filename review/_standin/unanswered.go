package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// unansweredGathers lets all leaves of some shards crash, so that gathers can't reach their
// coverage, and counts the requests whose connection a node closes without an answer.
func unansweredGathers(s *site, trouble bool) (outcome, error) {
	const shards, leavesPerShard, crashedShards = 36, 3, 5
	s.log.quiet = true
	zones := []string{"accra-tema", "accra-kaneshie", "accra-madina"}
	var gather []string
	for i := range shards {
		name := fmt.Sprintf("dispatch-desk-%d", i+1)
		gather = append(gather, name)
		s.config.addService(name, 61)
		for j := range leavesPerShard {
			err := s.addLeaf(leafOptions{
				id: fmt.Sprintf("i-%02d%d", i+1, j), service: name, zone: zones[j], slots: 4, queue: 24,
				work: 7500 * time.Microsecond, parts: true,
			})
			if err != nil {
				return outcome{}, err
			}
		}
	}
	sweep := route{
		Name: "stock-sweep", Host: "leno12.example", Prefix: "/rany330/", Kind: "idempotent", TimeoutMS: 800,
		TargetLatencyMS: 80, Priority: 1, Gather: gather, MaxAttempts: 2, TopK: 50, MinCoverage: 0.95,
	}
	s.config.Routes = append(s.config.Routes, sweep)
	for range 3 {
		s.addNode("accra-kaneshie", grownMachine)
	}
	if err := s.start(); err != nil {
		return outcome{}, err
	}
	var mu sync.Mutex
	var all []*call
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := s.load(ctx, s.nodes, 12, 1200*time.Millisecond, func(c *client, i int) *call {
		return c.do(&sweep, http.MethodGet, fmt.Sprintf("%s%x", sweep.Prefix, i), nil, 800*time.Millisecond)
	}, func(k *call) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, k)
	})
	// Longer than contactMs, so that all nodes are in touch.
	time.Sleep(10 * time.Second)
	var crashed []*leaf
	if trouble {
		for i := range crashedShards {
			for j := range leavesPerShard {
				l := s.leaves[fmt.Sprintf("i-%02d%d", 1+7*i, j)]
				l.crash()
				crashed = append(crashed, l)
			}
		}
		s.log.sayf("%d of %d leaves crash, all of %d shards", len(crashed), shards*leavesPerShard, crashedShards)
	}
	time.Sleep(4500 * time.Millisecond)
	for _, l := range crashed {
		if err := l.start(l.address); err != nil {
			return outcome{}, err
		}
	}
	if trouble {
		s.log.sayf("the leaves are back")
	}
	time.Sleep(5 * time.Second)
	cancel()
	load.Wait()
	return s.judgeUnanswered(all, crashed), nil
}

// judgeUnanswered checks LOST: a node in touch passes a request from a kept connection on to a
// sound leaf and closes that connection without an answer, more than three times.
func (s *site) judgeUnanswered(all []*call, crashed []*leaf) outcome {
	unsound := map[string]bool{}
	for _, l := range crashed {
		unsound[l.id] = true
	}
	statuses, lost, byNode := map[string]int{}, 0, map[string]int{}
	for _, k := range all {
		switch {
		case k.closed:
			statuses["closed without an answer"]++
		case k.err != nil:
			statuses["no answer before the deadline"]++
		default:
			statuses[fmt.Sprint(k.status)]++
		}
		passedOn := 0
		for _, e := range s.log.runsOf(k.attempt) {
			if !unsound[e.leaf] {
				passedOn++
			}
		}
		if k.closed && k.kept && passedOn > 0 {
			lost++
			byNode[k.node]++
			s.log.addf("LOST: request %s to %s, which %d sound leaves ran: the connection was closed without an answer", k.attempt, k.node, passedOn)
		}
	}
	return outcome{broken: lost > 3, text: fmt.Sprintf(
		"%d requests: %v; from a kept connection, passed on to sound leaves and closed without an answer: %d (the rule allows 3), by node %v", len(all), statuses, lost, byNode)}
}
