package dispatch

import "time"

// StopSchedule are the times of a planned stop.
type StopSchedule struct {
	// RefuseAt is when the node starts to refuse all new requests.
	RefuseAt time.Time
	// AnswerBy is when the calls of requests in progress are cancelled and the requests answered.
	AnswerBy time.Time
	// GiveUpAt is when a request is answered although it is not known whether a leaf has run it.
	GiveUpAt time.Time
}

// Accepts reports whether a request that arrives at now, is due at deadline and is expected to take
// that long can be served before the node stops.
func (s *StopSchedule) Accepts(now, deadline time.Time, expected time.Duration) bool {
	if !now.Before(s.RefuseAt) {
		return false
	}
	return !deadline.After(s.AnswerBy) || !now.Add(expected).After(s.AnswerBy)
}
