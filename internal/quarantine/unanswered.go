package quarantine

import (
	"slices"
	"time"
)

const (
	// maxUnanswered bounds the contents that are remembered of one target.
	maxUnanswered = 64
	// suspectFor is how long a content may have been at a target that ends. The end can
	// be noticed some seconds late, and a content can crash its target some time after
	// nobody waits for the answer any more.
	suspectFor = 10 * time.Second
)

// Unanswered remembers the contents that one target was sent and has not answered. Its
// caller serializes the calls.
type Unanswered struct {
	sent []*SentContent
}

// SentContent is a content that was sent to a target.
type SentContent struct {
	Fingerprint Fingerprint
	// Received is when the request came, and At when it was sent to the target.
	Received, SentAt time.Duration
	// CallEnded is when the call was over without an answer; zero while it runs.
	CallEnded time.Duration
	// acquitted is set once another target of the service has answered the content.
	acquitted bool
}

// Add notes that a content is sent for a request that came at some time.
func (u *Unanswered) Add(now, came time.Duration, f Fingerprint) *SentContent {
	u.sent = slices.DeleteFunc(u.sent, func(s *SentContent) bool { return s.CallEnded > 0 && !s.suspect(now) })
	if len(u.sent) >= maxUnanswered {
		u.sent = slices.Delete(u.sent, 0, 1)
	}
	s := &SentContent{Fingerprint: f, Received: came, SentAt: now}
	u.sent = append(u.sent, s)
	return s
}

// Remove forgets one call.
func (u *Unanswered) Remove(s *SentContent) {
	u.sent = slices.DeleteFunc(u.sent, func(other *SentContent) bool { return other == s })
}

// Clear tells that another target of the service has answered a content.
func (u *Unanswered) Clear(f Fingerprint) {
	for _, s := range u.sent {
		s.acquitted = s.acquitted || s.Fingerprint == f
	}
}

// Empty reports whether the target has answered all that it was sent lately.
func (u *Unanswered) Empty(now time.Duration) bool {
	return !slices.ContainsFunc(u.sent, func(s *SentContent) bool { return s.suspect(now) })
}

// TakeSuspects takes out the contents that the target had to run when it ended.
func (u *Unanswered) TakeSuspects(now time.Duration) []SentContent {
	var list []SentContent
	for _, s := range u.sent {
		if s.suspect(now) {
			list = append(list, *s)
		}
	}
	u.sent = nil
	return list
}

func (s *SentContent) suspect(now time.Duration) bool {
	return !s.acquitted && (s.CallEnded == 0 || now-s.SentAt <= suspectFor)
}
