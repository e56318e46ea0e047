package demo

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/redwingshelf/redwingshelf/internal/loadgen"
	"github.com/redwingshelf/redwingshelf/internal/periodic"
	"github.com/redwingshelf/redwingshelf/internal/report"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

// Experiment is a load run on its own site, with events during the run.
type Experiment struct {
	Name string
	Site Options
	// Load describes the run. Its addresses are set to those of the site.
	Load   loadgen.Options
	Events []Event
}

// Run starts the site, sends the load, applies the events and stops the site.
func (e Experiment) Run(ctx context.Context) (run report.Run, err error) {
	site, err := Start(ctx, e.Site)
	if err != nil {
		return report.Run{}, err
	}
	defer func() { err = errors.Join(err, site.Close()) }()
	events := newTimeline(ctx, site, e.Events)
	load := e.Load
	load.Addresses = site.Addresses()
	load.Mix = site.withChecks(load.Mix)
	load.TargetRequests = func() int { return site.Summary().Requests }
	load.Started = events.start
	result, err := loadgen.Run(ctx, load)
	if err := errors.Join(err, events.wait()); err != nil {
		return report.Run{}, err
	}
	summary := site.Summary()
	run = report.Run{Name: e.Name, Result: result, Leaves: &summary, LateRequests: site.LateRequests()}
	for _, event := range e.Events {
		run.Events = append(run.Events, report.Event{At: event.At, Text: event.Action + " " + event.Argument})
	}
	return run, nil
}

// withChecks returns a copy of a mix in which the answers to searches are checked
// against the site's data.
func (s *Site) withChecks(mix []loadgen.Stream) []loadgen.Stream {
	c := newChecker(s.options.Entries)
	checked := slices.Clone(mix)
	for i := range checked {
		if !checked[i].Submit {
			checked[i].Check = c.check
		}
	}
	return checked
}

// Summary returns the summed counters of the leaves so far.
func (s *Site) Summary() standin.Summary {
	var leaves []*standin.Leaf
	for _, l := range s.leaves {
		leaves = append(leaves, l.Leaf)
	}
	return standin.Summarize(leaves)
}

// timeline applies events at their times.
type timeline struct {
	ctx    context.Context
	site   *Site
	events []Event
	wg     sync.WaitGroup

	// mu guards err.
	mu  sync.Mutex
	err error
}

func newTimeline(ctx context.Context, s *Site, events []Event) *timeline {
	return &timeline{ctx: ctx, site: s, events: events}
}

// start schedules the events, with their times counted from now.
func (t *timeline) start() {
	for _, e := range t.events {
		t.wg.Go(func() { t.apply(e) })
	}
}

func (t *timeline) apply(e Event) {
	if periodic.Sleep(t.ctx, e.At) != nil {
		return
	}
	err := t.site.Apply(t.ctx, e)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err = errors.Join(t.err, err)
}

// wait waits until every scheduled event has been applied, or skipped because ctx is
// done, and returns their errors.
func (t *timeline) wait() error {
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}
