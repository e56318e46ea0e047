// Package placement assigns the slots and connections of every leaf to hosts by
// weighted rendezvous hashing. The result is a pure function of the document and
// the host list, so that all hosts with the same input compute the same assignment.
package placement

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name       string
	DataCentre string
	Region     string
	// Cell is the label of the hosts that divide leaf groups among themselves and
	// exchange heartbeats.
	Cell string
	// Weight is the relative capacity of the host; zero stands for 1.
	Weight float64
	// Leaving hosts own no shares.
	Leaving bool
}

// EffectiveWeight returns the host's weight with its default applied.
func (h Host) EffectiveWeight() float64 {
	if h.Weight == 0 {
		return 1
	}
	return h.Weight
}

// CheckHosts returns an error if leaves cannot be placed on the host list.
func CheckHosts(hosts []Host) error {
	seen := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		if h.Name == "" {
			return fmt.Errorf("host in data centre %q has no name", h.DataCentre)
		}
		if seen[h.Name] {
			return fmt.Errorf("host %q is listed twice", h.Name)
		}
		if w := h.EffectiveWeight(); w < 0 || math.IsNaN(w) || math.IsInf(w, 0) {
			return fmt.Errorf("host %q has weight %v, want a positive number", h.Name, h.Weight)
		}
		seen[h.Name] = true
	}
	return nil
}

// sortHosts returns a copy of hosts in the order of their names.
func sortHosts(hosts []Host) []Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}
