// Package budget limits extra attempts, such as retries and hedges, in proportion to the first
// attempts.
//
// A Budget is a token bucket that first attempts fill. Even if every attempt fails, the load
// on the targets is at most one plus the ratio times the load of the first attempts, so that
// retries do not sustain an overload.
//
// The package is pure: the caller passes in the time, as a monotonic offset, and serializes
// the calls to one Budget.
package budget

import (
	"math"
	"time"
)

// DefaultBurst is the default of Config.Burst.
const DefaultBurst = 10

// tokensPerAttempt is the number of tokens that one extra attempt costs.
const tokensPerAttempt = 1_000_000

// Config configures a Budget.
type Config struct {
	// Ratio is the number of extra attempts granted per first attempt.
	Ratio float64
	// Burst is the maximum number of extra attempts that can be saved up. Zero stands
	// for DefaultBurst.
	Burst float64
	// PerSecond is the number of extra attempts per second that are granted without
	// first attempts, for services with little traffic.
	PerSecond float64
	// Unbounded grants every extra attempt.
	Unbounded bool
}

// Budget grants extra attempts. It starts empty.
type Budget struct {
	cfg        Config
	tokens     int64
	refilledAt time.Duration
}

// New returns an empty Budget.
func New(now time.Duration, cfg Config) *Budget {
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{cfg: cfg, refilledAt: now}
}

// FirstAttempts adds the tokens for n first attempts.
func (b *Budget) FirstAttempts(n int) {
	b.add(int64(math.Round(b.cfg.Ratio*tokensPerAttempt)) * int64(n))
}

// Take reports whether one extra attempt may be sent at now, and spends its tokens if so.
func (b *Budget) Take(now time.Duration) bool {
	if b.cfg.Unbounded {
		return true
	}
	if now > b.refilledAt {
		b.add(int64(b.cfg.PerSecond * tokensPerAttempt * (now - b.refilledAt).Seconds()))
		b.refilledAt = now
	}
	if b.tokens < tokensPerAttempt {
		return false
	}
	b.tokens -= tokensPerAttempt
	return true
}

// Return restores the tokens of an extra attempt that was taken but not sent.
func (b *Budget) Return() {
	b.add(tokensPerAttempt)
}

func (b *Budget) add(tokens int64) {
	b.tokens = min(b.tokens+tokens, int64(b.cfg.Burst*tokensPerAttempt))
}

// FillRatio returns the number of saved-up attempts as a fraction of the burst.
func (b *Budget) FillRatio() float64 {
	return float64(b.tokens) / (b.cfg.Burst * tokensPerAttempt)
}
