package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarizes a histogram of latencies. They are in milliseconds and measured
// from the time a request was due.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Outcome counts the requests with one outcome.
type Outcome struct {
	// Kind is the kind of the error that a node returned, or one of the outcomes that
	// the client determines itself.
	Kind  string `json:"kind"`
	Run   string `json:"run"`
	Count int    `json:"count"`
}

// Outcomes that the client determines itself.
const (
	OutcomeOK = "ok"
	// OutcomeNoAnswer is a request that got no answer or one that cannot be decoded.
	OutcomeNoAnswer = "no_answer"
	// OutcomeNotSent is a request that was not sent because MaxInFlight was reached.
	OutcomeNotSent = "not_sent"
)

// CoverageSummary summarizes the coverage that search results report.
type CoverageSummary struct {
	Answers int `json:"answers"`
	// Unknown counts the answers whose total is not known; their coverage counts as 0.
	Unknown int     `json:"unknown"`
	Mean    float64 `json:"mean"`
	// Full is the share of answers that cover the whole key space.
	Full   float64 `json:"full"`
	Lowest float64 `json:"lowest"`
}

// StreamResult holds the measurements of one stream.
type StreamResult struct {
	Name     string          `json:"name"`
	Requests int             `json:"requests"`
	Latency  Latency         `json:"latency"`
	Coverage CoverageSummary `json:"coverage"`
}

// Second holds the measurements of the requests that were due in one second of the
// measured part.
type Second struct {
	Second   int     `json:"second"`
	Requests int     `json:"requests"`
	Answers  int     `json:"answers"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	// Coverage is the mean over the search results, or 0 if there are none.
	Coverage float64 `json:"coverage"`
}

// TargetLoad compares the number of requests that the leaves received with the number
// that full answers to all requests need.
type TargetLoad struct {
	Requests int `json:"requests"`
	Needed   int `json:"needed"`
	// Ratio is Requests divided by Needed.
	Ratio float64 `json:"ratio"`
}

// Result holds the measurements of a run. All fields but Sent cover the measured part
// only.
type Result struct {
	Seed     uint64        `json:"seed"`
	Arrivals Arrivals      `json:"arrivals"`
	Rate     float64       `json:"rate"`
	Warmup   time.Duration `json:"warmup_ns"`
	// Duration is the length of the measured part.
	Duration time.Duration `json:"duration_ns"`
	// Interrupted is set if the run was stopped early.
	Interrupted bool `json:"interrupted"`
	// Sent counts all requests that were sent, including those of the warm-up.
	Sent     int `json:"sent"`
	Requests int `json:"requests"`
	// Goodput is the number of results per second.
	Goodput float64 `json:"goodput"`
	// FullGoodput is the number of search results per second that cover the whole key
	// space.
	FullGoodput float64 `json:"full_goodput"`
	// Latency is that of the results, All that of the results and errors.
	Latency  Latency         `json:"latency"`
	All      Latency         `json:"latency_all"`
	Coverage CoverageSummary `json:"coverage"`
	Outcomes []Outcome       `json:"outcomes"`
	Streams  []StreamResult  `json:"streams"`
	Series   []Second        `json:"series"`
	Targets  *TargetLoad     `json:"targets,omitempty"`
	// SendDelayP99 and SendDelayMax summarize the delays between the time a request
	// was due and the time at which the generator sent it.
	SendDelayP99 float64 `json:"send_delay_p99_ms"`
	SendDelayMax float64 `json:"send_delay_max_ms"`
	// Wrong counts the answers that failed their check; WrongExamples holds some of
	// the errors.
	Wrong         int      `json:"wrong"`
	WrongExamples []string `json:"wrong_examples,omitempty"`
}

// Failed returns the share of requests without a result.
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
