package admission

import (
	"slices"
	"time"
)

const (
	// gateWindow is the time between two computations of the admitted shares.
	gateWindow = 200 * time.Millisecond
	// gateWeight is the weight of a new window in the averages of the gate.
	gateWeight = 0.1
	// gateServiceWeight is the weight of a new sample in the gate's average
	// service time. It is small so that leaves of equal speed agree.
	gateServiceWeight = 0.01
	// idleRate is the offered load below which a flow is forgotten.
	idleRate = 1e-3
)

// flowLoad is the offered load of one customer in one class.
type flowLoad struct {
	key flowKey
	// calls counts the arrivals of the present window.
	calls float64
	// rate is the average number of arrivals in a second.
	rate float64
	// admit is the share of queries that pass.
	admit float64
}

// gate refuses a share of the queries of an overloaded leaf on arrival. The
// choice depends on the query alone, so that the leaves of a scattered query
// refuse the same queries instead of a different part of each one.
//
// Classes are served in order of priority, and the customers of the class that
// cannot be served whole receive equal shares (max-min fairness).
type gate struct {
	// target is the admitted load as a share of the slots; zero admits all.
	target  float64
	service float64
	ends    time.Duration
	flows   map[flowKey]*flowLoad
	sorted  []*flowLoad
}

func newGate(target float64) gate {
	return gate{target: target, flows: make(map[flowKey]*flowLoad)}
}

// observe adds one service time to the average.
func (g *gate) observe(d time.Duration) {
	if g.service == 0 {
		g.service = d.Seconds()
		return
	}
	g.service += gateServiceWeight * (d.Seconds() - g.service)
}

// admit counts the arrival of a call and reports whether it passes.
func (g *gate) admit(now time.Duration, it Item, slots int) bool {
	if g.target <= 0 {
		return true
	}
	if now >= g.ends {
		g.recompute(now, slots)
	}
	f := g.flow(flowKey{it.Class, it.Customer})
	f.calls++
	return f.admit >= 1 || rank(it) < f.admit
}

func (g *gate) flow(key flowKey) *flowLoad {
	if f, ok := g.flows[key]; ok {
		return f
	}
	if len(g.flows) >= maxFlows {
		key.customer = ""
		if f, ok := g.flows[key]; ok {
			return f
		}
	}
	f := &flowLoad{key: key, admit: 1}
	g.flows[key] = f
	return f
}

// recompute ends the window and divides the capacity of the leaf.
func (g *gate) recompute(now time.Duration, slots int) {
	window := now - g.ends + gateWindow
	g.ends = now + gateWindow
	g.sorted = g.sorted[:0]
	for key, f := range g.flows {
		f.rate += gateWeight * (f.calls/window.Seconds() - f.rate)
		f.calls = 0
		if f.rate < idleRate {
			delete(g.flows, key)
			continue
		}
		g.sorted = append(g.sorted, f)
	}
	slices.SortFunc(g.sorted, compareLoads)
	if g.service > 0 {
		g.divide(g.target * float64(slots) / g.service)
	}
}

// compareLoads orders flows by class and then by rate.
func compareLoads(a, b *flowLoad) int {
	if a.key.class != b.key.class {
		return a.key.class - b.key.class
	}
	switch {
	case a.rate < b.rate:
		return -1
	case a.rate > b.rate:
		return 1
	}
	return 0
}

// divide sets the admitted share of each flow, given the number of calls that
// the leaf can serve in a second.
func (g *gate) divide(capacity float64) {
	for i, f := range g.sorted {
		left := 0
		for _, o := range g.sorted[i:] {
			if o.key.class == f.key.class {
				left++
			}
		}
		granted := min(f.rate, capacity/float64(left))
		f.admit = granted / f.rate
		capacity -= granted
	}
}

// rank maps the query of a call to a number from 0 to 1 that every leaf agrees on.
func rank(it Item) float64 {
	x := it.Query
	if x == 0 {
		x = it.ID
	}
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
