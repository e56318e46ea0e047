package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/periodic"
)

// settleTime passes between the time at which all nodes know each other and the
// first measurement.
const settleTime = 10 * time.Second

// Run measures every size.
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
	report.fit()
	return report, report.place(&o)
}

// place computes the placements of every size.
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
	point.Spread, err = f.spread(ctx)
	return point, err
}

// coldStart starts all nodes at once and waits until they are ready.
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

// settle waits until all nodes know each other and the messages about it have
// ended.
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

// spread publishes documents and times each until it is in force everywhere.
func (f *fleet) spread(ctx context.Context) (Spread, error) {
	var spread Spread
	for range f.options.PropagationRounds {
		begin := time.Now()
		if err := f.changeDocument(); err != nil {
			return spread, err
		}
		end, err := f.await(ctx, f.nodes, "at the new document", inForce(f.doc.Revision))
		if err != nil {
			return spread, err
		}
		spread.Seconds = append(spread.Seconds, end.Sub(begin).Seconds())
	}
	if len(spread.Seconds) > 0 {
		spread.Greatest = slices.Max(spread.Seconds)
	}
	return spread, nil
}

// reading is what was read from one node at one time.
type reading struct {
	pid     int
	sample  sample
	metrics metrics
}

func (f *fleet) read() ([]reading, error) {
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

// window measures one mode. Metrics are asked for outside of the measured time.
func (f *fleet) window(ctx context.Context, mode Mode) (*Window, error) {
	for _, p := range f.nodes {
		p.restarted = false
	}
	before, err := f.read()
	if err != nil {
		return nil, err
	}
	reads := f.platform.Reads()
	begin := time.Now()
	events, err := f.act(ctx, mode)
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
	window.add(f, before, after)
	if mode == ModeRestarts || mode == ModeHosts {
		_, err = f.await(ctx, f.nodes, "ready", isReady)
	}
	return window, err
}

// act carries a mode out for its duration and returns the number of events.
func (f *fleet) act(ctx context.Context, mode Mode) (int, error) {
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
