package dispatch

import "time"

const (
	// extraNotRun is the number of attempts beyond a route's maximum after which a call may
	// still be retried. Only attempts that no leaf has run can exceed the maximum.
	extraNotRun = 1
	// A call of a gather from at least minStragglerCalls shards is a straggler if it takes
	// stragglerFactor times as long as the stragglerQuantile of its calls.
	minStragglerCalls = 4
	stragglerQuantile = 0.7
	stragglerFactor   = 1.5
)

// MaxAttempts returns the number of attempts of a call that a route's maximum allows at most, those
// that no leaf has run included.
func MaxAttempts(routeMax int) int { return routeMax + extraNotRun + 1 }

// FailedCall is the state of a call whose last attempt has failed.
type FailedCall struct {
	Idempotent bool
	// MayHaveRun is set if a leaf may have run the failed attempt.
	MayHaveRun bool
	// Runs is the number of attempts that a leaf may have run or may still run, and Attempts
	// the number of all.
	Runs     int
	Attempts int
	// RouteMax is the maximum number of attempts of the route.
	RouteMax int
	// Left is the time until the query decides on its answer.
	Left time.Duration
}

// MayRetry reports whether the call may be sent to another leaf.
func (c FailedCall) MayRetry() bool {
	if c.MayHaveRun && !c.Idempotent {
		return false
	}
	return c.Left > 0 && c.Runs < c.RouteMax && c.Attempts <= c.RouteMax+extraNotRun
}

// Coverage is the number of parts of a gather and the fraction of them that an answer needs.
type Coverage struct {
	Total int
	Min   float64
}

// Enough reports whether n parts are enough for an answer.
func (c Coverage) Enough(n int) bool { return n > 0 && float64(n) >= c.Min*float64(c.Total) }

// Progress is what a gather does next.
type Progress uint8

// The values of Progress.
const (
	// Wait means that more parts are awaited.
	Wait Progress = iota
	// Answer means that the answer is sent.
	Answer
	// Fail means that there can be no answer any more.
	Fail
)

// Progress decides on a gather of which some parts are answered and some have failed. due is set if
// an answer with missing parts is due.
func (c Coverage) Progress(answered, failed int, due bool) Progress {
	switch {
	case c.Enough(answered) && (due || answered+failed == c.Total):
		return Answer
	case !c.Enough(c.Total - failed):
		return Fail
	}
	return Wait
}

// StragglerDelay returns the delay after which the unanswered calls of a gather are stragglers, if
// answered of its calls are answered after elapsed. It is zero until most of them are.
func StragglerDelay(elapsed time.Duration, answered, calls int) time.Duration {
	if calls < minStragglerCalls || float64(answered) < stragglerQuantile*float64(calls) {
		return 0
	}
	return time.Duration(stragglerFactor * float64(elapsed))
}

// Refusal is the reason why a gather is refused before any call.
type Refusal uint8

// The values of Refusal.
const (
	// NotRefused means that the gather is sent.
	NotRefused Refusal = iota
	// NoLeaves means that too many shards lack a leaf that may be called.
	NoLeaves
	// TooSlow means that at too many shards no leaf can answer in time.
	TooSlow
)

// Refuse decides whether a gather is refused. callable is the number of shards with a leaf that may
// be called, and saturated that of those whose leaves can't answer in time.
func (c Coverage) Refuse(callable, saturated int) Refusal {
	switch {
	case !c.Enough(callable):
		return NoLeaves
	case !c.Enough(callable - saturated):
		return TooSlow
	}
	return NotRefused
}
