package document

import "slices"

// Defaults of a service's policy and limits.
const (
	defaultDeadlineMS  = 1000
	defaultHedgeBudget = 0.05
	defaultRetryBudget = 0.1
	// defaultMinimumCoverage applies to CoverageFull only.
	defaultMinimumCoverage  = 1.0
	defaultColdSlots        = 1
	defaultWarmAfter        = 20
	defaultClassInteractive = "interactive"
	defaultClassBackground  = "background"
)

// Normalize sets the defaults of fields that are absent from the document. It is
// idempotent.
func (d *Document) Normalize() {
	for i := range d.Deployments {
		services := d.Deployments[i].Services
		for j := range services {
			services[j].normalize()
		}
	}
}

func (s *Service) normalize() {
	s.Policy.normalize()
	s.Leaf.normalize()
	if len(s.Shards) == 0 {
		s.Shards = s.leafShards()
	}
}

func (p *Policy) normalize() {
	setDefault(&p.Coverage, CoverageDeadline)
	setDefault(&p.DeadlineMS, defaultDeadlineMS)
	setDefault(&p.Hedge, HedgeBudgeted)
	setDefault(&p.Retry, RetryBudgeted)
	setDefault(&p.Routing, RoutingHolder)
	setDefault(&p.HedgeBudget, defaultHedgeBudget)
	setDefault(&p.RetryBudget, defaultRetryBudget)
	if p.Coverage == CoverageFull {
		setDefault(&p.MinimumCoverage, defaultMinimumCoverage)
	}
	if len(p.Classes) == 0 {
		p.Classes = []string{defaultClassInteractive, defaultClassBackground}
	}
}

func (l *LeafLimits) normalize() {
	setDefault(&l.ColdSlots, defaultColdSlots)
	setDefault(&l.WarmAfter, defaultWarmAfter)
}

// setDefault sets a field if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// leafShards returns the distinct shards of the leaves, sorted.
func (s *Service) leafShards() []string {
	var shards []string
	for _, instance := range s.Instances {
		for _, leaf := range instance.Leaves {
			shards = append(shards, leaf.Shard)
		}
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}
