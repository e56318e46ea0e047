package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// configApply is configApplyMs of the deployment.
	configApply = 5 * time.Second
	// largeConfig is the number of routes that a big_config of the deployment adds.
	largeConfig = 1400
	// valueBytes is the size up to which the store takes a value.
	valueBytes = 1048576
)

// configStorm writes configurations in quick succession, of which the last one moves a route to
// another service, and counts the requests that the old service still runs after configApplyMs.
func configStorm(s *site, trouble bool) (outcome, error) {
	const changes, gap = 25, 60 * time.Millisecond
	s.store.linkMbps = grownMachine.linkMbps
	zones := []string{"accra-tema", "accra-kaneshie", "accra-madina"}
	for _, name := range []string{"depot-ledger", "member-billing"} {
		s.config.addService(name, 96)
		for i := range 7 {
			o := leafOptions{id: fmt.Sprintf("i-%s-%02d", name, i), service: name, zone: zones[i%3], slots: 2, queue: 8, work: 60 * time.Millisecond}
			if err := s.addLeaf(o); err != nil {
				return outcome{}, err
			}
		}
	}
	fetch := route{
		Name: "job-fetch", Host: "hufi27.example", Prefix: "/goka902/", Kind: "idempotent", TimeoutMS: 2500,
		TargetLatencyMS: 250, Priority: 2, Service: "depot-ledger", MaxAttempts: 2,
	}
	var shards []string
	for i := range 36 {
		shards = append(shards, fmt.Sprintf("huvo%02da", i))
		s.config.addService(shards[i], 61)
	}
	s.config.Routes = []route{fetch}
	for i := range largeConfig {
		// The routes are of the site's three kinds: two gathers and one to a single leaf.
		r := fetch
		if i%3 != 0 {
			r.Service, r.Gather, r.TopK, r.MinCoverage, r.TimeoutMS, r.TargetLatencyMS = "", shards, 50, 0.95, 800, 80
		}
		r.Name, r.Prefix = fmt.Sprintf("r-%05d", i), fmt.Sprintf("/idle%05d/", i)
		s.config.Routes = append(s.config.Routes, r)
	}
	data, err := json.Marshal(s.config)
	if err != nil {
		return outcome{}, err
	}
	if len(data) > valueBytes {
		return outcome{}, fmt.Errorf("configuration of %d bytes", len(data))
	}
	s.log.sayf("the configuration has %d routes and %d bytes", len(s.config.Routes), len(data))
	for i := range 3 {
		s.addNode(zones[i], grownMachine)
	}
	if err := s.start(); err != nil {
		return outcome{}, err
	}
	var mu sync.Mutex
	var all []*call
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := s.load(ctx, s.nodes, 4, 300*time.Millisecond, func(c *client, _ int) *call {
		return c.do(&fetch, http.MethodGet, fmt.Sprintf("%s%x", fetch.Prefix, rand.Uint32()), nil, 2500*time.Millisecond)
	}, func(k *call) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, k)
	})
	time.Sleep(contact + 2*time.Second)
	write := func() time.Time {
		s.config.Version++
		s.store.put("op/config", s.config)
		s.log.addf("configuration %d is acknowledged, %s goes to %s", s.config.Version, fetch.Name, s.config.Routes[0].Service)
		return time.Now()
	}
	if trouble {
		s.log.sayf("%d changes of the configuration, one each %v", changes, gap)
		for i := range changes - 1 {
			s.config.Routes[1].TimeoutMS = 2500 + i
			write()
			time.Sleep(gap)
		}
	}
	s.config.Routes[0].Service = "member-billing"
	acknowledged := write()
	s.log.sayf("configuration %d, which moves %s to member-billing, is acknowledged", s.config.Version, fetch.Name)
	time.Sleep(30 * time.Second)
	cancel()
	load.Wait()
	late, after, last := 0, 0, time.Duration(0)
	for _, k := range all {
		if k.sent.Before(acknowledged.Add(configApply)) {
			continue
		}
		after++
		for _, e := range s.log.runsOf(k.attempt) {
			if e.service == "depot-ledger" {
				late++
				last = max(last, k.sent.Sub(acknowledged))
				s.log.addf("CONFIG: request %s, sent %d ms after the acknowledgement, is run by the old service", k.attempt, k.sent.Sub(acknowledged).Milliseconds())
				break
			}
		}
	}
	return outcome{broken: late > 0, text: fmt.Sprintf(
		"%d requests sent later than configApplyMs after the acknowledgement, %d of them run by the old service, the last one sent %.1f s after it", after, late, last.Seconds())}, nil
}
