// Package budget limits extra tries, such as retries and hedges, to a share of the first
// tries.
//
// A Budget is a token bucket that first tries fill. Even if every try fails, the load on the
// targets is at most one plus the share times the load of the first tries, so that retries
// do not sustain an overload.
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

// tokensPerTry is the number of tokens that one extra try costs.
const tokensPerTry = 1_000_000

// Config configures a Budget.
type Config struct {
	// Share is the number of extra tries granted per first try.
	Share float64
	// Burst is the maximum number of extra tries that can be saved up. Zero stands for
	// DefaultBurst.
	Burst float64
	// PerSecond is the number of extra tries per second that are granted without first
	// tries, for services with little traffic.
	PerSecond float64
	// Unbounded grants every extra try.
	Unbounded bool
}

// Budget grants extra tries. It starts empty.
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

// FirstTries adds the tokens for n first tries.
func (b *Budget) FirstTries(n int) {
	b.add(int64(math.Round(b.cfg.Share*tokensPerTry)) * int64(n))
}

// Take reports whether one extra try may be sent at now, and spends its tokens if so.
func (b *Budget) Take(now time.Duration) bool {
	if b.cfg.Unbounded {
		return true
	}
	if now > b.refilledAt {
		b.add(int64(b.cfg.PerSecond * tokensPerTry * (now - b.refilledAt).Seconds()))
		b.refilledAt = now
	}
	if b.tokens < tokensPerTry {
		return false
	}
	b.tokens -= tokensPerTry
	return true
}

// Return restores the tokens of an extra try that was taken but not sent.
func (b *Budget) Return() {
	b.add(tokensPerTry)
}

func (b *Budget) add(tokens int64) {
	b.tokens = min(b.tokens+tokens, int64(b.cfg.Burst*tokensPerTry))
}

// FillRatio returns the number of saved-up tries as a fraction of the burst.
func (b *Budget) FillRatio() float64 {
	return float64(b.tokens) / (b.cfg.Burst * tokensPerTry)
}
