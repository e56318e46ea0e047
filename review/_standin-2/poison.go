package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	poisonPath = "/job/poison"
	contact    = 4 * time.Second
	between    = 6 * time.Second
)

// casePoison: a request that crashes each leaf that begins to run it comes again every six seconds. With
// the disruption, all processes of the system are killed at the same moment in between.
func casePoison(r *record) (string, bool) {
	s := newStore()
	s.put("op/config", config{Version: 7, Limits: limits(), Services: []service{newService("depot", 96)}, Routes: []route{
		{Name: "r-job", Host: host, Prefix: "/job/", Kind: "idempotent", TimeoutMS: 2500, TargetLatencyMS: 250, Priority: 2, MaxAttempts: 2, Service: "depot"},
	}})
	startLeaves(14, "depot", s, r, 60*time.Millisecond, func(_ int, l *leaf) {
		l.crashes = func(a *arrival) bool { return a.path == poisonPath }
	})
	machines := startMachines(6, s)
	started := r.now()
	stop := ordinaryTraffic(r, machines)
	time.Sleep(contact + time.Second)
	send := func(n int) {
		m := machines[n%len(machines)]
		c := &client{address: m.front(), record: r, machine: m.name}
		c.send("GET", host, poisonPath, fmt.Sprintf("p-%03d", n), 2500*time.Millisecond, nil)
		c.close()
		time.Sleep(between)
	}
	for n := range 5 {
		send(n)
	}
	restarted := started
	if trouble {
		r.add(event{Kind: "kill", Note: "all processes of the system"})
		killAll(machines, time.Second)
		restarted = r.now()
		r.add(event{Kind: "start", Note: "all processes of the system"})
	}
	time.Sleep(between)
	for n := 5; n < 9; n++ {
		send(n)
	}
	stop()

	crashes, third := 0, time.Duration(0)
	reached := map[string]time.Duration{}
	for _, e := range r.all() {
		switch {
		case e.Path != poisonPath:
		case e.Kind == "crash":
			if crashes++; crashes == 3 {
				third = e.At
			}
		case e.Kind == "arrival":
			if _, known := reached[e.ID]; !known {
				reached[e.ID] = e.At
			}
		}
	}
	retries := 0
	for id, at := range reached {
		start := started
		if at > restarted {
			start = restarted
		}
		if crashes >= 3 && at > third+contact && at-start > contact {
			retries++
			r.add(event{Kind: "retry", ID: id, Note: fmt.Sprintf("reached a leaf at %.3f s, %.1f s after the third crash", at.Seconds(), (at - third).Seconds())})
		}
	}
	return fmt.Sprintf("%d crashes of leaves; %d retries reached leaves later than %v after the third crash, from machines in touch", crashes, retries, contact), retries > 3
}

// ordinaryTraffic sends harmless requests until the returned function is called.
func ordinaryTraffic(r *record, machines []*machine) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range 12 {
		wg.Go(func() {
			m := machines[i%len(machines)]
			c := &client{address: m.front(), record: r, machine: m.name}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(150+rand.IntN(300)) * time.Millisecond):
				}
				c.send("GET", host, "/job/2f", fmt.Sprintf("o-%02d-%04d", i, n), 2500*time.Millisecond, nil)
			}
		})
	}
	return func() { close(done); wg.Wait() }
}
