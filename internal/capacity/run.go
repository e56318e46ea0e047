package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/periodic"
)

// settleTime is the delay between the time at which all nodes see each other as alive
// and the first measurement.
const settleTime = 10 * time.Second

// Run measures all sizes. If it fails, the report holds the points measured so far.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	report := &Report{
		Duration:        o.Duration.Seconds(),
		ChangeInterval:  o.ChangeInterval.Seconds(),
		RestartInterval: o.RestartInterval.Seconds(),
	}
	for _, leaves := range o.Leaves {
		for _, n := range o.Nodes {
			point, err := measure(ctx, &o, n, leaves)
			if point != nil {
				report.Points = append(report.Points, *point)
			}
			if err != nil {
				return report, fmt.Errorf("%d nodes, %d leaves: %w", n, leaves, err)
			}
		}
	}
	report.fitAll()
	return report, report.place(&o)
}

// place computes the placement for each number of nodes and for targetNodes, with the
// greatest number of leaves.
func (r *Report) place(o *Options) error {
	leaves := slices.Max(o.Leaves)
	for _, n := range append(slices.Clone(o.Nodes), targetNodes) {
		p, err := Place(n, leaves)
		if err != nil {
			return fmt.Errorf("place %d leaves on %d nodes: %w", leaves, n, err)
		}
		r.Placements = append(r.Placements, *p)
	}
	return nil
}

func measure(ctx context.Context, o *Options, n, leaves int) (point *Point, err error) {
	f, err := newFleet(o, n, leaves)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	point = &Point{Size: f.size}
	if point.Start, err = f.coldStart(ctx); err != nil {
		return point, err
	}
	if err := f.settle(ctx); err != nil {
		return point, err
	}
	for _, mode := range o.Modes {
		o.progress(fmt.Sprintf("%d nodes, %d leaves: %s", n, f.size.Leaves, mode))
		window, err := f.window(ctx, mode)
		if err != nil {
			return point, err
		}
		point.Windows = append(point.Windows, *window)
	}
	point.Propagation, err = f.propagation(ctx)
	return point, err
}

// coldStart starts all nodes at once, waits until they are ready and returns the
// measurements.
func (f *fleet) coldStart(ctx context.Context) (Start, error) {
	f.options.progress(fmt.Sprintf("%d nodes, %d leaves: start", f.size.Nodes, f.size.Leaves))
	begin := time.Now()
	if err := f.startAll(); err != nil {
		return Start{}, err
	}
	started := time.Since(begin)
	end, err := f.await(ctx, f.nodes, "ready", isReady)
	if err != nil {
		return Start{}, err
	}
	start := Start{
		Started: started.Seconds(),
		Ready:   end.Sub(begin).Seconds(),
		Reads:   f.platform.Reads(),
	}
	var cpu []float64
	for _, p := range f.nodes {
		s, err := takeSample(p.command.Process.Pid)
		if err != nil {
			return start, err
		}
		cpu = append(cpu, s.CPU)
	}
	start.CPU = mean(cpu)
	return start, nil
}

// settle waits until all nodes see each other as alive, and then for settleTime, so
// that the resulting messages have ended.
func (f *fleet) settle(ctx context.Context) error {
	others := len(f.nodes) - 1
	_, err := f.await(ctx, f.nodes, "aware of all others", func(p *process) bool {
		s, err := p.status()
		return err == nil && s.Members["alive"] == others
	})
	if err != nil {
		return err
	}
	return periodic.Sleep(ctx, settleTime)
}

// propagation publishes documents and measures the time until each is in force
// on all nodes.
func (f *fleet) propagation(ctx context.Context) (Propagation, error) {
	var propagation Propagation
	for range f.options.PropagationRounds {
		begin := time.Now()
		if err := f.changeDocument(); err != nil {
			return propagation, err
		}
		end, err := f.await(ctx, f.nodes, "at the new document", inForce(f.doc.Revision))
		if err != nil {
			return propagation, err
		}
		propagation.Seconds = append(propagation.Seconds, end.Sub(begin).Seconds())
	}
	if len(propagation.Seconds) > 0 {
		propagation.Max = slices.Max(propagation.Seconds)
	}
	return propagation, nil
}

// reading holds the measurements of one node at one time.
type reading struct {
	pid     int
	sample  sample
	metrics metrics
}

func (f *fleet) readNodes() ([]reading, error) {
	readings := make([]reading, len(f.nodes))
	for i, p := range f.nodes {
		pid := p.command.Process.Pid
		m, err := p.metrics()
		if err != nil && !p.restarted {
			return nil, err
		}
		readings[i] = reading{pid: pid, metrics: m}
	}
	return readings, f.readSamples(readings)
}

func (f *fleet) readSamples(readings []reading) error {
	for i, p := range f.nodes {
		s, err := takeSample(readings[i].pid)
		if err != nil && !p.restarted {
			return err
		}
		readings[i].sample = s
	}
	return nil
}

// window measures one mode. It requests the nodes' metrics before and after the
// measured time, so that these requests don't count.
func (f *fleet) window(ctx context.Context, mode Mode) (*Window, error) {
	for _, p := range f.nodes {
		p.restarted = false
	}
	before, err := f.readNodes()
	if err != nil {
		return nil, err
	}
	reads := f.platform.Reads()
	begin := time.Now()
	events, err := f.runEvents(ctx, mode)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(begin).Seconds()
	reads = f.platform.Reads() - reads
	after := make([]reading, len(f.nodes))
	for i := range after {
		after[i].pid = before[i].pid
	}
	if err := f.readSamples(after); err != nil {
		return nil, err
	}
	for i, p := range f.nodes {
		if after[i].metrics, err = p.metrics(); err != nil && !p.restarted {
			return nil, err
		}
	}
	window := &Window{Mode: mode, Seconds: seconds, Events: events, ReadsPerSecond: float64(reads) / seconds}
	window.computeCosts(f, before, after)
	if mode == ModeRestarts || mode == ModeHosts {
		_, err = f.await(ctx, f.nodes, "ready", isReady)
	}
	return window, err
}

// runEvents makes the changes of a mode for the configured duration and returns the
// number of events.
func (f *fleet) runEvents(ctx context.Context, mode Mode) (int, error) {
	begin := time.Now()
	interval := f.options.Duration
	event := func() error { return nil }
	switch mode {
	case ModeChanges:
		interval = f.options.ChangeInterval
		event = f.changeDocument
	case ModeHosts:
		interval = f.options.ChangeInterval
		event = func() error {
			f.changeHosts()
			return nil
		}
	case ModeRestarts:
		interval = f.options.RestartInterval
		event = f.restartNode
	}
	events := 0
	for at := time.Duration(0); at < f.options.Duration; at += interval {
		if err := event(); err != nil {
			return events, err
		}
		events++
		if err := periodic.Sleep(ctx, at+interval-time.Since(begin)); err != nil {
			return events, err
		}
	}
	if mode == ModeIdle {
		events = 0
	}
	return events, nil
}
