package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// otherWriter has another writer overwrite the entries of a service's leaves once, with a service
// that no configuration names. The leaves write their entries again with the next beat.
func otherWriter(s *site, trouble bool) (outcome, error) {
	zones := []string{"accra-tema", "accra-kaneshie", "accra-madina"}
	s.config.addService("depot-ledger", 96)
	s.config.addService("member-billing", 96)
	for i := range 14 {
		o := leafOptions{id: fmt.Sprintf("i-ledger-%02d", i), service: "depot-ledger", zone: zones[i%3], slots: 2, queue: 8, work: 60 * time.Millisecond}
		if err := s.addLeaf(o); err != nil {
			return outcome{}, err
		}
	}
	var billing []*leaf
	for i := range 7 {
		o := leafOptions{id: fmt.Sprintf("i-billing-%02d", i), service: "member-billing", zone: zones[i%3], slots: 2, queue: 8, work: 60 * time.Millisecond}
		if err := s.addLeaf(o); err != nil {
			return outcome{}, err
		}
		billing = append(billing, s.leaves[o.id])
	}
	first := route{
		Name: "job-fetch", Host: "hufi27.example", Prefix: "/goka902/", Kind: "idempotent", TimeoutMS: 2500,
		TargetLatencyMS: 250, Priority: 2, Service: "depot-ledger", MaxAttempts: 2,
	}
	added := first
	added.Name, added.Prefix, added.Service = "bill-fetch", "/zide732/", "member-billing"
	s.config.Routes = []route{first}
	for i := range 3 {
		s.addNode(zones[i], shelfMachine)
	}
	if err := s.start(); err != nil {
		return outcome{}, err
	}
	s.config.Version, s.config.Routes = 2, []route{first, added}
	s.store.put("op/config", s.config)
	s.log.sayf("configuration 2 adds the route %s to %s", added.Name, added.Service)
	time.Sleep(5 * time.Second)
	if trouble {
		for _, l := range billing {
			s.store.put("servers/"+l.id, map[string]any{
				"service": "member-billing-test", "address": l.address, "zone": l.zone, "version": "v1", "slots": 2,
				"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
		}
		s.log.sayf("another writer has written the entries of the %d leaves of %s, once, with the service member-billing-test", len(billing), added.Service)
	}
	// The leaves write their entries again within a heartbeat, and the nodes are in touch.
	time.Sleep(heartbeat + contact + 2*time.Second)
	for _, l := range billing {
		s.log.addf("entry of %s: %s", l.id, s.store.value("servers/"+l.id))
	}
	s.log.sayf("steady state begins")
	var mu sync.Mutex
	served, sent := map[string]int{}, map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	s.load(ctx, s.nodes, 4, 300*time.Millisecond, func(c *client, i int) *call {
		r := &first
		if i%2 == 1 {
			r = &added
		}
		return c.do(r, http.MethodGet, fmt.Sprintf("%s%x", r.Prefix, rand.Uint32()), nil, 2500*time.Millisecond)
	}, func(k *call) {
		mu.Lock()
		defer mu.Unlock()
		sent[k.route]++
		if k.status == http.StatusOK {
			served[k.route]++
		}
	}).Wait()
	share := func(r *route) float64 { return float64(served[r.Name]) / float64(max(sent[r.Name], 1)) }
	return outcome{
		broken: sent[added.Name] >= 20 && share(&added) < share(&first)/4,
		text: fmt.Sprintf("first route: %d of %d requests served; route that was added later: %d of %d served (the rule asks for a quarter as often)",
			served[first.Name], sent[first.Name], served[added.Name], sent[added.Name]),
	}, nil
}
