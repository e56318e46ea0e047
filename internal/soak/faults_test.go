package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// injector injects random faults into a site, several at a time.
type injector struct {
	site  *site
	rng   *rand.Rand
	kinds []faultKind
	wg    sync.WaitGroup
	// returning is held while the store returns as an older copy.
	returning sync.Mutex
	// mu guards rng, the busy flags of the nodes and the fields below.
	mu sync.Mutex
	// drained maps the IDs of leaves that drained to the time at which the store had
	// accepted the report.
	drained map[string]time.Time
	// out are the spans in which a data centre was taken out.
	out []takenOut
	// stops are the planned stops.
	stops []stop
	// versions are the times at which the store had accepted a configuration.
	versions []time.Time
}

// stop is a planned stop of a node, from the signal to the end of its process.
type stop struct {
	node     *node
	from, to time.Time
}

type takenOut struct {
	dataCentre string
	from, to   time.Time
}

// faultKind is a kind of fault.
type faultKind struct {
	name   string
	inject func(inj *injector)
}

// faultKinds are the kinds of faults. A kind that is listed twice is twice as likely.
var faultKinds = []faultKind{
	{"node killed", (*injector).killNode},
	{"node killed", (*injector).killNode},
	{"node stopped", (*injector).stopNode},
	{"node stopped", (*injector).stopNode},
	{"node suspended", (*injector).suspendNode},
	{"node reloaded", func(inj *injector) { inj.site.nodes[inj.intN(len(inj.site.nodes))].signal(syscall.SIGHUP) }},
	{"store refuses", func(inj *injector) { inj.storeFault(0, true) }},
	{"store slow", func(inj *injector) { inj.storeFault(250*time.Millisecond, false) }},
	{"store drops its history", func(inj *injector) { inj.site.store.Forget() }},
	{"store silent for a node", func(inj *injector) { inj.storeLinkFault(faultproxy.Faults{StallToClient: true}) }},
	{"store cut for a node", func(inj *injector) { inj.storeLinkFault(faultproxy.Faults{Refuse: true}) }},
	{"leaf crashes", (*injector).crashLeaf},
	{"leaf crashes", (*injector).crashLeaf},
	{"leaf paused", func(inj *injector) {
		inj.withLeaf(func(l *leafEndpoint) { l.leaf.Pause(inj.durationBetween(50, 1500)) })
	}},
	{"leaf misbehaves", (*injector).misbehave},
	{"leaf misbehaves", (*injector).misbehave},
	{"leaf unreachable", (*injector).leafLinkFault},
	{"leaf connections silent", func(inj *injector) {
		inj.withLeaf(func(l *leafEndpoint) { l.proxy.Blackhole() })
	}},
	{"leaf drained", (*injector).drainLeaf},
	{"data centre taken out", (*injector).takeOut},
	{"new configuration", (*injector).configure},
	{"four new configurations", func(inj *injector) {
		for range 4 {
			inj.configure()
			time.Sleep(60 * time.Millisecond)
		}
	}},
}

func (inj *injector) intN(n int) int {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.rng.IntN(n)
}

func (inj *injector) durationBetween(fromMS, toMS int) time.Duration {
	return time.Duration(fromMS+inj.intN(toMS-fromMS)) * time.Millisecond
}

// run injects faults from several workers at once until ctx is done.
func (inj *injector) run(ctx context.Context, workers int) {
	for range workers {
		inj.wg.Go(func() {
			for ctx.Err() == nil {
				k := inj.kinds[inj.intN(len(inj.kinds))]
				from := time.Now()
				k.inject(inj)
				inj.site.recordFault(from, k.name)
				time.Sleep(inj.durationBetween(0, 1200))
			}
		})
	}
	inj.wg.Wait()
}

// withNode injects a fault into a random node, unless another fault is being injected
// into it.
func (inj *injector) withNode(inject func(n *node)) {
	inj.mu.Lock()
	n := inj.site.nodes[inj.rng.IntN(len(inj.site.nodes))]
	free := !n.busy
	n.busy = true
	inj.mu.Unlock()
	if !free {
		return
	}
	inject(n)
	inj.mu.Lock()
	n.busy = false
	inj.mu.Unlock()
}

func (inj *injector) killNode() {
	inj.withNode(func(n *node) {
		n.kill()
		time.Sleep(inj.durationBetween(0, 1500))
		n.start(inj.site.t)
	})
}

func (inj *injector) stopNode() {
	inj.withNode(func(n *node) {
		_, ended := n.process()
		from := time.Now()
		n.signal(syscall.SIGTERM)
		if inj.intN(2) == 0 {
			time.Sleep(inj.durationBetween(0, 1000*graceS/2))
			n.signal(syscall.SIGHUP)
		}
		select {
		case <-ended:
		case <-time.After(graceS * time.Second):
			inj.site.t.Errorf("node %s has not stopped within its grace period", n.name)
			n.kill()
		}
		inj.mu.Lock()
		inj.stops = append(inj.stops, stop{n, from, time.Now()})
		inj.mu.Unlock()
		n.start(inj.site.t)
	})
}

func (inj *injector) suspendNode() {
	inj.withNode(func(n *node) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(inj.durationBetween(100, 2500))
		n.signal(syscall.SIGCONT)
	})
}

func (inj *injector) storeFault(delay time.Duration, refuse bool) {
	inj.site.store.SetFaults(delay, refuse)
	time.Sleep(inj.durationBetween(300, 3000))
	inj.site.store.SetFaults(0, false)
}

func (inj *injector) storeLinkFault(f faultproxy.Faults) {
	n := inj.site.nodes[inj.intN(len(inj.site.nodes))]
	n.storeProxy.SetFaults(f)
	if f.Refuse {
		n.storeProxy.CloseConnections()
	}
	time.Sleep(inj.durationBetween(300, 4000))
	n.storeProxy.SetFaults(faultproxy.Faults{})
}

// withLeaf injects a fault at a random leaf endpoint, unless another fault is being
// injected there.
func (inj *injector) withLeaf(inject func(l *leafEndpoint)) {
	inj.site.mu.Lock()
	l := inj.site.leaves[inj.intN(len(inj.site.leaves))]
	free := !l.busy
	l.busy = true
	inj.site.mu.Unlock()
	if !free {
		return
	}
	inject(l)
	inj.site.mu.Lock()
	l.busy = false
	inj.site.mu.Unlock()
}

func (inj *injector) crashLeaf() {
	inj.withLeaf(func(l *leafEndpoint) {
		old := l.leaf
		old.Kill()
		l.proxy.CloseConnections()
		time.Sleep(inj.durationBetween(100, 2000))
		old.Remove()
		inj.startCold(l)
	})
}

func (inj *injector) startCold(l *leafEndpoint) {
	l.options.ColdFor = coldFor
	inj.site.mu.Lock()
	defer inj.site.mu.Unlock()
	inj.site.startLeafLocked(l)
}

func (inj *injector) drainLeaf() {
	inj.withLeaf(func(l *leafEndpoint) {
		old := l.leaf
		old.Report("draining")
		inj.mu.Lock()
		inj.drained[old.ID] = time.Now()
		inj.mu.Unlock()
		time.Sleep(drainWithin + inj.durationBetween(500, 1500))
		old.Remove()
		old.Kill()
		l.proxy.CloseConnections()
		inj.startCold(l)
	})
}

func (inj *injector) misbehave() {
	inj.withLeaf(func(l *leafEndpoint) {
		x := float64(10+inj.intN(60)) / 100
		faults := []platformtest.LeafFaults{{Shed: x}, {Reset: x / 4}, {Lose: x / 4}, {Fail: x}, {Slow: 4 + 40*x}}
		l.leaf.SetFaults(faults[inj.intN(len(faults))])
		time.Sleep(inj.durationBetween(300, 3000))
		l.leaf.SetFaults(platformtest.LeafFaults{})
	})
}

// failRequests has the leaves of the routes to single leaves fail part of their requests for a second.
// Drawn faults do that too, but not in each seed.
func (inj *injector) failRequests() {
	setFaults := func(f platformtest.LeafFaults) {
		for _, l := range inj.site.leaves {
			if l.options.Service == "ledger" {
				l.leaf.SetFaults(f)
			}
		}
	}
	setFaults(platformtest.LeafFaults{Fail: 0.3})
	time.Sleep(time.Second)
	setFaults(platformtest.LeafFaults{})
}

func (inj *injector) leafLinkFault() {
	inj.withLeaf(func(l *leafEndpoint) {
		faults := []faultproxy.Faults{
			{Refuse: true}, {StallToServer: true}, {StallToClient: true}, {StallToServer: true, StallToClient: true},
			{Delay: 30 * time.Millisecond}, {TruncateAfter: 100},
		}
		l.proxy.SetFaults(faults[inj.intN(len(faults))])
		time.Sleep(inj.durationBetween(300, 2500))
		l.proxy.SetFaults(faultproxy.Faults{})
		l.proxy.CloseConnections()
	})
}

// plannedWork drains leaves, takes a data centre out and changes the configuration
// without other faults, so that all bounds apply.
func (inj *injector) plannedWork() {
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(inj.drainLeaf)
	}
	wg.Go(func() { inj.takeOutFor(takeOutWithin + time.Second) })
	inj.configure()
	wg.Wait()
}

func (inj *injector) takeOut() { inj.takeOutFor(inj.durationBetween(1000, 6000)) }

func (inj *injector) takeOutFor(d time.Duration) {
	dataCentre := dataCentres[inj.intN(len(dataCentres))]
	inj.site.store.Evacuate(dataCentre, true)
	span := takenOut{dataCentre: dataCentre, from: time.Now()}
	time.Sleep(d)
	span.to = time.Now()
	inj.site.store.Evacuate(dataCentre, false)
	inj.mu.Lock()
	inj.out = append(inj.out, span)
	inj.mu.Unlock()
}

func (inj *injector) configure() {
	// Each configuration of a site with tenants takes a key away.
	took := inj.site.tenants.changeKey()
	inj.site.configure()
	took()
	inj.mu.Lock()
	inj.versions = append(inj.versions, time.Now())
	inj.mu.Unlock()
}

// describeFaults lists the injected faults, with their times since begin.
func (s *site) describeFaults(begin time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, f := range s.faults {
		text += fmt.Sprintf("%6.2f to %6.2f s %s\n", f.from.Sub(begin).Seconds(), f.to.Sub(begin).Seconds(), f.kind)
	}
	return text
}
