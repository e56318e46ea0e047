package quarantine

import (
	"slices"
	"time"
)

const (
	// maxUnanswered bounds the unanswered contents that are recorded for one target.
	maxUnanswered = 64
	// suspectPeriod is how long after it was sent a content stays suspect, once its call
	// has ended without an answer. The end of a target may be detected some seconds late,
	// and a content may crash its target after its caller has stopped waiting.
	suspectPeriod = 10 * time.Second
)

// Unanswered records the contents that were sent to one target and that it has not
// answered. It is not safe for concurrent use.
type Unanswered struct {
	sent []*SentContent
}

// SentContent is a content that was sent to a target.
type SentContent struct {
	Fingerprint Fingerprint
	// Received is when the request was received, and SentAt when it was sent to the target.
	Received, SentAt time.Duration
	// CallEnded is when the call ended without an answer; it is zero while the call runs.
	CallEnded time.Duration
	// ConnLost is set if the call ended because its connection was lost.
	ConnLost bool
	// cleared is set once a target of the same service has answered the content.
	cleared bool
}

// Add records that a content is sent now, for a request that was received at the given
// time. If there are maxUnanswered records already, it drops the oldest.
func (u *Unanswered) Add(now, received time.Duration, f Fingerprint) *SentContent {
	u.sent = slices.DeleteFunc(u.sent, func(s *SentContent) bool { return s.CallEnded > 0 && !s.isSuspect(now) })
	if len(u.sent) >= maxUnanswered {
		u.sent = slices.Delete(u.sent, 0, 1)
	}
	s := &SentContent{Fingerprint: f, Received: received, SentAt: now}
	u.sent = append(u.sent, s)
	return s
}

// Remove removes the record of one call.
func (u *Unanswered) Remove(s *SentContent) {
	u.sent = slices.DeleteFunc(u.sent, func(other *SentContent) bool { return other == s })
}

// Clear clears a content of suspicion, after a target of the same service has
// answered it.
func (u *Unanswered) Clear(f Fingerprint) {
	for _, s := range u.sent {
		s.cleared = s.cleared || s.Fingerprint == f
	}
}

// Empty reports whether there is no suspect content, that is, none that may be the cause
// if the target ends now.
func (u *Unanswered) Empty(now time.Duration) bool {
	return !slices.ContainsFunc(u.sent, func(s *SentContent) bool { return s.isSuspect(now) })
}

// TakeSuspects returns the suspect contents of a target whose process has ended, and removes
// all records.
func (u *Unanswered) TakeSuspects(now time.Duration) []SentContent {
	var list []SentContent
	for _, s := range u.sent {
		if s.isSuspect(now) {
			list = append(list, *s)
		}
	}
	u.sent = nil
	return list
}

// isSuspect reports whether the content may be the cause if the target ends now.
func (s *SentContent) isSuspect(now time.Duration) bool {
	return !s.cleared && (s.CallEnded == 0 || now-s.SentAt <= suspectPeriod)
}
