package capacity

import "math"

const (
	// targetNodes and targetLeaves are the size to which fits are extrapolated.
	targetNodes  = 600
	targetLeaves = 4700
)

// Fit is a linear least-squares fit to the values of one quantity at all sizes.
type Fit struct {
	Quantity string `json:"quantity"`
	Mode     Mode   `json:"mode"`
	// Constant is the part that is independent of the size, PerNode the coefficient of
	// the number of nodes, and PerLeaf the coefficient of the number of leaves in the
	// document divided by the number of nodes.
	Constant float64 `json:"constant"`
	PerNode  float64 `json:"per_node"`
	PerLeaf  float64 `json:"per_leaf"`
	// MaxError is the maximum absolute difference between a value and the fit.
	MaxError float64 `json:"greatest_error"`
	// AtTarget is the value of the fit at targetNodes and targetLeaves, the size that
	// the tier is built for.
	AtTarget float64 `json:"at_target"`
}

// at returns the value of the fit at a size.
func (f *Fit) at(s Size) float64 {
	terms := termsOf(s)
	return f.Constant*terms[0] + f.PerNode*terms[1] + f.PerLeaf*terms[2]
}

// numTerms is the number of terms of a fit.
const numTerms = 3

// termsOf returns the terms that the coefficients of a fit are multiplied by.
func termsOf(s Size) [numTerms]float64 {
	return [numTerms]float64{1, float64(s.Nodes), float64(s.Leaves) / float64(s.Nodes)}
}

// quantity is a value of a Cost that is fitted.
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

// fitAll fits every quantity of every mode.
func (r *Report) fitAll() {
	for _, mode := range Modes() {
		for _, q := range quantities {
			r.fitQuantity(q, mode)
		}
	}
}

func (r *Report) fitQuantity(q quantity, mode Mode) {
	var sizes []Size
	var values []float64
	for _, p := range r.Points {
		for _, w := range p.Windows {
			if w.Mode == mode && w.All.Nodes > 0 {
				sizes = append(sizes, p.Size)
				values = append(values, q.value(w.All))
			}
		}
	}
	if len(sizes) <= numTerms {
		return
	}
	c, ok := leastSquares(sizes, values)
	if !ok {
		return
	}
	f := Fit{Quantity: q.name, Mode: mode, Constant: c[0], PerNode: c[1], PerLeaf: c[2]}
	f.AtTarget = f.at(Size{Nodes: targetNodes, Leaves: targetLeaves})
	for i, s := range sizes {
		f.MaxError = max(f.MaxError, math.Abs(values[i]-f.at(s)))
	}
	r.Fits = append(r.Fits, f)
}

// leastSquares returns the coefficients with the least sum of squared errors, or
// false if the sizes don't determine them.
func leastSquares(sizes []Size, values []float64) ([numTerms]float64, bool) {
	// The last column of each row is the right-hand side of the equation.
	var rows [numTerms][numTerms + 1]float64
	for n, s := range sizes {
		terms := termsOf(s)
		for i := range terms {
			for j := range terms {
				rows[i][j] += terms[i] * terms[j]
			}
			rows[i][numTerms] += terms[i] * values[n]
		}
	}
	return solve(rows)
}

// solve solves linear equations by Gauss-Jordan elimination. It returns false if they
// have no unique solution.
func solve(rows [numTerms][numTerms + 1]float64) (solution [numTerms]float64, ok bool) {
	for i := range rows {
		pivot := i
		for j := i; j < numTerms; j++ {
			if math.Abs(rows[j][i]) > math.Abs(rows[pivot][i]) {
				pivot = j
			}
		}
		rows[i], rows[pivot] = rows[pivot], rows[i]
		if rows[i][i] == 0 {
			return solution, false
		}
		for j := range rows {
			if j == i {
				continue
			}
			factor := rows[j][i] / rows[i][i]
			for k := range rows[j] {
				rows[j][k] -= factor * rows[i][k]
			}
		}
	}
	for i := range rows {
		solution[i] = rows[i][numTerms] / rows[i][i]
	}
	return solution, true
}
