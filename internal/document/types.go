// Package document holds the environment's document: the deployments that
// operators publish through the configuration service, its checks and its
// identity. The document names hosts, leaves and data centres by logical name
// only, so that the same bytes serve trial and production.
package document

import "time"

// Document is one revision of an environment's configuration.
type Document struct {
	// Revision orders documents; a node only ever takes a higher one.
	Revision    uint64       `json:"revision"`
	DataCentres []DataCentre `json:"data_centres"`
	// TakenOut lists the data centres that receive no new work.
	TakenOut []string `json:"taken_out,omitempty"`
	// LeavingLeaves lists leaves that receive no new work.
	LeavingLeaves []string `json:"leaving_leaves,omitempty"`
	// StoppedHosts lists hosts whose processes an operator confirms have ended
	// for good, so that their shares may pass to others.
	StoppedHosts []string     `json:"stopped_hosts,omitempty"`
	Deployments  []Deployment `json:"deployments"`
}

// DataCentre is one zone of targets and hosts.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Deployment is what operators run for one customer.
type Deployment struct {
	Customer string    `json:"customer"`
	Services []Service `json:"services"`
}

// Service is one set of shards that callers query by name.
type Service struct {
	Name   string     `json:"name"`
	Policy Policy     `json:"policy"`
	Leaf   LeafLimits `json:"leaf"`
	// Shards lists every shard that a complete answer covers. If it is empty,
	// the shards are those that the leaves name.
	Shards    []string   `json:"shards,omitempty"`
	Instances []Instance `json:"instances"`
}

// Coverage policies of a service.
const (
	// CoverageDeadline answers with what has arrived by the deadline.
	CoverageDeadline = "deadline"
	// CoverageFull waits for the full list and refuses below MinimumCoverage.
	CoverageFull = "full"
)

// Policy selects how a service's queries are served. Zero values take the
// defaults that Normalize fills in.
type Policy struct {
	Coverage string `json:"coverage"`
	// MinimumCoverage is the least share of the key space, 0 to 1, of an answer.
	MinimumCoverage float64 `json:"minimum_coverage"`
	DeadlineMS      int     `json:"deadline_ms"`
	// Hedge is "budget" or "off".
	Hedge string `json:"hedge,omitempty"`
	// HedgeBudget is the greatest share of extra leaf calls, 0 to 0.2.
	HedgeBudget float64 `json:"hedge_budget,omitempty"`
	// Retry is "budget" or "unbounded".
	Retry string `json:"retry,omitempty"`
	// RetryBudget is the greatest ratio of retries to first tries, 0 to 1.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// Routing is "holder" or "direct"; direct divides slots among all hosts.
	Routing string `json:"routing,omitempty"`
	// Classes lists request classes from the most to the least important. The
	// last one is used for a request that names none.
	Classes []string `json:"classes,omitempty"`
}

// Deadline returns the default deadline of the service's queries.
func (p Policy) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// Ways to hedge, to retry and to route.
const (
	HedgeBudgeted  = "budget"
	HedgeOff       = "off"
	RetryBudgeted  = "budget"
	RetryUnbounded = "unbounded"
	RoutingHolder  = "holder"
	RoutingDirect  = "direct"
)

// LeafLimits bounds what each leaf of a service can bear.
type LeafLimits struct {
	// Slots is the greatest number of concurrent requests.
	Slots int `json:"slots"`
	// Connections is the greatest number of open connections.
	Connections int `json:"connections"`
	// ColdSlots is the greatest number of concurrent requests while cold.
	ColdSlots int `json:"cold_slots,omitempty"`
	// WarmAfter is the number of successes that ends a cold start.
	WarmAfter int `json:"warm_after,omitempty"`
}

// Instance is one process group of leaves that fails together.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Leaves     []Leaf `json:"leaves"`
}

// Leaf serves one shard. Leaves of the same shard are replicas.
type Leaf struct {
	Name  string `json:"name"`
	Shard string `json:"shard"`
}
