package placement

import "fmt"

// Explanation compares the maximum use that an assignment allows with the limits of
// its leaf.
type Explanation struct {
	Leaf Leaf
	// WorstSlots is the number of slots in use when every share is fully used.
	WorstSlots int
	// WorstConnections is the number of connections when every owner and deputy,
	// and a predecessor of each, has opened all that it may.
	WorstConnections int
	// Warnings describe reserves and deputies for which the limits of the leaf or
	// the host list leave no capacity.
	Warnings []string
}

// ExplainLeaf returns the maximum use that a leaf's assignment allows, and an error
// if the table does not contain the leaf.
func (t *Table) ExplainLeaf(id string) (Explanation, error) {
	leaf, ok := t.Leaf(id)
	if !ok {
		return Explanation{}, fmt.Errorf("leaf %q does not exist in the assignment", id)
	}
	e := Explanation{Leaf: leaf}
	for _, s := range leaf.Shares {
		e.WorstSlots += s.Slots
		e.WorstConnections += (s.Connections + s.DeputyConnections) * processesPerHost
		if s.Deputy == "" && !leaf.Direct {
			e.Warnings = append(e.Warnings, fmt.Sprintf("share of host %q has no deputy", s.Owner))
		}
	}
	if leaf.ConnectionLimit < processesPerHost {
		e.Warnings = append(e.Warnings, "one connection leaves no reserve for a replaced host")
	}
	if len(leaf.Shares) == 0 {
		e.Warnings = append(e.Warnings, "no host can own a share")
	}
	return e, nil
}

// WithinLimits reports whether the maximum use respects both limits of the leaf.
func (e Explanation) WithinLimits() bool {
	return e.WorstSlots <= e.Leaf.SlotLimit && e.WorstConnections <= e.Leaf.ConnectionLimit
}
