// Package document defines the configuration document of an environment, which
// operators publish through the configuration service. It parses, validates and
// indexes documents, and computes the differences between them. A document refers to
// hosts, leaves and data centres by logical name only, so that the same bytes serve
// trial and production.
package document

import "time"

// Document is a revision of an environment's configuration.
type Document struct {
	// Revision orders documents. A node accepts only a higher revision than its
	// current one.
	Revision    uint64       `json:"revision"`
	DataCentres []DataCentre `json:"data_centres"`
	// TakenOut lists the data centres that receive no new work.
	TakenOut []string `json:"taken_out,omitempty"`
	// LeavingLeaves lists leaves that receive no new work.
	LeavingLeaves []string `json:"leaving_leaves,omitempty"`
	// StoppedHosts lists hosts whose processes have ended permanently, as confirmed
	// by an operator, so that their shares may pass to other hosts.
	StoppedHosts []string     `json:"stopped_hosts,omitempty"`
	Deployments  []Deployment `json:"deployments"`
}

// DataCentre is a data centre with targets and hosts.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Deployment contains the services of one customer.
type Deployment struct {
	Customer string    `json:"customer"`
	Services []Service `json:"services"`
}

// Service is a set of shards that callers query under one name.
type Service struct {
	Name   string     `json:"name"`
	Policy Policy     `json:"policy"`
	Leaf   LeafLimits `json:"leaf"`
	// Shards lists the shards that a complete answer covers. If it is empty, they are
	// the shards of the leaves.
	Shards    []string   `json:"shards,omitempty"`
	Instances []Instance `json:"instances"`
}

// Coverage policies of a service.
const (
	// CoverageDeadline answers with the parts that have arrived by the deadline.
	CoverageDeadline = "deadline"
	// CoverageFull refuses an answer that is not known to reach MinimumCoverage, which
	// then defaults to 1.
	CoverageFull = "full"
)

// Policy selects how a service's queries are served. Normalize replaces zero
// values by the defaults.
type Policy struct {
	Coverage string `json:"coverage"`
	// MinimumCoverage is the minimum fraction of the key space that an answer covers,
	// from 0 to 1.
	MinimumCoverage float64 `json:"minimum_coverage"`
	DeadlineMS      int     `json:"deadline_ms"`
	// Hedge is "budget" or "off".
	Hedge string `json:"hedge,omitempty"`
	// HedgeBudget is the maximum ratio of hedges to first attempts of leaf calls, from
	// 0 to 0.2.
	HedgeBudget float64 `json:"hedge_budget,omitempty"`
	// Retry is "budget" or "unbounded".
	Retry string `json:"retry,omitempty"`
	// RetryBudget is the maximum ratio of retries to first attempts, from 0 to 1.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// Routing is "holder" or "direct". With "direct", slots are divided among all
	// hosts.
	Routing string `json:"routing,omitempty"`
	// Classes lists request classes from the most to the least important. The last
	// one applies to a request without a class.
	Classes []string `json:"classes,omitempty"`
}

// Deadline returns the default deadline of the service's queries.
func (p Policy) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// Hedge, retry and routing policies of a service.
const (
	HedgeBudgeted  = "budget"
	HedgeOff       = "off"
	RetryBudgeted  = "budget"
	RetryUnbounded = "unbounded"
	RoutingHolder  = "holder"
	RoutingDirect  = "direct"
)

// LeafLimits holds the load limits of each leaf of a service.
type LeafLimits struct {
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections.
	Connections int `json:"connections"`
	// ColdSlots is the maximum number of concurrent requests while the leaf is cold.
	ColdSlots int `json:"cold_slots,omitempty"`
	// WarmAfter is the number of successful requests after which a cold leaf is warm.
	WarmAfter int `json:"warm_after,omitempty"`
}

// Instance is a process group of leaves that fail together.
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
