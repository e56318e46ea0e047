package hedge

import "time"

// Defaults of Config.
const (
	DefaultBudget         = 0.05
	DefaultMaxHedges      = 2
	DefaultMinDelay       = time.Millisecond
	DefaultMaxDelay       = time.Second
	DefaultMaxUtilization = 0.75
	DefaultBurst          = 100
)

// Config configures the hedging of one service. Zero values stand for the defaults.
type Config struct {
	// Off turns hedging off.
	Off bool
	// Budget is the maximum number of hedges per first attempt.
	Budget float64
	// MaxHedges is the maximum number of hedges of one leaf call. It should be 1 for a
	// service with two replicas of each shard.
	MaxHedges int
	// MinDelay and MaxDelay bound the time before a hedge.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MaxUtilization is the fraction of busy slots above which no hedge is sent.
	MaxUtilization float64
	// Burst is the maximum number of hedges that can be saved up.
	Burst float64
}

func (c Config) withDefaults() Config {
	c.Budget = orDefault(c.Budget, DefaultBudget)
	c.MaxHedges = orDefault(c.MaxHedges, DefaultMaxHedges)
	c.MinDelay = orDefault(c.MinDelay, DefaultMinDelay)
	c.MaxDelay = orDefault(c.MaxDelay, DefaultMaxDelay)
	c.MaxUtilization = orDefault(c.MaxUtilization, DefaultMaxUtilization)
	c.Burst = orDefault(c.Burst, DefaultBurst)
	return c
}

// budgetUse returns the fraction of the budget that first hedges are meant to use.
func (c Config) budgetUse() float64 {
	if c.MaxHedges > 1 {
		return firstHedgeUse
	}
	return onlyHedgeUse
}

// orDefault returns v, or defaultValue if v is not positive.
func orDefault[T int | float64 | time.Duration](v, defaultValue T) T {
	if v <= 0 {
		return defaultValue
	}
	return v
}
