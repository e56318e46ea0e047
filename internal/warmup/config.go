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

// Config limits the calls that a holder sends to one leaf. Values that are zero or
// negative take the defaults, except for Slots and ColdSlots.
type Config struct {
	// Slots is the holder's share of the leaf's slots.
	Slots int
	// ColdSlots is the holder's share of the slots while the leaf is cold. It is
	// zero for a holder that must not call a cold leaf.
	ColdSlots int
	// WarmAfter is the number of successes that ends a cold start, and that adds
	// each further slot.
	WarmAfter int
	// SilenceTimeout is the time without an answer after which a leaf becomes cold.
	SilenceTimeout time.Duration
	// HintTTL is the time for which a hint lowers the bound of the leaf.
	HintTTL time.Duration
	// LeavingTTL is the time for which a leaf's own report that it is leaving is
	// valid.
	LeavingTTL time.Duration
	// JumpFactor is the ratio of the latency to the average above which an answer
	// counts as slow.
	JumpFactor float64
	// JumpAfter is the number of consecutive slow answers after which a leaf
	// becomes cold.
	JumpAfter int
	// TimeoutAfter is the number of consecutive timeouts after which a warm leaf
	// becomes cold.
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

// positive returns v, or defaultValue if v is not positive.
func positive[T int | float64 | time.Duration](v, defaultValue T) T {
	if v <= 0 {
		return defaultValue
	}
	return v
}
