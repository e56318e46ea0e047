// Package report prints and plots the results of load runs side by side.
package report

import (
	"fmt"
	"io"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/standin"
	"github.com/redwingshelf/redwingshelf/internal/texttable"
)

const percent = 100

// Run is one load run with a name that distinguishes it from others.
type Run struct {
	Name   string          `json:"name"`
	Result *loadgen.Result `json:"result"`
	// Leaves is the sum of the counters of the stand-in leaves over the whole run,
	// including the warm-up. It is nil for a run against other targets.
	Leaves *standin.Summary `json:"leaves,omitempty"`
	// LateRequests counts the requests that data centres received after they had been
	// taken out for more than 3 s.
	LateRequests int `json:"late_requests"`
	// Events lists the changes made during the run.
	Events []Event `json:"events,omitempty"`
}

// Event is one change made during a run.
type Event struct {
	// At is the time since the measured part began.
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// Report holds the results of one or more runs with equal arrivals. The later runs are
// compared with the first.
type Report struct {
	// Command is the command line that produced the report.
	Command string `json:"command,omitempty"`
	Runs    []Run  `json:"runs"`
	// Ratios compares each later run with the first.
	Ratios []Ratio `json:"ratios,omitempty"`
}

// Ratio holds the measures of a run divided by those of the first run, or 0 where the
// latter are 0.
type Ratio struct {
	Name      string  `json:"name"`
	P50       float64 `json:"p50"`
	P99       float64 `json:"p99"`
	P999      float64 `json:"p99_9"`
	Goodput   float64 `json:"goodput"`
	Full      float64 `json:"full_goodput"`
	Coverage  float64 `json:"coverage"`
	ExtraLoad float64 `json:"leaf_requests"`
}

// New returns a report on runs.
func New(command string, runs []Run) *Report {
	r := &Report{Command: command, Runs: runs}
	for i := 1; i < len(runs); i++ {
		r.Ratios = append(r.Ratios, compare(runs[i], runs[0].Result))
	}
	return r
}

func compare(run Run, first *loadgen.Result) Ratio {
	other := run.Result
	ratio := Ratio{
		Name:     run.Name,
		P50:      divide(other.Latency.P50, first.Latency.P50),
		P99:      divide(other.Latency.P99, first.Latency.P99),
		P999:     divide(other.Latency.P999, first.Latency.P999),
		Goodput:  divide(other.Goodput, first.Goodput),
		Full:     divide(other.FullGoodput, first.FullGoodput),
		Coverage: divide(other.Coverage.Mean, first.Coverage.Mean),
	}
	if other.Targets != nil && first.Targets != nil {
		ratio.ExtraLoad = divide(other.Targets.Ratio, first.Targets.Ratio)
	}
	return ratio
}

// divide returns a/b, or 0 if b is 0.
func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Wrong returns the number of wrong answers in all runs.
func (r *Report) Wrong() int {
	wrong := 0
	for _, run := range r.Runs {
		wrong += run.Result.Wrong
	}
	return wrong
}

// WriteText writes the report as text for people to read.
func (r *Report) WriteText(w io.Writer) error {
	t := texttable.New(w)
	for i, run := range r.Runs {
		if i > 0 {
			t.Row("")
		}
		writeRun(t, run)
	}
	if len(r.Ratios) > 0 {
		r.writeRatios(t)
	}
	return t.Flush()
}

func (r *Report) writeRatios(t *texttable.Table) {
	t.Row("\nratios to %s\tp50\tp99\tp99.9\tgoodput\tfull answers\tcoverage\tleaf requests", r.Runs[0].Name)
	for _, x := range r.Ratios {
		t.Row("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f", x.Name, x.P50, x.P99, x.P999, x.Goodput, x.Full, x.Coverage, x.ExtraLoad)
	}
	t.Row("")
}

func writeRun(t *texttable.Table, run Run) {
	r := run.Result
	t.Row("run %s: %d requests in %v at %g/s (%s), seed %d, warm-up %v",
		run.Name, r.Requests, r.Duration.Round(time.Millisecond), r.Rate, r.Arrivals, r.Seed, r.Warmup)
	for _, e := range run.Events {
		t.Row("event at %v: %s", e.At, e.Text)
	}
	if r.Interrupted {
		t.Row("the run was interrupted")
	}
	t.Row("\nlatency, ms\trequests\tanswers\tp50\tp90\tp99\tp99.9\tmax\tcoverage\tfull\tlowest")
	writeStream(t, loadgen.StreamResult{Name: "all", Requests: r.Requests, Latency: r.Latency, Coverage: r.Coverage})
	for _, s := range r.Streams {
		writeStream(t, s)
	}
	writeOutcomes(t, r)
	writeTargets(t, run)
}

func writeStream(t *texttable.Table, s loadgen.StreamResult) {
	l := s.Latency
	t.Row("%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\t%s", s.Name, s.Requests, l.Count,
		l.P50, l.P90, l.P99, l.P999, l.Max, share(s.Coverage, s.Coverage.Mean), share(s.Coverage, s.Coverage.Full), share(s.Coverage, s.Coverage.Lowest))
}

// share formats a share of search results as a percentage, or "-" if there are none.
func share(c loadgen.CoverageSummary, value float64) string {
	if c.Answers == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", percent*value)
}

func writeOutcomes(t *texttable.Table, r *loadgen.Result) {
	t.Row("\noutcome\trun\trequests\tshare")
	for _, o := range r.Outcomes {
		t.Row("%s\t%s\t%d\t%.2f%%", o.Kind, o.Run, o.Count, percent*divide(float64(o.Count), float64(r.Requests)))
	}
	t.Row("\ngoodput %.1f/s, full answers %.1f/s, generator late by p99 %.2f ms, max %.2f ms", r.Goodput, r.FullGoodput, r.SendDelayP99, r.SendDelayMax)
	t.Row("wrong answers: %d", r.Wrong)
	for _, example := range r.WrongExamples {
		t.Row("  %s", example)
	}
}

func writeTargets(t *texttable.Table, run Run) {
	if load := run.Result.Targets; load != nil {
		t.Row("leaf requests %d for %d needed: %.3f", load.Requests, load.Needed, load.Ratio)
	}
	if s := run.Leaves; s != nil {
		t.Row("%d leaves: %d ran, %d refused, %d canceled, %d crashes, %d falls", s.Leaves, s.Ran, s.Refused, s.Canceled, s.Crashes, s.Falls)
		t.Row("leaves over a bound: slots %d, cold %d, connections %d (most connections %d); leaves with all slots in use at once: %d",
			s.OverSlots, s.OverColdSlots, s.OverConnections, s.MaxConnections, s.AllSlots)
		t.Row("submits run %d, run again %d", s.SubmitsRun, s.SubmitsRunAgain)
		t.Row("requests to data centres taken out for more than 3 s: %d", run.LateRequests)
	}
}
