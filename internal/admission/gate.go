package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// loadWindow is the time between two computations of the admitted fractions.
	loadWindow = 200 * time.Millisecond
	// loadTimeConstant is the time constant of the moving average of the offered
	// load.
	loadTimeConstant = 2 * time.Second
	// gateServiceWeight is the weight of a new sample in the gate's average
	// service time. It is small so that leaves of equal speed arrive at similar
	// averages.
	gateServiceWeight = 0.01
	// minFlowRate is the offered load, in calls per second, below which a flow is
	// removed.
	minFlowRate = 1e-3
)

// flowLoad is the offered load of one customer in one class.
type flowLoad struct {
	key flowKey
	// arrivals is the number of arrivals in the current window.
	arrivals float64
	// rate is the average number of arrivals per second.
	rate float64
	// admit is the fraction of queries that are admitted.
	admit float64
}

// gate refuses a fraction of the calls of an overloaded leaf on arrival. The choice
// depends only on the query, so that all leaves of a scattered query refuse the
// same queries instead of different parts of each query.
//
// Classes are served in order of priority. Within the class that can't be served
// in full, customers receive equal shares (max-min fairness).
type gate struct {
	// utilization is the admitted load as a fraction of the slots; zero admits every
	// call.
	utilization float64
	serviceTime float64
	windowEnd   time.Duration
	flows       map[flowKey]*flowLoad
	sorted      []*flowLoad
}

func newGate(utilization float64) gate {
	return gate{utilization: utilization, flows: make(map[flowKey]*flowLoad)}
}

// observeServiceTime adds a sample to the average service time.
func (g *gate) observeServiceTime(d time.Duration) {
	if g.serviceTime == 0 {
		g.serviceTime = d.Seconds()
		return
	}
	g.serviceTime += gateServiceWeight * (d.Seconds() - g.serviceTime)
}

// admit counts the arrival of a call and reports whether the call is admitted.
func (g *gate) admit(now time.Duration, it Item, slots int) bool {
	if g.utilization <= 0 {
		return true
	}
	if now >= g.windowEnd {
		g.recompute(now, slots)
	}
	f := g.flow(flowKey{it.Class, it.Customer})
	f.arrivals++
	return f.admit >= 1 || rank(it) < f.admit
}

// flow returns the load of a flow and creates it if it is new. At maxFlows, new
// flows of a class share one flow.
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

// recompute ends the current window, updates the average loads and divides the
// capacity of the leaf among the flows.
func (g *gate) recompute(now time.Duration, slots int) {
	window := now - g.windowEnd + loadWindow
	weight := 1 - math.Exp(-float64(window)/float64(loadTimeConstant))
	g.windowEnd = now + loadWindow
	g.sorted = g.sorted[:0]
	for key, f := range g.flows {
		f.rate += weight * (f.arrivals/window.Seconds() - f.rate)
		f.arrivals = 0
		if f.rate < minFlowRate {
			delete(g.flows, key)
			continue
		}
		g.sorted = append(g.sorted, f)
	}
	slices.SortFunc(g.sorted, compareLoads)
	if g.serviceTime > 0 {
		g.divideCapacity(g.utilization * float64(slots) / g.serviceTime)
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

// divideCapacity sets the admitted fraction of each flow. The capacity is the number of
// calls per second that the leaf can serve at the configured utilization.
func (g *gate) divideCapacity(capacity float64) {
	for i, f := range g.sorted {
		flowsLeft := 0
		for _, other := range g.sorted[i:] {
			if other.key.class == f.key.class {
				flowsLeft++
			}
		}
		granted := min(f.rate, capacity/float64(flowsLeft))
		f.admit = granted / f.rate
		capacity -= granted
	}
}

// rank maps the query of a call to a number in [0, 1) that is the same at every
// leaf.
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
