// Package dispatch decides whether and where the calls of a request are sent: which leaf within the
// retry budget, when an unanswered call is hedged, which failed call is retried, when a gather is
// answered, and which requests are refused at once.
//
// The package is pure: the caller passes in the time, as a monotonic offset, and random numbers. The
// caller also serializes the calls to one Service and to one Route.
package dispatch

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/budget"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// retryBudgetUseRatio is the fraction of the shared retry budget that is used; the rest
	// is headroom for requests that are counted in another window.
	retryBudgetUseRatio = 0.9
	// startupBudgetUseRatio is the fraction of a node's slack that a new process uses during
	// its first RetryWindow, since the previous process of the host may have used the
	// slack shortly before.
	startupBudgetUseRatio = 0.4
	// retryReserve is the number of repeats in the retry budget that hedges leave for
	// retries.
	retryReserve = 0.5
)

// RetryBudget bounds the repeats of a service over all nodes: in each Window, at most Ratio repeats
// per request, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Service decides on the calls of one node to the leaves of one service.
type Service struct {
	Group  *leafpick.Group
	budget RetryBudget
	window *budget.Window
}

// NewService returns a Service without leaves and without slack in its retry budget.
func NewService(o leafpick.Options, b RetryBudget) *Service {
	return &Service{Group: leafpick.NewGroup(o), budget: b, window: budget.NewWindow(b.Window, b.Ratio*retryBudgetUseRatio)}
}

// SetShare sets the fraction of the retry budget's slack that a node may use which has run for age.
// A node that does not know its peers yet uses none.
func (s *Service) SetShare(share float64, peersKnown bool, age time.Duration) {
	slack := s.budget.Slack * retryBudgetUseRatio * share
	switch {
	case !peersKnown:
		slack = 0
	case age < s.budget.Window:
		slack *= startupBudgetUseRatio
	}
	s.window.SetSlack(slack)
}

// CountFirstAttempt adds the first arrival of a request to the retry budget.
func (s *Service) CountFirstAttempt(now time.Duration) { s.window.FirstAttempts(now, 1) }

// Begin chooses a leaf and counts a call to it. It returns nil if no leaf may be used. A repeat also
// needs retry budget, of which hedges leave a reserve for retries.
func (s *Service) Begin(now time.Duration, opts leafpick.CallOptions, repeat bool, fleet *leafpick.Fleet, random float64) *leafpick.Call {
	if opts.Hedge && s.window.Available(now) < 1+retryReserve || repeat && !s.window.Take(now) {
		return nil
	}
	c := s.Group.Begin(now, opts, fleet, random)
	if c == nil && repeat {
		s.window.Return(now)
	}
	return c
}
