package loadgen

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Hit is one document in a search result.
type Hit struct {
	ID   string          `json:"id"`
	Body json.RawMessage `json:"body"`
}

// Coverage is the part of the key space that an answer reports as covered.
type Coverage struct {
	Known   bool   `json:"known"`
	Covered uint32 `json:"covered"`
	Total   uint32 `json:"total"`
}

// Full reports whether the answer covers the whole key space.
func (c Coverage) Full() bool { return c.Known && c.Total > 0 && c.Covered == c.Total }

// Share returns the covered share of the key space, or 0 if the total is not known.
func (c Coverage) Share() float64 {
	if !c.Known || c.Total == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Total)
}

// Answer is the body of a node's answer. The fields that are set depend on whether
// it is a result or an error.
type Answer struct {
	Status    int      `json:"-"`
	RequestID string   `json:"request_id"`
	Snapshot  string   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Truncated bool     `json:"truncated"`
	Hits      []Hit    `json:"hits"`
	Kind      string   `json:"kind"`
	Message   string   `json:"message"`
	Run       string   `json:"run"`
	Ticket    string   `json:"ticket"`
}

// OK reports whether the answer is a result.
func (a *Answer) OK() bool { return a.Status == http.StatusOK }

// check returns an error if the answer is not a valid answer to the request with
// the given ID.
func (a *Answer) check(s *Stream, id string) error {
	switch {
	case a.RequestID != id && (a.OK() || a.RequestID != ""):
		return fmt.Errorf("request %q was answered with the ID %q", id, a.RequestID)
	case !a.OK() || s.Submit:
		return nil
	case a.Snapshot == "":
		return fmt.Errorf("answer to request %q has no snapshot", id)
	case a.Coverage.Known && a.Coverage.Covered > a.Coverage.Total:
		return fmt.Errorf("answer to request %q covers %d of %d", id, a.Coverage.Covered, a.Coverage.Total)
	case s.Check != nil:
		return s.Check(a)
	}
	return nil
}
