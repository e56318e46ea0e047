package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingshelf/redwingshelf/internal/report"
	"github.com/redwingshelf/redwingshelf/internal/texttable"
)

// outcome is how a request ends at its caller without an answer.
type outcome uint8

const (
	outcomeRefused outcome = iota
	outcomeFailed
)

const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// Result is what callers and leaves see in one run. Requests of the warm-up are not counted.
type Result struct {
	Policy  string  `json:"policy"`
	Seed    int64   `json:"seed"`
	Classes []Class `json:"classes"`
	// Leaves describes the load on the leaves.
	Leaves LeafLoad `json:"leaves"`
	// Series holds one entry for each second.
	Series []Second `json:"series"`

	config   *Config
	byClass  map[*Requests]*Class
	newConns int
}

// Class holds the requests of one class by how they ended.
type Class struct {
	Name string `json:"name"`
	// Requests is the number of requests of callers, and Sent that of their attempts.
	Requests int `json:"requests"`
	Sent     int `json:"sent"`
	// InTime and Late are answers within and after the objective, of which Partial lack parts.
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Partial int `json:"partial"`
	// Refused and Failed are requests without an answer, and Refusals all refused attempts.
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Refusals int `json:"refusals"`
	// P50 and P99 are latencies of answers at the caller, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// WorstWindow is the smallest fraction in time of the requests that began in any two
	// seconds in a row.
	WorstWindow float64 `json:"worst_window"`

	latency     *hdrhistogram.Histogram
	began       []int
	begunInTime []int
}

// LeafLoad is the load on all leaves.
type LeafLoad struct {
	// First and Repeats are the first and the further arrivals of calls.
	First   int `json:"first"`
	Repeats int `json:"repeats"`
	// ColdPeak is the greatest number of arrivals at one cold leaf in one second.
	ColdPeak int `json:"cold_peak"`
	// Peak is the greatest number of arrivals at one leaf in one second.
	Peak int `json:"peak"`
	// NewConnections is the number of connections that nodes have opened for calls.
	NewConnections int `json:"new_connections"`
}

// Second holds the requests that began, and the arrivals at leaves, in one second.
type Second struct {
	Requests     int `json:"requests"`
	InTime       int `json:"in_time"`
	Late         int `json:"late"`
	Refused      int `json:"refused"`
	Failed       int `json:"failed"`
	LeafArrivals int `json:"leaf_arrivals"`
}

func newResult(c *Config, policy string, seed int64) *Result {
	n := int(c.Seconds) + 1
	r := &Result{Policy: policy, Seed: seed, config: c, byClass: map[*Requests]*Class{}, Series: make([]Second, n)}
	r.Classes = make([]Class, len(c.Requests))
	for i := range c.Requests {
		r.Classes[i] = Class{
			Name: c.Requests[i].Name, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			began: make([]int, n), begunInTime: make([]int, n),
		}
		r.byClass[&c.Requests[i]] = &r.Classes[i]
	}
	return r
}

func (r *Result) counted(begin time.Duration) bool { return begin >= seconds(r.config.WarmUpSeconds) }

// second returns the entry of the series for a time.
func (r *Result) second(at time.Duration) *Second {
	return &r.Series[min(int(at/time.Second), len(r.Series)-1)]
}

func (r *Result) countSent(q *request) {
	if !r.counted(q.begin) {
		return
	}
	c := r.byClass[q.class]
	c.Sent++
	if q.retries == 0 {
		c.Requests++
		c.began[int(q.begin/time.Second)]++
		r.second(q.begin).Requests++
	}
}

func (r *Result) countAnswer(q *request, took time.Duration, whole bool) {
	if !r.counted(q.begin) {
		return
	}
	c := r.byClass[q.class]
	_ = c.latency.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	if !whole {
		c.Partial++
	}
	if took <= milliseconds(q.class.ObjectiveMS) {
		c.InTime++
		c.begunInTime[int(q.begin/time.Second)]++
		r.second(q.begin).InTime++
		return
	}
	c.Late++
	r.second(q.begin).Late++
}

func (r *Result) countRefusal(q *request) {
	if r.counted(q.begin) {
		r.byClass[q.class].Refusals++
	}
}

func (r *Result) countEnd(q *request, o outcome) {
	if !r.counted(q.begin) {
		return
	}
	if o == outcomeRefused {
		r.byClass[q.class].Refused++
		r.second(q.begin).Refused++
		return
	}
	r.byClass[q.class].Failed++
	r.second(q.begin).Failed++
}

// countArrival counts the arrival of a call at a leaf, which has had that many in this second.
func (r *Result) countArrival(now time.Duration, a *attempt, inSecond int, cold bool) {
	if !r.counted(now) {
		return
	}
	r.second(now).LeafArrivals++
	if a.call.tried[0] == a.pick.ID {
		r.Leaves.First++
	} else {
		r.Leaves.Repeats++
	}
	r.Leaves.Peak = max(r.Leaves.Peak, inSecond)
	if cold {
		r.Leaves.ColdPeak = max(r.Leaves.ColdPeak, inSecond)
	}
}

// finish computes the figures that follow from the counters.
func (r *Result) finish() {
	r.Leaves.NewConnections = r.newConns
	for i := range r.Classes {
		c := &r.Classes[i]
		c.P50 = float64(c.latency.ValueAtQuantile(50)) / 1000
		c.P99 = float64(c.latency.ValueAtQuantile(99)) / 1000
		c.WorstWindow = worstWindow(c.began, c.begunInTime)
	}
}

func worstWindow(began, inTime []int) float64 {
	worst := 1.0
	for i := 1; i < len(began); i++ {
		if n := began[i-1] + began[i]; n > 0 {
			worst = min(worst, float64(inTime[i-1]+inTime[i])/float64(n))
		}
	}
	return worst
}

// Report compares the policies of an experiment.
type Report struct {
	Name    string    `json:"name"`
	Results []*Result `json:"results"`
}

// Run runs each policy with each seed. progress is called after each run.
func Run(c *Config, progress func(*Result)) *Report {
	r := &Report{Name: c.Name}
	for _, p := range c.Policies {
		for _, seed := range c.Seeds {
			result := Simulate(c, p, seed)
			r.Results = append(r.Results, result)
			progress(result)
		}
	}
	return r
}

// Plot writes a PNG image of the first seed of each policy over time.
func (r *Report) Plot(file string) error {
	panels := []report.Panel{
		{Title: "requests in time", Unit: "1/s"}, {Title: "late", Unit: "1/s"}, {Title: "refused", Unit: "1/s"},
		{Title: "failed", Unit: "1/s"}, {Title: "arrivals at leaves", Unit: "1/s"},
	}
	for i, result := range r.Results {
		if i > 0 && r.Results[i-1].Policy == result.Policy {
			continue
		}
		lines := make([]report.Line, len(panels))
		for _, s := range result.Series {
			for k, v := range []int{s.InTime, s.Late, s.Refused, s.Failed, s.LeafArrivals} {
				lines[k].Name = result.Policy
				lines[k].Values = append(lines[k].Values, float64(v))
			}
		}
		for k := range panels {
			panels[k].Lines = append(panels[k].Lines, lines[k])
		}
	}
	return report.PlotPanels(file, panels)
}

// spread is the mean, the least and the greatest of a measure over the seeds.
type spread struct{ sum, low, high, n float64 }

func (s *spread) add(x float64) {
	if s.n == 0 || x < s.low {
		s.low = x
	}
	if s.n == 0 || x > s.high {
		s.high = x
	}
	s.sum += x
	s.n++
}

func (s *spread) String() string {
	if s.n < 2 {
		return fmt.Sprintf("%.3f", s.sum)
	}
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.sum/s.n, s.low, s.high)
}

// measures are the columns of the table.
var measures = []struct {
	name  string
	value func(*Result, *Class) float64
}{
	{"in time", func(_ *Result, c *Class) float64 { return c.fraction(c.InTime) }},
	{"late", func(_ *Result, c *Class) float64 { return c.fraction(c.Late) }},
	{"partial", func(_ *Result, c *Class) float64 { return c.fraction(c.Partial) }},
	{"refused", func(_ *Result, c *Class) float64 { return c.fraction(c.Refused) }},
	{"failed", func(_ *Result, c *Class) float64 { return c.fraction(c.Failed) }},
	{"worst 2 s", func(_ *Result, c *Class) float64 { return c.WorstWindow }},
	{"p50 ms", func(_ *Result, c *Class) float64 { return c.P50 }},
	{"p99 ms", func(_ *Result, c *Class) float64 { return c.P99 }},
	{"repeats at leaves", func(r *Result, _ *Class) float64 { return float64(r.Leaves.Repeats) / float64(max(r.Leaves.First, 1)) }},
}

func (c *Class) fraction(n int) float64 { return float64(n) / float64(max(c.Requests, 1)) }

// WriteText writes a table with one row for each policy and class: means over the seeds and, in
// brackets, the least and the greatest.
func (r *Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintln(w, r.Name); err != nil {
		return err
	}
	table := texttable.New(w)
	header := "policy\tclass"
	for _, m := range measures {
		header += "\t" + m.name
	}
	table.Row("%s", header)
	for start := 0; start < len(r.Results); {
		end := start
		for end < len(r.Results) && r.Results[end].Policy == r.Results[start].Policy {
			end++
		}
		for i, class := range r.Results[start].Classes {
			row := r.Results[start].Policy + "\t" + class.Name
			for _, m := range measures {
				var s spread
				for _, result := range r.Results[start:end] {
					s.add(m.value(result, &result.Classes[i]))
				}
				row += "\t" + s.String()
			}
			table.Row("%s", row)
		}
		start = end
	}
	return table.Flush()
}
