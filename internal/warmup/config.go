package warmup

import "time"

// Defaults of Config.
const (
	DefaultWarmAfter    = 10
	DefaultSilentAfter  = 30 * time.Second
	DefaultHintFor      = 5 * time.Second
	DefaultLeavingFor   = 30 * time.Second
	DefaultJumpFactor   = 4.0
	DefaultJumpAfter    = 4
	DefaultTimeoutAfter = 3
)

// Config bounds the work that a holder sends to one leaf. Zero values, except
// of Slots and ColdSlots, take the defaults.
type Config struct {
	// Slots is the holder's share of the leaf's slots.
	Slots int
	// ColdSlots is the holder's share of the slots while the leaf is cold. It
	// is zero for a holder that has no part in cold starts.
	ColdSlots int
	// WarmAfter is the number of successes that ends a cold start.
	WarmAfter int
	// SilentAfter is the time without an answer after which a leaf is cold.
	SilentAfter time.Duration
	// HintFor is the time for which a hint lowers the bound.
	HintFor time.Duration
	// LeavingFor is the time for which a leaf's own word that it leaves holds.
	LeavingFor time.Duration
	// JumpFactor is the ratio of a latency to the average above which an answer
	// is slow.
	JumpFactor float64
	// JumpAfter is the number of slow answers in a row that makes a leaf cold.
	JumpAfter int
	// TimeoutAfter is the number of timeouts in a row that makes a leaf cold.
	TimeoutAfter int
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 0)
	c.ColdSlots = min(max(c.ColdSlots, 0), c.Slots)
	c.WarmAfter = positive(c.WarmAfter, DefaultWarmAfter)
	c.SilentAfter = positive(c.SilentAfter, DefaultSilentAfter)
	c.HintFor = positive(c.HintFor, DefaultHintFor)
	c.LeavingFor = positive(c.LeavingFor, DefaultLeavingFor)
	c.JumpFactor = positive(c.JumpFactor, DefaultJumpFactor)
	c.JumpAfter = positive(c.JumpAfter, DefaultJumpAfter)
	c.TimeoutAfter = positive(c.TimeoutAfter, DefaultTimeoutAfter)
	return c
}

// positive returns v, or byDefault if v is not positive.
func positive[T int | float64 | time.Duration](v, byDefault T) T {
	if v <= 0 {
		return byDefault
	}
	return v
}
