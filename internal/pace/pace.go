// Package pace finds how many calls at a time a server bears that has just started or recovered, from
// how it answers.
//
// The number begins at one. It grows by one with each answer that comes about as fast as usual, so that
// it doubles with each round of calls, and shrinks when the server answers slowly, refuses or fails. Once
// it has reached what the server bears when it is warm, the server is treated like any other.
//
// The package is pure: it reads no clock. The caller serializes the calls of a Pace.
package pace

// The outcomes of a call that a Pace distinguishes.
const (
	// slowRatio is the latency of an answer, in multiples of the expected one, from which the server
	// is slow.
	slowRatio = 3
	// slowFactor and refusedFactor reduce the number of calls after a slow answer and after a refusal
	// or a failure.
	slowFactor    = 0.75
	refusedFactor = 0.5
)

// Pace is the pace of one server. The zero value sets no limit.
type Pace struct {
	// window is the number of calls at a time; zero means no limit.
	window float64
	// full is the window from which there is no limit.
	full float64
}

// Begin starts over for a server that bears full calls at a time when it is warm.
func (p *Pace) Begin(full int) {
	if full <= 1 {
		p.window = 0
		return
	}
	p.window, p.full = 1, float64(full)
}

// Limited reports whether the pace sets a limit.
func (p *Pace) Limited() bool { return p.window > 0 }

// Room reports whether one more call may begin beside inFlight others.
func (p *Pace) Room(inFlight int) bool { return !p.Limited() || float64(inFlight)+1 <= p.window }

// Answered records an answer whose latency was ratio times the expected one.
func (p *Pace) Answered(ratio float64) {
	switch {
	case !p.Limited():
	case ratio >= slowRatio:
		p.shrink(slowFactor)
	default:
		p.window++
		if p.window >= p.full {
			p.window = 0
		}
	}
}

// Refused records a call that the server refused or failed.
func (p *Pace) Refused() { p.shrink(refusedFactor) }

// Lost records a call that the server did not answer. The next call shows whether it is back.
func (p *Pace) Lost() {
	if p.Limited() {
		p.window = 1
	}
}

func (p *Pace) shrink(factor float64) {
	if p.Limited() {
		p.window = max(p.window*factor, 1)
	}
}
