package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// queryAnswer is the output of query. Which fields are set depends on whether
// the answer is a search result, the result of a request or an error.
type queryAnswer struct {
	Status    int             `json:"status"`
	RequestID string          `json:"request_id"`
	Snapshot  string          `json:"snapshot,omitempty"`
	Coverage  *answerCoverage `json:"coverage,omitempty"`
	Truncated bool            `json:"truncated,omitempty"`
	Hits      []answerHit     `json:"hits,omitempty"`

	// Run says whether the request ran: "no", "unknown" or "yes".
	Run      string          `json:"run,omitempty"`
	Replayed bool            `json:"replayed,omitempty"`
	Leaf     string          `json:"leaf,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`

	Kind      string `json:"kind,omitempty"`
	Message   string `json:"message,omitempty"`
	MayResend bool   `json:"may_resend,omitempty"`
}

// answerCoverage is the share of the key space that an answer covers.
type answerCoverage struct {
	Known   bool           `json:"known"`
	Covered uint32         `json:"covered"`
	Total   uint32         `json:"total"`
	Missing []missingRange `json:"missing"`
}

// missingRange is a range of the key space that an answer does not cover.
type missingRange struct {
	Leaf   string `json:"leaf"`
	Shard  string `json:"shard"`
	From   uint32 `json:"from"`
	To     uint32 `json:"to"`
	Reason string `json:"reason"`
}

// answerHit is one hit of a search.
type answerHit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Body  json.RawMessage `json:"body,omitempty"`
}

func parseAnswer(status int, body []byte) (*queryAnswer, error) {
	answer := &queryAnswer{}
	if err := json.Unmarshal(body, answer); err != nil {
		return nil, fmt.Errorf("decode answer with status %d: %w", status, err)
	}
	answer.Status = status
	return answer, nil
}

// complete reports whether the answer is a success and, for a search, covers the
// whole key space.
func (a *queryAnswer) complete() bool {
	if a.Status != http.StatusOK {
		return false
	}
	return a.Coverage == nil || a.Coverage.complete()
}

func (c *answerCoverage) complete() bool {
	return c.Known && c.Covered == c.Total
}

func (a *queryAnswer) writeText(w io.Writer) error {
	out := lineWriter{w: w}
	out.printf("request %s", a.RequestID)
	switch {
	case a.Status != http.StatusOK:
		out.printf("error %s (status %d): %s", a.Kind, a.Status, a.Message)
		out.printf("run: %s, may be sent again: %t", a.Run, a.MayResend)
	case a.Coverage == nil:
		out.printf("run: %s on leaf %s, replayed: %t", a.Run, a.Leaf, a.Replayed)
		out.printf("%s", a.Result)
	default:
		a.writeHits(&out)
	}
	return out.err
}

func (a *queryAnswer) writeHits(out *lineWriter) {
	out.printf("snapshot %s", a.Snapshot)
	out.printf("coverage %s", a.Coverage)
	for _, m := range a.Coverage.Missing {
		out.printf("missing shard %s leaf %s keys %d-%d: %s", m.Shard, m.Leaf, m.From, m.To, m.Reason)
	}
	out.printf("%d hits", len(a.Hits))
	for _, hit := range a.Hits {
		out.printf("%10.4f  %s  %s", hit.Score, hit.ID, hit.Body)
	}
	if a.Truncated {
		out.printf("more hits were cut off")
	}
}

// String formats the coverage. It states explicitly that a total is unknown.
func (c *answerCoverage) String() string {
	if !c.Known || c.Total == 0 {
		return fmt.Sprintf("%d of an unknown total", c.Covered)
	}
	const percent = 100
	return fmt.Sprintf("%d of %d (%.2f%%)", c.Covered, c.Total, percent*float64(c.Covered)/float64(c.Total))
}
