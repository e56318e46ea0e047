package report

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/redwingshelf/redwingshelf/internal/loadgen"
)

// Dimensions of a plot. Font sizes, lines and bars are in points.
const (
	plotWidth   = 9 * vg.Inch
	panelHeight = 3.2 * vg.Inch
	fontSize    = 13
	lineWidth   = 2
	barWidth    = 26
	// legendHeadroom is the height of the value axis relative to the greatest value.
	legendHeadroom = 1.4
)

// runColors are the colors of the runs, in their order.
var runColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// barPlot is an image that compares whole runs by related measures.
type barPlot struct {
	file   string
	title  string
	unit   string
	groups []barGroup
}

// barGroup is one measure, shown as one bar for each run.
type barGroup struct {
	label string
	value func(*loadgen.Result) float64
}

var barPlots = []barPlot{
	{"latency.png", "Latency of answers from the time due", "ms", []barGroup{
		{"p50", func(r *loadgen.Result) float64 { return r.Latency.P50 }},
		{"p90", func(r *loadgen.Result) float64 { return r.Latency.P90 }},
		{"p99", func(r *loadgen.Result) float64 { return r.Latency.P99 }},
		{"p99.9", func(r *loadgen.Result) float64 { return r.Latency.P999 }},
	}},
	{"coverage.png", "Coverage of answers and share of requests answered", "%", []barGroup{
		{"mean coverage", func(r *loadgen.Result) float64 { return percent * r.Coverage.Mean }},
		{"full answers", func(r *loadgen.Result) float64 { return percent * r.Coverage.Full }},
		{"lowest coverage", func(r *loadgen.Result) float64 { return percent * r.Coverage.Lowest }},
		{"requests answered", func(r *loadgen.Result) float64 { return percent * (1 - r.Failed()) }},
	}},
	{"load.png", "Requests received by leaves for each one needed", "ratio", []barGroup{
		{"leaf requests / needed", targetRatio},
	}},
}

func targetRatio(r *loadgen.Result) float64 {
	if r.Targets == nil {
		return 0
	}
	return r.Targets.Ratio
}

// PlotAll writes all plots as PNG images into a directory. It creates the directory if
// needed.
func (r *Report) PlotAll(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory for plots: %w", err)
	}
	for _, b := range barPlots {
		if err := r.plotBars(filepath.Join(dir, b.file), b); err != nil {
			return err
		}
	}
	return r.PlotSeries(filepath.Join(dir, "series.png"))
}

func (r *Report) plotBars(file string, b barPlot) error {
	p := newPlot(b.title, b.unit)
	var labels []string
	for _, v := range b.groups {
		labels = append(labels, v.label)
	}
	for i, run := range r.Runs {
		values := make(plotter.Values, len(b.groups))
		for j, v := range b.groups {
			values[j] = v.value(run.Result)
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot %s: %w", b.title, err)
		}
		chart.Color = runColors[i%len(runColors)]
		chart.LineStyle.Width = 0
		chart.Offset = vg.Points(barWidth) * vg.Length(float64(i)-float64(len(r.Runs)-1)/2)
		p.Add(chart)
		p.Legend.Add(run.Name, chart)
	}
	p.NominalX(labels...)
	addLegendHeadroom(p)
	return writePNG(file, []*plot.Plot{p})
}

func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Title.TextStyle.Font.Size = fontSize
	p.Legend.TextStyle.Font.Size = fontSize
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		axis.Label.TextStyle.Font.Size = fontSize
		axis.Tick.Label.Font.Size = fontSize
	}
	p.Add(plotter.NewGrid())
	return p
}

// addLegendHeadroom extends the value axis so that the legend fits above the greatest
// value.
func addLegendHeadroom(p *plot.Plot) {
	p.Y.Min = 0
	p.Y.Max *= legendHeadroom
}

// writePNG writes an image with the panels one below the other.
func writePNG(file string, panels []*plot.Plot) error {
	canvas := vgimg.New(plotWidth, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadTop: vg.Points(8), PadBottom: vg.Points(8), PadLeft: vg.Points(8), PadRight: vg.Points(16), PadY: vg.Points(12)}
	dc := draw.New(canvas)
	for i, p := range panels {
		p.Draw(tiles.At(dc, 0, i))
	}
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(out); err != nil {
		_ = out.Close()
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	if err := out.Close(); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	return nil
}
