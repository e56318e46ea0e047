package report

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/redwingshelf/redwingshelf/internal/loadgen"
)

// Appearance of event marks: the length of dashes in points, the distance between
// label levels relative to the height of the axis, and the number of levels.
const (
	eventDashLength  = 4
	eventLabelStep   = 0.1
	eventLabelLevels = 2
)

// seriesPanel is a plot of one measure over time.
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

// PlotSeries writes a PNG image of the measures over time.
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
		addLegendHeadroom(p)
		if len(r.Runs) > 0 {
			if err := addEvents(p, r.Runs[0]); err != nil {
				return err
			}
		}
		panels = append(panels, p)
	}
	return writePNG(file, panels)
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

// addEvents draws a labeled vertical line for each event of a run.
func addEvents(p *plot.Plot, run Run) error {
	top := p.Y.Max
	for i, e := range run.Events {
		at := e.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return fmt.Errorf("plot event %s: %w", e.Text, err)
		}
		line.Dashes = []vg.Length{vg.Points(eventDashLength), vg.Points(eventDashLength)}
		// Labels alternate between levels, so that those of events that are close
		// together don't overlap.
		height := top * (1 - eventLabelStep*float64(i%eventLabelLevels+1))
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: height}}, Labels: []string{" " + e.Text}})
		if err != nil {
			return fmt.Errorf("plot event %s: %w", e.Text, err)
		}
		label.TextStyle[0].Font.Size = fontSize
		p.Add(line, label)
	}
	return nil
}
