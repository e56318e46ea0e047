package budget

import "time"

// windowSteps is the number of steps into which a Window is divided. Counts expire step by
// step.
const windowSteps = 20

// Window limits the extra attempts in each time span of a fixed length that ends with an
// extra attempt, to a ratio times the number of first attempts in the span, plus a slack.
// Unlike a Budget it grants the slack without saving it up first, so that a limit divided
// among many nodes stays useful when each part is small.
//
// The caller serializes the calls to one Window.
type Window struct {
	ratio float64
	slack float64
	step  time.Duration
	// currentStep is the number of the current step.
	currentStep int64
	first       [windowSteps + 1]int
	extra       [windowSteps + 1]int
}

// NewWindow returns a Window of the given length. ratio is the number of extra attempts
// allowed per first attempt.
func NewWindow(length time.Duration, ratio float64) *Window {
	return &Window{ratio: ratio, step: max(length/windowSteps, time.Millisecond)}
}

// SetSlack sets the slack, which is the number of extra attempts allowed without first
// attempts.
func (w *Window) SetSlack(n float64) { w.slack = n }

// FirstAttempts counts n first attempts.
func (w *Window) FirstAttempts(now time.Duration, n int) {
	w.advance(now)
	w.first[w.index(0)] += n
}

// Take reports whether one extra attempt may be sent at now, and counts it if so.
func (w *Window) Take(now time.Duration) bool {
	if w.Available(now) < 1 {
		return false
	}
	w.extra[w.index(0)]++
	return true
}

// Return uncounts an extra attempt that was taken at now but not sent.
func (w *Window) Return(now time.Duration) {
	w.advance(now)
	if i := w.index(0); w.extra[i] > 0 {
		w.extra[i]--
	}
}

// Available returns the number of extra attempts that may be sent at now. Of the oldest
// step, which lies only partly in the window, only the extra attempts are counted.
func (w *Window) Available(now time.Duration) float64 {
	w.advance(now)
	first, extra := 0, 0
	for age := range int64(windowSteps + 1) {
		i := w.index(age)
		extra += w.extra[i]
		if age < windowSteps {
			first += w.first[i]
		}
	}
	return w.ratio*float64(first) + w.slack - float64(extra)
}

// index returns the array index of the step that lies age steps back.
func (w *Window) index(age int64) int {
	n := int64(windowSteps + 1)
	return int(((w.currentStep-age)%n + n) % n)
}

// advance moves to the step of now and clears the counts of expired steps.
func (w *Window) advance(now time.Duration) {
	currentStep := int64(now / w.step)
	if currentStep-w.currentStep > windowSteps {
		w.first, w.extra = [windowSteps + 1]int{}, [windowSteps + 1]int{}
		w.currentStep = currentStep
	}
	for w.currentStep < currentStep {
		w.currentStep++
		w.first[w.index(0)], w.extra[w.index(0)] = 0, 0
	}
}
