// Package coverage collects the leaves' answers to one query. It accepts only
// answers of the pinned snapshot, merges their hits, tracks the covered fraction
// of the key space, and decides when the caller receives the answer.
//
// The package does no I/O and reads no clock: monotonic time is passed in, and
// the caller must guard a Collector with a lock.
package coverage

import "math"

// Hit is one document of an answer.
type Hit struct {
	ID    string
	Score float64
	Body  []byte
}

// before reports whether h ranks above other: by higher score, then by document
// ID.
func (h *Hit) before(other *Hit) bool {
	if h.Score != other.Score {
		return h.Score > other.Score
	}
	return h.ID < other.ID
}

// normalized returns h with NaN replaced by a score that can be ordered.
func (h Hit) normalized() Hit {
	if math.IsNaN(h.Score) {
		h.Score = math.Inf(-1)
	}
	return h
}
