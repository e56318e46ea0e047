package loadgen

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the greatest latency that histograms tell apart.
	maxLatencyMicros = 120_000_000
	runDigits        = 3
	secondDigits     = 2
	maxWrongExamples = 5
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// coverageSum collects the coverage of answers.
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

// part collects one stream or one second.
type part struct {
	requests int
	latency  *hdrhistogram.Histogram
	coverage coverageSum
}

func newPart(digits int) *part { return &part{latency: newHistogram(digits)} }

func (p *part) add(e *exchange) {
	p.requests++
	if !e.ok() {
		return
	}
	record(p.latency, e.latency)
	if !e.stream.Submit {
		p.coverage.add(e.answer.Coverage)
	}
}

// exchange is one request with its end.
type exchange struct {
	stream  *Stream
	index   int
	answer  *Answer
	outcome Outcome
	wrong   error
	// due is the time since the measured part began.
	due       time.Duration
	sendDelay time.Duration
	latency   time.Duration
}

func (e *exchange) ok() bool { return e.outcome.Kind == OutcomeOK }

// recorder collects the exchanges of the measured part. It is safe for
// concurrent use.
type recorder struct {
	// mu guards the fields below.
	mu        sync.Mutex
	whole     *part
	all       *hdrhistogram.Histogram
	sendDelay *hdrhistogram.Histogram
	streams   []*part
	seconds   []*part
	outcomes  map[Outcome]int
	needed    int
	wrong     []string
	wrongs    int
}

func newRecorder(streams int) *recorder {
	r := &recorder{
		whole:     newPart(runDigits),
		all:       newHistogram(runDigits),
		sendDelay: newHistogram(runDigits),
		outcomes:  map[Outcome]int{},
	}
	for range streams {
		r.streams = append(r.streams, newPart(runDigits))
	}
	return r
}

func (r *recorder) add(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[e.outcome]++
	r.whole.add(e)
	r.streams[e.index].add(e)
	r.second(e.due).add(e)
	if e.outcome.Kind == OutcomeNotSent {
		return
	}
	record(r.all, e.latency)
	record(r.sendDelay, e.sendDelay)
	r.needed += max(e.stream.Shards, 1)
	if e.wrong != nil {
		r.addWrong(e.wrong)
	}
}

// second needs mu.
func (r *recorder) second(due time.Duration) *part {
	i := int(due / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, newPart(secondDigits))
	}
	return r.seconds[i]
}

// addWrong needs mu.
func (r *recorder) addWrong(err error) {
	r.wrongs++
	if len(r.wrong) < maxWrongExamples {
		r.wrong = append(r.wrong, err.Error())
	}
}

func (r *recorder) p99() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.whole.latency.ValueAtQuantile(99)) * time.Microsecond
}

// fill writes what was recorded into a result.
func (r *recorder) fill(result *Result, streams []Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Requests = r.whole.requests
	result.Latency = summarize(r.whole.latency)
	result.All = summarize(r.all)
	result.Coverage = r.whole.coverage.summary()
	result.Goodput = float64(result.Latency.Count) / result.Duration.Seconds()
	result.FullGoodput = float64(r.whole.coverage.full) / result.Duration.Seconds()
	result.SendDelayP99 = milliseconds(time.Duration(r.sendDelay.ValueAtQuantile(99)) * time.Microsecond)
	result.SendDelayMax = milliseconds(time.Duration(r.sendDelay.Max()) * time.Microsecond)
	result.Wrong = r.wrongs
	result.WrongExamples = r.wrong
	result.Outcomes = r.sortedOutcomes()
	for i, p := range r.streams {
		result.Streams = append(result.Streams, StreamResult{
			Name:     streams[i].Name(),
			Requests: p.requests,
			Latency:  summarize(p.latency),
			Coverage: p.coverage.summary(),
		})
	}
	for i, p := range r.seconds {
		latency := summarize(p.latency)
		result.Series = append(result.Series, Second{
			Second:   i,
			Requests: p.requests,
			Answers:  int(latency.Count),
			P50:      latency.P50,
			P99:      latency.P99,
			Coverage: p.coverage.mean(),
		})
	}
}

// sortedOutcomes needs mu.
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
