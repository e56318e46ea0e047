package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Bounds of drawn deployments.
const (
	drawSeconds = 16
	drawWarmUp  = 4
	// maxDrawnLoad is the largest fraction of the slots that the requests of a drawn
	// deployment keep busy.
	maxDrawnLoad = 0.5
	// maxDrawnCalls is the largest number of leaf calls per second.
	maxDrawnCalls = 4000
)

// drawer draws values for one deployment.
type drawer struct{ *rand.Rand }

func (d drawer) count(low, high int) int { return low + d.IntN(high-low+1) }

// wide draws a number whose logarithm is uniform, so that each order of magnitude is as likely.
func (d drawer) wide(low, high float64) float64 {
	return low * math.Pow(high/low, d.Float64())
}

// Draw returns a quiet deployment of a random shape: numbers of nodes, data centres, shards, replicas,
// slots and connections, latencies, objectives and rates. The load stays well within what the leaves
// bear.
func Draw(seed int64) *Config {
	d := drawer{rand.New(rand.NewPCG(uint64(seed), 1))}
	c := &Config{
		Name: fmt.Sprintf("drawn, seed %d", seed), Seconds: drawSeconds, WarmUpSeconds: drawWarmUp, Seeds: []int64{seed},
		Policies: []Policy{{Name: "chosen"}},
		Limits:   Limits{RetryRatio: 0.2, RetryWindowMS: 10_000, ColdRatio: 1.5, ColdSlack: 5},
		Network:  Network{WithinMS: 0.1, BetweenMS: d.wide(0.3, 10), CallersMS: d.wide(0.5, 5)},
	}
	d.fleet(c)
	search := d.leaves("search", d.count(2, 200), d.count(2, 6), c)
	single := d.leaves("single", 1, d.count(2, 12), c)
	c.Leaves = []LeafSet{search, single}
	c.Requests = []Requests{
		d.requests("gather", &c.Leaves[0]),
		d.requests("one", &c.Leaves[1]),
	}
	return c
}

func (d drawer) fleet(c *Config) {
	nodes := int(d.wide(1, 300))
	c.Fleet = FleetConfig{
		Nodes: nodes, DataCentres: d.count(1, min(6, nodes)), Cores: d.wide(0.2, 4),
		MessageMicros: 60, CatalogLagMS: 300,
	}
	if nodes >= 2*c.Fleet.DataCentres && d.IntN(2) == 0 {
		c.Fleet.Gatherers = d.count(c.Fleet.DataCentres, nodes)
	}
	// The slack of a large fleet is larger, as each node has a part of it.
	c.Limits.RetrySlack = float64(40 + 2*nodes)
}

func (d drawer) leaves(name string, shards, replicas int, c *Config) LeafSet {
	slots := d.count(1, 8)
	l := LeafSet{
		Name: name, Shards: shards, Replicas: replicas, DataCentres: d.count(1, c.Fleet.DataCentres), Slots: slots, Queue: 4 * slots,
		// From one connection for each third node to plenty.
		Connections: max(int(float64(c.Fleet.Nodes)*d.wide(0.33, 10)), 2*slots), ConnectMS: d.wide(0.5, 8),
		ColdMS: d.wide(500, 8000), ColdFactor: d.wide(2, 12), ColdPerSecond: d.wide(2, 50),
	}
	if d.IntN(2) == 0 {
		l.PauseEveryMS = d.wide(1000, 6000)
		l.PauseMS = l.PauseEveryMS * d.wide(0.005, 0.05)
	}
	return l
}

// requests draws a class whose objective leaves room for the work and one pause of a leaf, and whose
// rate keeps the leaves and the nodes' processors well below their limits.
func (d drawer) requests(name string, leaves *LeafSet) Requests {
	objective := d.wide(40, 800)
	r := Requests{
		Name: name, Leaves: leaves.Name, WorkMS: objective * d.wide(0.02, 0.1), ObjectiveMS: objective,
		DeadlineMS: min(max(objective*d.wide(5, 20), 400), 15_000), MinCoverage: 0.8 + 0.2*d.Float64(), MaxAttempts: d.count(2, 3),
		CallerRetries: d.count(0, 2),
	}
	bearable := maxDrawnLoad * float64(leaves.Replicas*leaves.Slots) * 1000 / r.WorkMS
	r.PerSecond = max(min(bearable, maxDrawnCalls/float64(leaves.Shards))*d.wide(0.05, 1), 0.1)
	return r
}
