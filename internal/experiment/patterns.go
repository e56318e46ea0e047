package experiment

import (
	_ "embed"
	"maps"
	"slices"
)

//go:embed quiet.jsonc
var quietFile []byte

// QuietFile returns the experiment file that the patterns start from: a fleet of 195 nodes without
// events.
func QuietFile() []byte { return slices.Clone(quietFile) }

// patterns holds a change of an experiment for each pattern of load. Its disruption begins after
// patternBegin.
var patterns = map[string]func(*Config){
	"restart-of-all": func(c *Config) {
		c.Events = []Event{{Kind: KindNodesDown, AtSeconds: patternBegin, ForSeconds: 2, Fraction: 1}}
	},
	"burst-over-slow-leaves": func(c *Config) {
		c.Events = []Event{
			{Kind: KindSlow, AtSeconds: patternBegin, ForSeconds: 8, Fraction: 0.15, Factor: 12},
			{Kind: KindBurst, AtSeconds: patternBegin, ForSeconds: 8, Factor: 1.7},
		}
	},
	"dark-leaves": func(c *Config) {
		c.Events = []Event{{Kind: KindDark, AtSeconds: patternBegin, ForSeconds: 8, Fraction: 0.15}}
	},
	"shards-down": func(c *Config) {
		c.Events = []Event{{Kind: KindDown, AtSeconds: patternBegin, ForSeconds: 6, Leaves: c.Leaves[0].Name, Shards: 3, Fraction: 1}}
	},
	"fifth-of-nodes-lost": func(c *Config) {
		c.Events = []Event{{Kind: KindNodesDown, AtSeconds: patternBegin, ForSeconds: 8, Fraction: 0.2}}
	},
	"cold-leaves-under-load": func(c *Config) {
		c.Events = []Event{
			{Kind: KindCold, AtSeconds: patternBegin, Fraction: 0.3},
			{Kind: KindBurst, AtSeconds: patternBegin, ForSeconds: 6, Factor: 1.5},
		}
	},
	"slow-third-beside-rolling-stop": func(c *Config) {
		c.Events = []Event{
			{Kind: KindSlow, AtSeconds: patternBegin, ForSeconds: 8, Fraction: 0.33, Factor: 6},
			{Kind: KindRollingStop, AtSeconds: patternBegin, ForSeconds: 8, Fraction: 1},
		}
	},
	"callers-repeat-at-once": func(c *Config) {
		c.Events = []Event{
			{Kind: KindSlow, AtSeconds: patternBegin, ForSeconds: 6, Fraction: 0.5, Factor: 6},
			{Kind: KindBurst, AtSeconds: patternBegin, ForSeconds: 6, Factor: 2},
		}
		for i := range c.Requests {
			c.Requests[i].CallerRetries, c.Requests[i].AtOnce = 3, true
		}
	},
}

// patternBegin is when the disruption of a pattern begins, in seconds.
const patternBegin = 8

// Patterns returns the names of the patterns of load.
func Patterns() []string { return slices.Sorted(maps.Keys(patterns)) }

// Apply replaces the events of an experiment by those of a pattern. It reports false if there is no
// such pattern.
func Apply(c *Config, pattern string) bool {
	change := patterns[pattern]
	if change == nil {
		return false
	}
	c.Name += ", " + pattern
	change(c)
	return true
}
