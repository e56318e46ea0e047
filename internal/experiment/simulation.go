package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
)

// simulation is one run of one policy with one seed.
type simulation struct {
	config *Config
	policy Policy
	clock  clock
	// random is used by decisions and leaves, and arrivals by callers and events, so that all
	// policies have the same arrivals and events.
	random   *rand.Rand
	arrivals *rand.Rand
	nodes    []*node
	shards   map[string][]*shard
	burst    float64
	result   *Result
}

// Simulate runs one policy with one seed.
func Simulate(c *Config, p Policy, seed int64) *Result {
	s := &simulation{
		config: c, policy: p, random: rand.New(rand.NewPCG(uint64(seed), 0)), arrivals: rand.New(rand.NewPCG(uint64(seed), 2)), shards: map[string][]*shard{}, burst: 1,
		result: newResult(c, p.Name, seed),
	}
	s.addLeaves()
	s.addNodes()
	for i := range c.Requests {
		s.scheduleArrival(&c.Requests[i])
	}
	for _, e := range c.Events {
		s.schedule(e)
	}
	s.clock.runUntil(seconds(c.Seconds) + s.longestDeadline())
	s.result.finish()
	return s.result
}

// longestDeadline returns the time after which all requests have ended.
func (s *simulation) longestDeadline() time.Duration {
	var longest time.Duration
	for _, r := range s.config.Requests {
		longest = max(longest, milliseconds(r.DeadlineMS))
	}
	return longest + time.Second
}

func (s *simulation) addLeaves() {
	for i := range s.config.Leaves {
		set := &s.config.Leaves[i]
		dataCentres := set.DataCentres
		if dataCentres == 0 {
			dataCentres = s.config.Fleet.DataCentres
		}
		for k := range set.Shards {
			sh := &shard{set: set, service: &catalog.Service{
				Name: fmt.Sprintf("%s-%d", set.Name, k), MaxConns: set.Connections, WarmupPerSecond: set.ColdPerSecond,
			}}
			for r := range set.Replicas {
				sh.leaves = append(sh.leaves, newLeaf(s, sh, fmt.Sprintf("%s-%d", sh.service.Name, r), dataCentreName((k+r)%dataCentres)))
			}
			s.shards[set.Name] = append(s.shards[set.Name], sh)
		}
	}
}

// numGatherers returns the number of nodes that gather. A node that can't keep a connection to a leaf
// of each shard does not.
func (s *simulation) numGatherers() int {
	n := s.config.Fleet.Nodes
	if g := s.config.Fleet.Gatherers; g > 0 {
		n = g
	}
	for _, set := range s.config.Leaves {
		if set.Shards > 1 {
			n = min(n, set.Replicas*dispatch.MaxConnectedNodes(set.Connections))
		}
	}
	return n
}

func (s *simulation) addNodes() {
	gatherers := s.numGatherers()
	for i := range s.config.Fleet.Nodes {
		n := &node{sim: s, name: fmt.Sprintf("node-%03d", i), dataCentre: dataCentreName(i % s.config.Fleet.DataCentres)}
		n.gathers = i < gatherers
		n.start()
		// The nodes have run for a while before the first request.
		n.startedAt = -time.Hour
		s.nodes = append(s.nodes, n)
	}
	s.shareLimits()
}

// shareLimits tells the live nodes of each other.
func (s *simulation) shareLimits() {
	var names, gatherers []string
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		names = append(names, n.name)
		if n.gathers {
			gatherers = append(gatherers, n.name)
		}
	}
	for _, n := range s.nodes {
		if !n.down {
			n.setFleet(names, gatherers)
		}
	}
}

// schedule schedules the begin and the end of an event.
func (s *simulation) schedule(e Event) {
	s.clock.at(seconds(e.AtSeconds), func() {
		switch e.Kind {
		case KindBurst:
			s.burst *= e.Factor
			s.clock.after(seconds(e.ForSeconds), func() { s.burst /= e.Factor })
		case KindNodesDown:
			s.stopNodes(e)
		case KindRollingStop:
			s.rollingStop(e)
		default:
			s.disturbLeaves(e)
		}
	})
}

// chooseNodes draws the nodes that an event affects.
func (s *simulation) chooseNodes(e Event) []*node {
	var nodes []*node
	for _, i := range s.arrivals.Perm(len(s.nodes))[:int(e.Fraction*float64(len(s.nodes))+0.5)] {
		nodes = append(nodes, s.nodes[i])
	}
	return nodes
}

// rollingStop stops nodes one after the other. Each is not ready for a second, then down for one.
func (s *simulation) rollingStop(e Event) {
	nodes := s.chooseNodes(e)
	lag := milliseconds(s.config.Fleet.CatalogLagMS)
	for i, n := range nodes {
		s.clock.after(seconds(e.ForSeconds*float64(i)/float64(len(nodes))), func() {
			n.unready = true
			s.clock.after(time.Second, func() {
				n.stop()
				s.clock.after(lag, s.shareLimits)
			})
			s.clock.after(2*time.Second, func() {
				n.start()
				s.shareLimits()
			})
		})
	}
}

func (s *simulation) stopNodes(e Event) {
	var stopped []*node
	for _, n := range s.chooseNodes(e) {
		if !n.down {
			n.stop()
			stopped = append(stopped, n)
		}
	}
	lag := milliseconds(s.config.Fleet.CatalogLagMS)
	s.clock.after(lag, s.shareLimits)
	s.clock.after(seconds(e.ForSeconds), func() {
		for _, n := range stopped {
			n.start()
		}
		s.shareLimits()
	})
}

func (s *simulation) disturbLeaves(e Event) {
	affected := s.chooseLeaves(e)
	each := func(f func(*leaf)) {
		for _, l := range affected {
			f(l)
		}
	}
	end := func(f func(*leaf)) {
		s.clock.after(seconds(e.ForSeconds), func() { each(f); s.publishLeaves() })
	}
	switch e.Kind {
	case KindSlow:
		each(func(l *leaf) { l.slowFactor = max(e.Factor, 1) })
		end(func(l *leaf) { l.slowFactor = 1 })
	case KindDark:
		each(func(l *leaf) { l.dark = true })
		end(func(l *leaf) { l.dark = false; l.restart() })
	case KindDown:
		each(func(l *leaf) { l.down = true; l.abort() })
		end(func(l *leaf) { l.down = false; l.restart() })
	case KindCold:
		each((*leaf).restart)
	case KindShed:
		each(func(l *leaf) { l.shedding, l.quietFor = true, milliseconds(e.RetryAfterMS) })
		end(func(l *leaf) { l.shedding, l.quietFor = false, 0 })
	case KindLeaving:
		each(func(l *leaf) { l.leaving = true })
		end(func(l *leaf) { l.down = true; l.abort() })
	}
	s.publishLeaves()
}

// chooseLeaves draws the leaves that an event affects.
func (s *simulation) chooseLeaves(e Event) []*leaf {
	var all []*leaf
	for i := range s.config.Leaves {
		name := s.config.Leaves[i].Name
		if e.Leaves != "" && e.Leaves != name {
			continue
		}
		shards := s.shards[name]
		for k, sh := range shards {
			if e.Shards == 0 || k < e.Shards {
				all = append(all, sh.leaves...)
			}
		}
	}
	s.arrivals.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(e.Fraction*float64(len(all))+0.5)]
}

// publishLeaves tells the nodes of the leaves' entries.
func (s *simulation) publishLeaves() {
	s.clock.after(milliseconds(s.config.Fleet.CatalogLagMS), func() {
		for _, n := range s.nodes {
			if n.down {
				continue
			}
			for _, svc := range n.services {
				svc.update()
			}
		}
	})
}
