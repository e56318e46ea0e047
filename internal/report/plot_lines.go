package report

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Line is one measure over time, one value a second.
type Line struct {
	Name   string
	Values []float64
}

// Panel is a plot of lines with the same unit.
type Panel struct {
	Title string
	Unit  string
	Lines []Line
}

// PlotPanels writes a PNG image with the panels one below the other.
func PlotPanels(file string, panels []Panel) error {
	var plots []*plot.Plot
	for _, panel := range panels {
		p := newPlot(panel.Title, panel.Unit)
		p.X.Label.Text = "time (s)"
		for i, l := range panel.Lines {
			points := make(plotter.XYs, len(l.Values))
			for k, v := range l.Values {
				points[k].X, points[k].Y = float64(k), v
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return fmt.Errorf("plot %s: %w", panel.Title, err)
			}
			line.Width = vg.Points(lineWidth)
			line.Color = runColors[i%len(runColors)]
			p.Add(line)
			p.Legend.Add(l.Name, line)
		}
		addLegendHeadroom(p)
		plots = append(plots, p)
	}
	return writePNG(file, plots)
}
