package dispatch

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/hedge"
)

const (
	// meanGain is the weight of a new sample in a route's mean latency.
	meanGain = 0.02
	// initialMeanDivisor divides a route's objective to give the assumed mean latency of a
	// leaf call before any call has been measured.
	initialMeanDivisor = 8
	// initialHedgeDivisor divides the objective to give the delay of a hedge until
	// latencies are known.
	initialHedgeDivisor = 4
	// maxHedgeRatio is the maximum number of hedges per first call. The shared retry
	// budget bounds them as well.
	maxHedgeRatio = 0.14
	// deviationFactor is the number of mean deviations above the mean within which nearly all
	// calls are answered.
	deviationFactor = 4
	// defaultObjective is the objective of a route that sets none.
	defaultObjective = 500 * time.Millisecond
)

// Route tracks the latency of one route's leaf calls and the weighted choice of its services.
type Route struct {
	// Objective is the latency within which an answer should reach its caller.
	Objective time.Duration
	mean      time.Duration
	// deviation is the mean deviation of the latency from mean.
	deviation time.Duration
	hedges    *hedge.Service
	shards    map[string]*hedge.Shard
	// currentWeights holds the current weights of the smooth weighted round robin.
	currentWeights map[string]float64
}

// NewRoute returns the state of a route without calls. Zero stands for the default objective.
func NewRoute(now, objective time.Duration) *Route {
	if objective <= 0 {
		objective = defaultObjective
	}
	return &Route{
		Objective:      objective,
		mean:           objective / initialMeanDivisor,
		deviation:      (objective - objective/initialMeanDivisor) / deviationFactor,
		hedges:         hedge.New(now, hedge.Config{Budget: maxHedgeRatio, MaxHedges: 1, MaxUtilization: 1}),
		shards:         map[string]*hedge.Shard{},
		currentWeights: map[string]float64{},
	}
}

// MeanLatency returns the mean latency of the route's leaf calls.
func (r *Route) MeanLatency() time.Duration { return r.mean }

// ExpectedLatency returns how long a request of the route may take. Slow calls of a request that is
// idempotent are hedged, so that it is expected to end within the objective.
func (r *Route) ExpectedLatency(idempotent bool) time.Duration {
	if idempotent {
		return r.Objective
	}
	return r.mean + deviationFactor*r.deviation
}

// Observe records the latency of an answered call.
func (r *Route) Observe(service string, took time.Duration) {
	r.ObserveUnanswered(took)
	r.mean += time.Duration(meanGain * float64(took-r.mean))
	r.hedges.Observe(took)
	r.shard(service).Observe(took)
}

// ObserveUnanswered records a call that has taken that long and has no answer yet.
func (r *Route) ObserveUnanswered(elapsed time.Duration) {
	r.deviation += time.Duration(meanGain * float64((elapsed-r.mean).Abs()-r.deviation))
}

func (r *Route) shard(service string) *hedge.Shard {
	shard := r.shards[service]
	if shard == nil {
		shard = new(hedge.Shard)
		r.shards[service] = shard
	}
	return shard
}

// CountFirstAttempts adds the budget for hedges of n first attempts.
func (r *Route) CountFirstAttempts(n int) { r.hedges.FirstAttempts(n) }

// DecideHedge decides whether an unanswered call to a service is hedged at now.
func (r *Route) DecideHedge(now time.Duration, service string, c hedge.Call) hedge.Decision {
	c.Shard = r.shard(service)
	d := r.hedges.Decide(now, c)
	if d.Reason != hedge.NoLatencies {
		return d
	}
	delay := r.Objective / initialHedgeDivisor
	if c.StragglerDelay > 0 {
		delay = min(delay, c.StragglerDelay)
	}
	if due := c.LastSent + delay; now < due {
		return hedge.Decision{Verdict: hedge.Wait, Reason: hedge.TooEarly, At: due}
	}
	return hedge.Decision{Verdict: hedge.Send}
}

// ReturnHedge restores the budget of a hedge that was not sent.
func (r *Route) ReturnHedge() { r.hedges.Return() }

// ChooseService chooses the service for one request by smooth weighted round robin, so that any
// span of requests is split in proportion to the weights of the route. It returns "" if all weights
// are zero.
func (r *Route) ChooseService(route *catalog.Route) string {
	if len(route.WeightedServices) == 1 && route.WeightedServices[0].Weight > 0 {
		return route.WeightedServices[0].Service
	}
	var total float64
	best := -1
	for i, candidate := range route.WeightedServices {
		if candidate.Weight <= 0 {
			continue
		}
		total += candidate.Weight
		r.currentWeights[candidate.Service] += candidate.Weight
		if best < 0 || r.currentWeights[candidate.Service] > r.currentWeights[route.WeightedServices[best].Service] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	chosen := route.WeightedServices[best].Service
	r.currentWeights[chosen] -= total
	return chosen
}
