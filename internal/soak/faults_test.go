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

// script plays faults until its time is over. Several play at once.
type script struct {
	site *site
	rng  *rand.Rand
	wg   sync.WaitGroup
	// mu guards rng, the busy flags and the fields below.
	mu sync.Mutex
	// drained are leaves that left, with the time of the acknowledgement.
	drained map[string]time.Time
	// out are the spans in which a zone was taken out.
	out []takenOut
	// stops are the planned stops.
	stops []stop
	// versions are the configurations with the time of the acknowledgement.
	versions []time.Time
}

// stop is a planned stop of a node, from the signal to the end of its process.
type stop struct {
	node     *node
	from, to time.Time
}

type takenOut struct {
	zone     string
	from, to time.Time
}

// kinds are the faults by name.
var kinds = []struct {
	name string
	play func(p *script)
}{
	{"node killed", (*script).killNode},
	{"node killed", (*script).killNode},
	{"node stopped", (*script).stopNode},
	{"node stopped", (*script).stopNode},
	{"node frozen", (*script).freezeNode},
	{"node reloaded", func(p *script) { p.site.nodes[p.intN(len(p.site.nodes))].signal(syscall.SIGHUP) }},
	{"store refuses", func(p *script) { p.store(0, true) }},
	{"store slow", func(p *script) { p.store(250*time.Millisecond, false) }},
	{"store forgets", func(p *script) { p.site.store.Forget() }},
	{"store silent for a node", func(p *script) { p.storeLink(faultproxy.Faults{StallToClient: true}) }},
	{"store cut for a node", func(p *script) { p.storeLink(faultproxy.Faults{Refuse: true}) }},
	{"leaf crashes", (*script).crashLeaf},
	{"leaf crashes", (*script).crashLeaf},
	{"leaf paused", func(p *script) {
		p.withLeaf(func(l *leafSlot) { l.leaf.Pause(p.between(50, 1500)) })
	}},
	{"leaf misbehaves", (*script).misbehave},
	{"leaf misbehaves", (*script).misbehave},
	{"leaf unreachable", (*script).leafLink},
	{"leaf connections silent", func(p *script) {
		p.withLeaf(func(l *leafSlot) { l.proxy.Blackhole() })
	}},
	{"leaf leaves", (*script).drainLeaf},
	{"zone out", (*script).takeOut},
	{"configuration", (*script).configure},
	{"configurations", func(p *script) {
		for range 4 {
			p.configure()
			time.Sleep(60 * time.Millisecond)
		}
	}},
}

func (p *script) intN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}

func (p *script) between(fromMS, toMS int) time.Duration {
	return time.Duration(fromMS+p.intN(toMS-fromMS)) * time.Millisecond
}

// run plays faults in lanes that overlap.
func (p *script) run(ctx context.Context, lanes int) {
	for range lanes {
		p.wg.Go(func() {
			for ctx.Err() == nil {
				k := kinds[p.intN(len(kinds))]
				from := time.Now()
				k.play(p)
				p.site.note(from, k.name)
				time.Sleep(p.between(0, 1200))
			}
		})
	}
	p.wg.Wait()
}

// withNode plays a fault on a node that no other one is played on.
func (p *script) withNode(play func(n *node)) {
	p.mu.Lock()
	n := p.site.nodes[p.rng.IntN(len(p.site.nodes))]
	free := !n.busy
	n.busy = true
	p.mu.Unlock()
	if !free {
		return
	}
	play(n)
	p.mu.Lock()
	n.busy = false
	p.mu.Unlock()
}

func (p *script) killNode() {
	p.withNode(func(n *node) {
		n.kill()
		time.Sleep(p.between(0, 1500))
		n.start(p.site.t)
	})
}

func (p *script) stopNode() {
	p.withNode(func(n *node) {
		_, ended := n.process()
		from := time.Now()
		n.signal(syscall.SIGTERM)
		if p.intN(2) == 0 {
			time.Sleep(p.between(0, 1000*graceS/2))
			n.signal(syscall.SIGHUP)
		}
		select {
		case <-ended:
		case <-time.After(graceS * time.Second):
			p.site.t.Errorf("node %s has not stopped within its grace", n.name)
			n.kill()
		}
		p.mu.Lock()
		p.stops = append(p.stops, stop{n, from, time.Now()})
		p.mu.Unlock()
		n.start(p.site.t)
	})
}

func (p *script) freezeNode() {
	p.withNode(func(n *node) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(p.between(100, 2500))
		n.signal(syscall.SIGCONT)
	})
}

func (p *script) store(delay time.Duration, refuse bool) {
	p.site.store.SetFaults(delay, refuse)
	time.Sleep(p.between(300, 3000))
	p.site.store.SetFaults(0, false)
}

func (p *script) storeLink(f faultproxy.Faults) {
	n := p.site.nodes[p.intN(len(p.site.nodes))]
	n.storeProxy.SetFaults(f)
	if f.Refuse {
		n.storeProxy.CloseConnections()
	}
	time.Sleep(p.between(300, 4000))
	n.storeProxy.SetFaults(faultproxy.Faults{})
}

// withLeaf plays a fault on a leaf's place that no other one is played on.
func (p *script) withLeaf(play func(l *leafSlot)) {
	p.site.mu.Lock()
	l := p.site.leaves[p.intN(len(p.site.leaves))]
	free := !l.busy
	l.busy = true
	p.site.mu.Unlock()
	if !free {
		return
	}
	play(l)
	p.site.mu.Lock()
	l.busy = false
	p.site.mu.Unlock()
}

func (p *script) crashLeaf() {
	p.withLeaf(func(l *leafSlot) {
		old := l.leaf
		old.Kill()
		l.proxy.CloseConnections()
		time.Sleep(p.between(100, 2000))
		old.Remove()
		p.startCold(l)
	})
}

func (p *script) startCold(l *leafSlot) {
	l.options.ColdFor = coldFor
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	p.site.startLeafLocked(l)
}

func (p *script) drainLeaf() {
	p.withLeaf(func(l *leafSlot) {
		old := l.leaf
		old.Report("draining")
		p.mu.Lock()
		p.drained[old.ID] = time.Now()
		p.mu.Unlock()
		time.Sleep(drainWithin + p.between(500, 1500))
		old.Remove()
		old.Kill()
		l.proxy.CloseConnections()
		p.startCold(l)
	})
}

func (p *script) misbehave() {
	p.withLeaf(func(l *leafSlot) {
		x := float64(10+p.intN(60)) / 100
		faults := []platformtest.LeafFaults{{Shed: x}, {Reset: x / 4}, {Lose: x / 4}, {Fail: x}, {Slow: 4 + 40*x}}
		l.leaf.SetFaults(faults[p.intN(len(faults))])
		time.Sleep(p.between(300, 3000))
		l.leaf.SetFaults(platformtest.LeafFaults{})
	})
}

func (p *script) leafLink() {
	p.withLeaf(func(l *leafSlot) {
		faults := []faultproxy.Faults{
			{Refuse: true}, {StallToServer: true}, {StallToClient: true}, {StallToServer: true, StallToClient: true},
			{Delay: 30 * time.Millisecond}, {TruncateAfter: 100},
		}
		l.proxy.SetFaults(faults[p.intN(len(faults))])
		time.Sleep(p.between(300, 2500))
		l.proxy.SetFaults(faultproxy.Faults{})
		l.proxy.CloseConnections()
	})
}

// planned plays planned work alone, with all bounds in force.
func (p *script) planned() {
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(p.drainLeaf)
	}
	wg.Go(func() { p.takeOutFor(evacuateWithin + time.Second) })
	p.configure()
	wg.Wait()
}

func (p *script) takeOut() { p.takeOutFor(p.between(1000, 6000)) }

func (p *script) takeOutFor(d time.Duration) {
	zone := zones[p.intN(len(zones))]
	p.site.store.Evacuate(zone, true)
	span := takenOut{zone: zone, from: time.Now()}
	time.Sleep(d)
	span.to = time.Now()
	p.site.store.Evacuate(zone, false)
	p.mu.Lock()
	p.out = append(p.out, span)
	p.mu.Unlock()
}

func (p *script) configure() {
	p.site.configure()
	p.mu.Lock()
	p.versions = append(p.versions, time.Now())
	p.mu.Unlock()
}

// describe lists the faults that were played.
func (s *site) describe(begin time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, f := range s.faults {
		text += fmt.Sprintf("%6.2f to %6.2f s %s\n", f.from.Sub(begin).Seconds(), f.to.Sub(begin).Seconds(), f.what)
	}
	return text
}
