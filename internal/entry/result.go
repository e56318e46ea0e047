package entry

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/coverage"
	"github.com/redwingshelf/redwingshelf/internal/kind"
	"github.com/redwingshelf/redwingshelf/internal/peer"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// leafHits is the body of a leaf's answer to a search.
type leafHits struct {
	Hits []struct {
		ID    string          `json:"id"`
		Score float64         `json:"score"`
		Body  json.RawMessage `json:"body"`
	} `json:"hits"`
}

func decodeHits(body []byte) ([]coverage.Hit, error) {
	var decoded leafHits
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, kind.Errorf(kind.BadAnswer, "decode the answer of a leaf: %w", err)
	}
	hits := make([]coverage.Hit, len(decoded.Hits))
	for i, h := range decoded.Hits {
		hits[i] = coverage.Hit{ID: h.ID, Score: h.Score, Body: h.Body}
	}
	return hits, nil
}

// resultKind returns the kind of a failed result.
func resultKind(result *wire.LeafResult) kind.Kind {
	k, known := kind.Parse(result.Kind)
	if !known {
		return kind.Internal
	}
	return k
}

// resultError returns the error that a failed result reports. The leaf has not run the call only if the
// result says so, whatever its kind usually means.
func resultError(result *wire.LeafResult) error {
	err := kind.Errorf(resultKind(result), "%s", result.Message)
	if notRun(err) && reportedRun(result.Run) != kind.RunNo {
		return kind.WithRun(err, kind.RunUnknown)
	}
	return err
}

// reportedRun returns what a peer reports about whether a request has run. A value that is missing or
// unknown promises nothing.
func reportedRun(run string) kind.Run {
	switch r := kind.Run(run); r {
	case kind.RunNo, kind.RunYes:
		return r
	}
	return kind.RunUnknown
}

// streamError returns the failure of a stream to a holder as an error with a kind.
func streamError(err error) error {
	var kindErr *kind.Error
	switch {
	case errors.As(err, &kindErr):
		return err
	case errors.Is(err, peer.ErrNotSent):
		return kind.Errorf(kind.Unavailable, "%w", err)
	default:
		return kind.Errorf(kind.ConnectionLost, "%w", err)
	}
}

// budgetMicros returns the time left for leaf calls, in microseconds.
func budgetMicros(r *Request) int64 {
	return (time.Until(r.Deadline) - answerMargin).Microseconds()
}

// attemptID returns the identifier of the n-th message of a request.
func attemptID(request string, n int) string {
	return request + "." + strconv.Itoa(n)
}
