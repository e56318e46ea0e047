package warmup

import "time"

// Defaults of Config.
const (
	DefaultWarmAfter      = 10
	DefaultSilenceTimeout = 30 * time.Second
	DefaultHintTTL        = 5 * time.Second
	DefaultLeavingTTL     = 30 * time.Second
	DefaultJumpFactor     = 4.0
	DefaultJumpAfter      = 4
	DefaultTimeoutAfter   = 3
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
	// SilenceTimeout is the time without an answer after which a leaf is cold.
	SilenceTimeout time.Duration
	// HintTTL is the time for which a hint lowers the bound.
	HintTTL time.Duration
	// LeavingTTL is the time for which a leaf's own word that it leaves holds.
	LeavingTTL time.Duration
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
	c.SilenceTimeout = positive(c.SilenceTimeout, DefaultSilenceTimeout)
	c.HintTTL = positive(c.HintTTL, DefaultHintTTL)
	c.LeavingTTL = positive(c.LeavingTTL, DefaultLeavingTTL)
	c.JumpFactor = positive(c.JumpFactor, DefaultJumpFactor)
	c.JumpAfter = positive(c.JumpAfter, DefaultJumpAfter)
	c.TimeoutAfter = positive(c.TimeoutAfter, DefaultTimeoutAfter)
	return c
}

// positive returns v, or byDefault if v is not positive.
func positive[T int | float64 | time.Duration](v, defaultValue T) T {
	if v <= 0 {
		return defaultValue
	}
	return v
}
