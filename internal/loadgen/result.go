package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes a histogram, in milliseconds from the time a request was
// due.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Outcome counts the requests that ended in one way.
type Outcome struct {
	// Kind is "ok", the kind of the error that a node answered, or one of the
	// outcomes that the client saw itself.
	Kind  string `json:"kind"`
	Run   string `json:"run"`
	Count int    `json:"count"`
}

// Outcomes that the client sees itself.
const (
	OutcomeOK = "ok"
	// OutcomeNoAnswer is a request without an answer that can be read.
	OutcomeNoAnswer = "no_answer"
	// OutcomeNotSent is a request above MaxInFlight.
	OutcomeNotSent = "not_sent"
)

// CoverageSummary summarizes the coverage that answers state.
type CoverageSummary struct {
	Answers int `json:"answers"`
	// Unknown counts the answers without a known total; they count as 0.
	Unknown int     `json:"unknown"`
	Mean    float64 `json:"mean"`
	// Full is the share of answers that cover everything.
	Full   float64 `json:"full"`
	Lowest float64 `json:"lowest"`
}

// StreamResult is what was measured of one stream.
type StreamResult struct {
	Name     string          `json:"name"`
	Requests int             `json:"requests"`
	Latency  Latency         `json:"latency"`
	Coverage CoverageSummary `json:"coverage"`
}

// Second is one second of the measured part, by the time requests were due.
type Second struct {
	Second   int     `json:"second"`
	Requests int     `json:"requests"`
	Answers  int     `json:"answers"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	// Coverage is the mean over the answers to searches; 0 without any.
	Coverage float64 `json:"coverage"`
}

// TargetLoad compares the requests that the leaves counted with those that the
// searches needed.
type TargetLoad struct {
	Requests int `json:"requests"`
	Needed   int `json:"needed"`
	// Ratio is Requests divided by Needed.
	Ratio float64 `json:"ratio"`
}

// Result is what a run measured. Everything but Sent counts the measured part
// only.
type Result struct {
	Seed     uint64        `json:"seed"`
	Arrivals Arrivals      `json:"arrivals"`
	Rate     float64       `json:"rate"`
	Warmup   time.Duration `json:"warmup_ns"`
	// Duration is the length of the measured part.
	Duration time.Duration `json:"duration_ns"`
	// Interrupted is set if the run was ended early.
	Interrupted bool `json:"interrupted"`
	// Sent counts all requests, those of the warm-up included.
	Sent     int `json:"sent"`
	Requests int `json:"requests"`
	// Goodput is the number of results a second.
	Goodput float64 `json:"goodput"`
	// FullGoodput is the number of search results a second that cover everything.
	FullGoodput float64 `json:"full_goodput"`
	// Latency is that of results, All that of results and errors.
	Latency  Latency         `json:"latency"`
	All      Latency         `json:"latency_all"`
	Coverage CoverageSummary `json:"coverage"`
	Outcomes []Outcome       `json:"outcomes"`
	Streams  []StreamResult  `json:"streams"`
	Series   []Second        `json:"series"`
	Targets  *TargetLoad     `json:"targets,omitempty"`
	// SendDelayP99 and SendDelayMax are how late the generator itself was.
	SendDelayP99 float64 `json:"send_delay_p99_ms"`
	SendDelayMax float64 `json:"send_delay_max_ms"`
	// Wrong counts the answers that failed the check; WrongExamples shows some.
	Wrong         int      `json:"wrong"`
	WrongExamples []string `json:"wrong_examples,omitempty"`
}

// Failed returns the share of requests that got no result.
func (r *Result) Failed() float64 {
	if r.Requests == 0 {
		return 0
	}
	return 1 - float64(r.Latency.Count)/float64(r.Requests)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func summarize(h *hdrhistogram.Histogram) Latency {
	const microsPerMilli = 1000
	at := func(percentile float64) float64 {
		return float64(h.ValueAtQuantile(percentile)) / microsPerMilli
	}
	return Latency{
		Count: h.TotalCount(),
		Mean:  h.Mean() / microsPerMilli,
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / microsPerMilli,
	}
}
