package document

import (
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// Limits of the values in a service's policy and leaf limits.
const (
	maxDeadlineMS  = 600_000
	maxHedgeBudget = 0.2
	maxRetryBudget = 1.0
	maxClasses     = 16
	// minConnections allows several hosts to share the connections of a leaf, with a
	// reserve for those of a replaced host.
	minConnections = 4
	maxConnections = 65_535
	maxSlots       = 65_535
	maxWarmAfter   = 1_000_000
)

func (v *validator) validatePolicy(p *Policy, path jsonc.Path) {
	v.checkChoice(p.Coverage, path.Key("coverage"), CoverageDeadline, CoverageFull)
	v.checkChoice(p.Hedge, path.Key("hedge"), HedgeBudgeted, HedgeOff)
	v.checkChoice(p.Retry, path.Key("retry"), RetryBudgeted, RetryUnbounded)
	v.checkChoice(p.Routing, path.Key("routing"), RoutingHolder, RoutingDirect)
	v.checkRatio(p.MinimumCoverage, 1, path.Key("minimum_coverage"))
	v.checkRatio(p.HedgeBudget, maxHedgeBudget, path.Key("hedge_budget"))
	v.checkRatio(p.RetryBudget, maxRetryBudget, path.Key("retry_budget"))
	if p.DeadlineMS < 0 || p.DeadlineMS > maxDeadlineMS {
		v.report.Add(CodeOutOfRange, path.Key("deadline_ms"),
			"must be from 1 to %d ms, got %d", maxDeadlineMS, p.DeadlineMS)
	}
	v.validateClasses(p.Classes, path.Key("classes"))
}

func (v *validator) validateClasses(classes []string, path jsonc.Path) {
	if len(classes) > maxClasses {
		v.report.Add(CodeOutOfRange, path, "has %d classes, the limit is %d", len(classes), maxClasses)
	}
	seen := make(map[string]bool)
	for i, class := range classes {
		v.checkUnique(seen, "class", class, path.Index(i))
	}
}

// checkChoice checks that a value is one of the choices, or empty for the default.
func (v *validator) checkChoice(value string, path jsonc.Path, choices ...string) {
	if value == "" || slices.Contains(choices, value) {
		return
	}
	v.report.Add(CodeBadPolicy, path, "%q is not one of %q", value, choices)
}

func (v *validator) checkRatio(ratio, limit float64, path jsonc.Path) {
	if ratio >= 0 && ratio <= limit {
		return
	}
	v.report.Add(CodeOutOfRange, path, "must be from 0 to %g, got %g", limit, ratio)
}

func (v *validator) validateLimits(l LeafLimits, path jsonc.Path) {
	if l.Slots < 1 {
		v.report.Add(CodeLimitNotShareable, path.Key("slots"), "must be at least 1, got %d", l.Slots)
	}
	if l.Connections < minConnections {
		v.report.Add(CodeLimitNotShareable, path.Key("connections"),
			"must be at least %d so that hosts can share them, got %d", minConnections, l.Connections)
	}
	if l.ColdSlots > l.Slots {
		v.report.Add(CodeLimitNotShareable, path.Key("cold_slots"),
			"%d is more than the %d slots of a warm leaf", l.ColdSlots, l.Slots)
	}
	v.checkAtMost(l.Slots, maxSlots, path.Key("slots"))
	v.checkAtMost(l.Connections, maxConnections, path.Key("connections"))
	v.checkAtMost(l.WarmAfter, maxWarmAfter, path.Key("warm_after"))
	v.checkNotNegative(l.ColdSlots, path.Key("cold_slots"))
	v.checkNotNegative(l.WarmAfter, path.Key("warm_after"))
}

func (v *validator) checkAtMost(value, limit int, path jsonc.Path) {
	if value > limit {
		v.report.Add(CodeOutOfRange, path, "must be at most %d, got %d", limit, value)
	}
}

func (v *validator) checkNotNegative(value int, path jsonc.Path) {
	if value < 0 {
		v.report.Add(CodeOutOfRange, path, "must not be negative, got %d", value)
	}
}

// validateTopology validates the shards, instances and leaves of a service.
func (v *validator) validateTopology(service *Service, path jsonc.Path) {
	listed := make(map[string]bool)
	for i, shard := range service.Shards {
		v.checkUnique(listed, "shard", shard, path.Key("shards").Index(i))
	}
	if len(service.Instances) == 0 {
		v.report.Add(CodeMissing, path.Key("instances"), "service %q has no instance", service.Name)
	}
	served := make(map[string]bool)
	for i := range service.Instances {
		v.validateInstance(&service.Instances[i], path.Key("instances").Index(i), listed, served)
	}
	for i, shard := range service.Shards {
		if !served[shard] {
			v.report.Add(CodeShardWithoutLeaf, path.Key("shards").Index(i), "shard %q has no leaf", shard)
		}
	}
}

func (v *validator) validateInstance(instance *Instance, path jsonc.Path, listed, served map[string]bool) {
	v.checkTarget(targetInstance, instance.Name, path.Key("name"))
	v.checkDataCentre(instance.DataCentre, path.Key("data_centre"))
	if len(instance.Leaves) == 0 {
		v.report.Add(CodeMissing, path.Key("leaves"), "instance %q has no leaf", instance.Name)
	}
	for i, leaf := range instance.Leaves {
		at := path.Key("leaves").Index(i)
		v.checkTarget(targetLeaf, leaf.Name, at.Key("name"))
		v.checkName("shard", leaf.Shard, at.Key("shard"))
		if len(listed) > 0 && !listed[leaf.Shard] {
			v.report.Add(CodeUnknownShard, at.Key("shard"), "shard %q is not in shards", leaf.Shard)
		}
		served[leaf.Shard] = true
	}
}

// checkTarget checks the form of the name of an instance or leaf and that no other
// instance or leaf has it.
func (v *validator) checkTarget(kind targetKind, name string, path jsonc.Path) {
	if !v.checkName(string(kind), name, path) {
		return
	}
	if other, found := v.targets[name]; found {
		v.report.Add(CodeDuplicateName, path, "%s %q has the name of another %s", kind, name, other)
		return
	}
	v.targets[name] = kind
}
