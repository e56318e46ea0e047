// Package coverage collects the leaves' answers to one query: it keeps to the
// pinned snapshot, merges hits, counts which share of the key space has been
// covered, and decides when the caller gets the answer.
//
// The package is pure: monotonic time is passed in, and a Collector is used
// under its caller's lock.
package coverage

import "math"

// Hit is one document of an answer.
type Hit struct {
	ID    string
	Score float64
	Body  []byte
}

// before reports whether h ranks above other: by score, then by document id.
func (h *Hit) before(other *Hit) bool {
	if h.Score != other.Score {
		return h.Score > other.Score
	}
	return h.ID < other.ID
}

// normalized returns h with a score that can be ordered.
func (h Hit) normalized() Hit {
	if math.IsNaN(h.Score) {
		h.Score = math.Inf(-1)
	}
	return h
}
