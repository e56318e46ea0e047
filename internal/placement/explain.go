package placement

import "fmt"

// Explanation compares the greatest use that an assignment allows with the
// limits of its leaf.
type Explanation struct {
	Leaf Leaf
	// WorstSlots is the number of slots in use when every share is.
	WorstSlots int
	// WorstConnections counts every owner and deputy together with the
	// connections of a predecessor of each.
	WorstConnections int
	// Warnings name what the limits of the leaf leave no room for.
	Warnings []string
}

// ExplainLeaf returns the worst case of a leaf's assignment.
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
	if leaf.ConnectionBound < processesPerHost {
		e.Warnings = append(e.Warnings, "one connection leaves no reserve for a replaced host")
	}
	if len(leaf.Shares) == 0 {
		e.Warnings = append(e.Warnings, "no host can own a share")
	}
	return e, nil
}

// WithinBounds reports whether the worst case respects both limits.
func (e Explanation) WithinBounds() bool {
	return e.WorstSlots <= e.Leaf.SlotBound && e.WorstConnections <= e.Leaf.ConnectionBound
}
