package capacity

import "math"

const (
	// targetNodes is the size of the fleet to which fits are extended.
	targetNodes = 600
	// minFitPoints is the least number of points of a fit.
	minFitPoints = 3
)

// Fit is a line through the values of one quantity at all sizes of the fleet.
type Fit struct {
	Quantity string `json:"quantity"`
	Mode     Mode   `json:"mode"`
	// Basis names the terms to which Coefficients belong.
	Basis        string    `json:"basis"`
	Coefficients []float64 `json:"coefficients"`
	// GreatestError is the greatest distance of a point from the line.
	GreatestError float64 `json:"greatest_error"`
	// AtTarget is the value of the line at the size that the product is built for.
	AtTarget float64 `json:"at_target"`
}

// quantity is a value of a window that is fitted.
type quantity struct {
	name  string
	value func(c Cost) float64
}

var quantities = []quantity{
	{"cpu", func(c Cost) float64 { return c.CPU }},
	{"resident", func(c Cost) float64 { return c.Resident }},
	{"anonymous", func(c Cost) float64 { return c.Anonymous }},
	{"heap", func(c Cost) float64 { return c.Heap }},
	{"read", func(c Cost) float64 { return c.Read }},
	{"written", func(c Cost) float64 { return c.Written }},
	{"sent", func(c Cost) float64 { return sum(c.Sent) }},
	{"received", func(c Cost) float64 { return sum(c.Received) }},
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// fit fits every quantity of every mode over the sizes with the most leaves.
func (r *Report) fit() {
	leaves := 0
	for _, p := range r.Points {
		leaves = max(leaves, p.Size.Leaves)
	}
	for _, mode := range Modes() {
		for _, q := range quantities {
			r.fitQuantity(q, mode, leaves)
		}
	}
}

func (r *Report) fitQuantity(q quantity, mode Mode, leaves int) {
	var nodes, values []float64
	for _, p := range r.Points {
		if p.Size.Leaves != leaves {
			continue
		}
		for _, w := range p.Windows {
			if w.Mode == mode && w.All.Nodes > 0 {
				nodes = append(nodes, float64(p.Size.Nodes))
				values = append(values, q.value(w.All))
			}
		}
	}
	if len(nodes) < minFitPoints {
		return
	}
	intercept, slope := line(nodes, values)
	f := Fit{
		Quantity:     q.name,
		Mode:         mode,
		Basis:        "1 nodes",
		Coefficients: []float64{intercept, slope},
		AtTarget:     intercept + slope*targetNodes,
	}
	for i, x := range nodes {
		f.GreatestError = max(f.GreatestError, math.Abs(values[i]-intercept-slope*x))
	}
	r.Fits = append(r.Fits, f)
}

// line returns the line of least squares through points.
func line(x, y []float64) (intercept, slope float64) {
	meanX, meanY := mean(x), mean(y)
	var products, squares float64
	for i := range x {
		products += (x[i] - meanX) * (y[i] - meanY)
		squares += (x[i] - meanX) * (x[i] - meanX)
	}
	if squares == 0 {
		return meanY, 0
	}
	slope = products / squares
	return meanY - slope*meanX, slope
}
