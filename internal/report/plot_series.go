package report

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/redwingshelf/redwingshelf/internal/loadgen"
)

// Marks of events.
const (
	eventDash  = 4
	eventStep  = 0.1
	eventSteps = 2
)

// seriesPanel is one measure over time.
type seriesPanel struct {
	title string
	unit  string
	value func(loadgen.Second) float64
}

var seriesPanels = []seriesPanel{
	{"p99 latency of answers", "ms", func(s loadgen.Second) float64 { return s.P99 }},
	{"p50 latency of answers", "ms", func(s loadgen.Second) float64 { return s.P50 }},
	{"goodput", "answers/s", func(s loadgen.Second) float64 { return float64(s.Answers) }},
	{"mean coverage", "%", func(s loadgen.Second) float64 { return percent * s.Coverage }},
}

// PlotSeries writes an image of the measures over time.
func (r *Report) PlotSeries(file string) error {
	var panels []*plot.Plot
	for _, panel := range seriesPanels {
		p := newPlot(panel.title, panel.unit)
		p.X.Label.Text = "time since the warm-up (s)"
		for i, run := range r.Runs {
			if err := addLine(p, panel, run, runColors[i%len(runColors)]); err != nil {
				return err
			}
		}
		addLegendRoom(p)
		if len(r.Runs) > 0 {
			if err := addEvents(p, r.Runs[0]); err != nil {
				return err
			}
		}
		panels = append(panels, p)
	}
	return write(file, panels)
}

func addLine(p *plot.Plot, panel seriesPanel, run Run, c color.Color) error {
	points := make(plotter.XYs, len(run.Result.Series))
	for i, s := range run.Result.Series {
		points[i].X = float64(s.Second)
		points[i].Y = panel.value(s)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", panel.title, err)
	}
	line.Width = vg.Points(lineWidth)
	line.Color = c
	p.Add(line)
	p.Legend.Add(run.Name, line)
	return nil
}

// addEvents marks the changes of a run.
func addEvents(p *plot.Plot, run Run) error {
	top := p.Y.Max
	for i, e := range run.Events {
		at := e.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return fmt.Errorf("plot event %s: %w", e.Text, err)
		}
		line.Dashes = []vg.Length{vg.Points(eventDash), vg.Points(eventDash)}
		// Labels of events that are close together stand one below the other.
		height := top * (1 - eventStep*float64(i%eventSteps+1))
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: height}}, Labels: []string{" " + e.Text}})
		if err != nil {
			return fmt.Errorf("plot event %s: %w", e.Text, err)
		}
		label.TextStyle[0].Font.Size = fontSize
		p.Add(line, label)
	}
	return nil
}
