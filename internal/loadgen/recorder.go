package loadgen

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the greatest value that histograms record; greater ones
	// are clamped to it.
	maxLatencyMicros        = 120_000_000
	runSignificantDigits    = 3
	secondSignificantDigits = 2
	maxWrongExamples        = 5
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, digits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// coverageSum accumulates the coverage of search results.
type coverageSum struct {
	answers, full, unknown int
	sum, lowest            float64
}

func (c *coverageSum) add(answer Coverage) {
	share := answer.Share()
	if c.answers == 0 || share < c.lowest {
		c.lowest = share
	}
	c.answers++
	c.sum += share
	if answer.Full() {
		c.full++
	}
	if !answer.Known {
		c.unknown++
	}
}

func (c *coverageSum) mean() float64 {
	if c.answers == 0 {
		return 0
	}
	return c.sum / float64(c.answers)
}

func (c *coverageSum) summary() CoverageSummary {
	s := CoverageSummary{Answers: c.answers, Unknown: c.unknown, Mean: c.mean(), Lowest: c.lowest}
	if c.answers > 0 {
		s.Full = float64(c.full) / float64(c.answers)
	}
	return s
}

// stats accumulates the measurements of a run, a stream or a second.
type stats struct {
	requests int
	latency  *hdrhistogram.Histogram
	coverage coverageSum
}

func newStats(digits int) *stats { return &stats{latency: newHistogram(digits)} }

func (s *stats) add(e *exchange) {
	s.requests++
	if !e.ok() {
		return
	}
	recordDuration(s.latency, e.latency)
	if !e.stream.Submit {
		s.coverage.add(e.answer.Coverage)
	}
}

// exchange is one request and its outcome.
type exchange struct {
	stream      *Stream
	streamIndex int
	answer      *Answer
	outcome     Outcome
	checkErr    error
	// due is when the request was due, relative to the start of the measured part.
	due       time.Duration
	sendDelay time.Duration
	latency   time.Duration
}

func (e *exchange) ok() bool { return e.outcome.Kind == OutcomeOK }

// recorder accumulates the measurements of the exchanges in the measured part. It is
// safe for concurrent use.
type recorder struct {
	// mu guards the fields below.
	mu            sync.Mutex
	total         *stats
	allLatency    *hdrhistogram.Histogram
	sendDelay     *hdrhistogram.Histogram
	streams       []*stats
	seconds       []*stats
	outcomes      map[Outcome]int
	neededCalls   int
	wrongExamples []string
	wrongCount    int
}

func newRecorder(streams int) *recorder {
	r := &recorder{
		total:      newStats(runSignificantDigits),
		allLatency: newHistogram(runSignificantDigits),
		sendDelay:  newHistogram(runSignificantDigits),
		outcomes:   map[Outcome]int{},
	}
	for range streams {
		r.streams = append(r.streams, newStats(runSignificantDigits))
	}
	return r
}

func (r *recorder) add(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[e.outcome]++
	r.total.add(e)
	r.streams[e.streamIndex].add(e)
	r.secondStats(e.due).add(e)
	if e.outcome.Kind == OutcomeNotSent {
		return
	}
	recordDuration(r.allLatency, e.latency)
	recordDuration(r.sendDelay, e.sendDelay)
	r.neededCalls += max(e.stream.Shards, 1)
	if e.checkErr != nil {
		r.recordWrong(e.checkErr)
	}
}

// secondStats returns the stats of the second in which a request was due. The caller
// must hold mu.
func (r *recorder) secondStats(due time.Duration) *stats {
	i := int(due / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, newStats(secondSignificantDigits))
	}
	return r.seconds[i]
}

// recordWrong counts an answer that failed its check and keeps the first
// maxWrongExamples errors. The caller must hold mu.
func (r *recorder) recordWrong(err error) {
	r.wrongCount++
	if len(r.wrongExamples) < maxWrongExamples {
		r.wrongExamples = append(r.wrongExamples, err.Error())
	}
}

func (r *recorder) p99() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.total.latency.ValueAtQuantile(99)) * time.Microsecond
}

// fill copies the measurements into a result.
func (r *recorder) fill(result *Result, streams []Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Requests = r.total.requests
	result.Latency = summarize(r.total.latency)
	result.All = summarize(r.allLatency)
	result.Coverage = r.total.coverage.summary()
	result.Goodput = float64(result.Latency.Count) / result.Duration.Seconds()
	result.FullGoodput = float64(r.total.coverage.full) / result.Duration.Seconds()
	result.SendDelayP99 = milliseconds(time.Duration(r.sendDelay.ValueAtQuantile(99)) * time.Microsecond)
	result.SendDelayMax = milliseconds(time.Duration(r.sendDelay.Max()) * time.Microsecond)
	result.Wrong = r.wrongCount
	result.WrongExamples = r.wrongExamples
	result.Outcomes = r.sortedOutcomes()
	for i, s := range r.streams {
		result.Streams = append(result.Streams, StreamResult{
			Name:     streams[i].Name(),
			Requests: s.requests,
			Latency:  summarize(s.latency),
			Coverage: s.coverage.summary(),
		})
	}
	for i, s := range r.seconds {
		latency := summarize(s.latency)
		result.Series = append(result.Series, Second{
			Second:   i,
			Requests: s.requests,
			Answers:  int(latency.Count),
			P50:      latency.P50,
			P99:      latency.P99,
			Coverage: s.coverage.mean(),
		})
	}
}

// sortedOutcomes returns the outcomes, the most frequent first. The caller must hold
// mu.
func (r *recorder) sortedOutcomes() []Outcome {
	var all []Outcome
	for o, n := range r.outcomes {
		o.Count = n
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Outcome) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Kind+a.Run, b.Kind+b.Run)
	})
	return all
}
