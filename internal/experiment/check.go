package experiment

import (
	"math"
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document/jsonc"
)

// Codes of the problems that the check of an experiment reports.
const (
	CodeOutOfRange jsonc.Code = "out_of_range"
	CodeUnknown    jsonc.Code = "unknown_name"
)

// Bounds of an experiment.
const (
	maxSeconds  = 3600
	maxNodes    = 2000
	maxLeaves   = 20_000
	maxRate     = 100_000
	maxMS       = 3_600_000
	maxCount    = 1 << 16
	maxFactor   = 1000
	maxVariants = 100
)

// checker adds a problem for each value that is out of its range.
type checker struct{ report *jsonc.Report }

func (c checker) inRange(path jsonc.Path, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.report.Add(CodeOutOfRange, path, "is %v, must be from %v to %v", value, low, high)
	}
}

// hasLeaves adds a problem if no set of leaves has a name.
func (c checker) hasLeaves(path jsonc.Path, name string, sets []LeafSet) {
	if !slices.ContainsFunc(sets, func(s LeafSet) bool { return s.Name == name }) {
		c.report.Add(CodeUnknown, path, "%q is none of the sets of leaves", name)
	}
}

func (c *Config) check(report *jsonc.Report) {
	k := checker{report}
	k.inRange("/seconds", c.Seconds, 1, maxSeconds)
	k.inRange("/warm_up_seconds", c.WarmUpSeconds, 0, c.Seconds)
	k.inRange("/seeds", float64(len(c.Seeds)), 1, maxVariants)
	k.inRange("/policies", float64(len(c.Policies)), 1, maxVariants)
	k.inRange("/leaves", float64(len(c.Leaves)), 1, maxVariants)
	k.inRange("/requests", float64(len(c.Requests)), 1, maxVariants)
	k.inRange("/fleet/nodes", float64(c.Fleet.Nodes), 1, maxNodes)
	k.inRange("/fleet/data_centres", float64(c.Fleet.DataCentres), 1, float64(max(c.Fleet.Nodes, 1)))
	k.inRange("/fleet/gatherers", float64(c.Fleet.Gatherers), 0, float64(c.Fleet.Nodes))
	k.inRange("/fleet/cores", c.Fleet.Cores, 0.01, maxCount)
	k.inRange("/fleet/message_us", c.Fleet.MessageMicros, 0, maxMS)
	k.inRange("/fleet/catalog_lag_ms", c.Fleet.CatalogLagMS, 0, maxMS)
	k.inRange("/network/within_data_centre_ms", c.Network.WithinMS, 0, maxMS)
	k.inRange("/network/between_data_centres_ms", c.Network.BetweenMS, 0, maxMS)
	k.inRange("/network/callers_ms", c.Network.CallersMS, 0, maxMS)
	k.inRange("/limits/retry_ratio", c.Limits.RetryRatio, 0, maxFactor)
	k.inRange("/limits/retry_slack", c.Limits.RetrySlack, 0, maxRate)
	k.inRange("/limits/retry_window_ms", c.Limits.RetryWindowMS, 1, maxMS)
	k.inRange("/limits/cold_ratio", c.Limits.ColdRatio, 0, maxFactor)
	k.inRange("/limits/cold_slack", c.Limits.ColdSlack, 0, maxRate)
	total := 0
	for i := range c.Leaves {
		c.Leaves[i].check(k, jsonc.Path("/leaves").Index(i), c.Fleet.DataCentres)
		total += c.Leaves[i].Shards * c.Leaves[i].Replicas
	}
	if total > maxLeaves {
		report.Add(CodeOutOfRange, "/leaves", "are %d leaves, must be at most %d", total, maxLeaves)
	}
	for i := range c.Requests {
		c.Requests[i].check(k, jsonc.Path("/requests").Index(i), c.Leaves)
	}
	for i, e := range c.Events {
		e.check(k, jsonc.Path("/events").Index(i), c)
	}
}

func (l *LeafSet) check(k checker, path jsonc.Path, dataCentres int) {
	k.inRange(path.Key("shards"), float64(l.Shards), 1, maxLeaves)
	k.inRange(path.Key("replicas"), float64(l.Replicas), 1, maxLeaves)
	k.inRange(path.Key("data_centres"), float64(l.DataCentres), 0, float64(max(dataCentres, 1)))
	k.inRange(path.Key("slots"), float64(l.Slots), 1, maxCount)
	k.inRange(path.Key("queue"), float64(l.Queue), 0, maxCount)
	k.inRange(path.Key("connections"), float64(l.Connections), 1, maxCount)
	k.inRange(path.Key("connect_ms"), l.ConnectMS, 0, maxMS)
	k.inRange(path.Key("pause_every_ms"), l.PauseEveryMS, 0, maxMS)
	// A leaf that stands still all the time would never answer.
	k.inRange(path.Key("pause_ms"), l.PauseMS, 0, l.PauseEveryMS/2)
	k.inRange(path.Key("cold_ms"), l.ColdMS, 0, maxMS)
	k.inRange(path.Key("cold_factor"), l.ColdFactor, 0, maxFactor)
	k.inRange(path.Key("cold_per_second"), l.ColdPerSecond, 0, maxRate)
}

func (r *Requests) check(k checker, path jsonc.Path, sets []LeafSet) {
	k.hasLeaves(path.Key("leaves"), r.Leaves, sets)
	k.inRange(path.Key("per_second"), r.PerSecond, 0.001, maxRate)
	k.inRange(path.Key("wave_ms"), r.WaveMS, 0, maxMS)
	k.inRange(path.Key("work_ms"), r.WorkMS, 0.001, maxMS)
	k.inRange(path.Key("objective_ms"), r.ObjectiveMS, 1, maxMS)
	k.inRange(path.Key("deadline_ms"), r.DeadlineMS, 1, maxMS)
	k.inRange(path.Key("min_coverage"), r.MinCoverage, 0, 1)
	k.inRange(path.Key("max_attempts"), float64(r.MaxAttempts), 1, maxVariants)
	k.inRange(path.Key("priority"), float64(r.Priority), 0, maxVariants)
	k.inRange(path.Key("caller_retries"), float64(r.CallerRetries), 0, maxVariants)
}

func (e Event) check(k checker, path jsonc.Path, c *Config) {
	if e.Leaves != "" {
		k.hasLeaves(path.Key("leaves"), e.Leaves, c.Leaves)
	}
	if !kinds[e.Kind] {
		k.report.Add(CodeUnknown, path.Key("kind"), "%q is no kind of event", e.Kind)
	}
	k.inRange(path.Key("at_seconds"), e.AtSeconds, 0, c.Seconds)
	k.inRange(path.Key("for_seconds"), e.ForSeconds, 0, maxSeconds)
	k.inRange(path.Key("fraction"), e.Fraction, 0, 1)
	k.inRange(path.Key("shards"), float64(e.Shards), 0, maxLeaves)
	k.inRange(path.Key("factor"), e.Factor, 0, maxFactor)
	k.inRange(path.Key("retry_after_ms"), e.RetryAfterMS, 0, maxMS)
}
