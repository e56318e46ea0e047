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

// Config sets the hedging of one service. Zero values take the defaults.
type Config struct {
	// Off turns hedging off.
	Off bool
	// Budget is the greatest number of hedges for each first try.
	Budget float64
	// MaxHedges is the greatest number of hedges of one leaf call. It should be
	// 1 for a service with two replicas of each shard.
	MaxHedges int
	// MinDelay and MaxDelay bound the time before a hedge.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MaxUtilization is the share of busy slots above which no hedge is sent.
	MaxUtilization float64
	// Burst is the greatest number of hedges that can be saved up.
	Burst float64
}

func (c Config) withDefaults() Config {
	c.Budget = positive(c.Budget, DefaultBudget)
	c.MaxHedges = positive(c.MaxHedges, DefaultMaxHedges)
	c.MinDelay = positive(c.MinDelay, DefaultMinDelay)
	c.MaxDelay = positive(c.MaxDelay, DefaultMaxDelay)
	c.MaxUtilization = positive(c.MaxUtilization, DefaultMaxUtilization)
	c.Burst = positive(c.Burst, DefaultBurst)
	return c
}

// budgetUse returns the share of the budget that first hedges are set to use.
func (c Config) budgetUse() float64 {
	if c.MaxHedges > 1 {
		return firstUse
	}
	return onlyUse
}

// positive returns v, or byDefault if v is not positive.
func positive[T int | float64 | time.Duration](v, byDefault T) T {
	if v <= 0 {
		return byDefault
	}
	return v
}
