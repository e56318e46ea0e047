package standin

import "strings"

// Summary is what a group of leaves counted.
type Summary struct {
	Leaves   int `json:"leaves"`
	Requests int `json:"requests"`
	Ran      int `json:"ran"`
	Refused  int `json:"refused"`
	Canceled int `json:"canceled"`
	Crashes  int `json:"crashes"`
	Falls    int `json:"falls"`
	// OverSlots counts the leaves that had more requests at once than slots.
	OverSlots int `json:"over_slots"`
	// OverCold counts the leaves that got more at once than they bear cold.
	OverCold int `json:"over_cold"`
	// OverConnections counts the leaves that had more connections than allowed.
	OverConnections int `json:"over_connections"`
	MaxConnections  int `json:"max_connections"`
	// AllSlots counts the leaves that had as many requests at once as slots.
	AllSlots int `json:"all_slots"`
	// SubmitsRun and SubmitsRunAgain count the requests that must run at most
	// once: those that ran, and those that ran more than once.
	SubmitsRun      int `json:"submits_run"`
	SubmitsRunAgain int `json:"submits_run_again"`
}

// Summarize adds up what leaves counted.
func Summarize(leaves []*Leaf) Summary {
	sum := Summary{Leaves: len(leaves)}
	runs := map[string]int{}
	for _, l := range leaves {
		sum.add(l.Counts(), l.options)
		for id, n := range l.Runs() {
			runs[callerID(id)] += n
		}
	}
	for _, n := range runs {
		sum.SubmitsRun++
		if n > 1 {
			sum.SubmitsRunAgain++
		}
	}
	return sum
}

func (s *Summary) add(c Counts, o LeafOptions) {
	s.Requests += c.Requests
	s.Ran += c.Ran
	s.Refused += c.Refused
	s.Canceled += c.Canceled
	s.Crashes += c.Crashes
	s.Falls += c.Falls
	s.OverSlots += exceeds(c.MaxConcurrent, o.Slots)
	s.OverCold += exceeds(c.MaxCold, o.ColdSlots)
	s.OverConnections += exceeds(c.MaxConnections, o.Connections)
	if o.Slots > 0 && c.MaxConcurrent >= o.Slots {
		s.AllSlots++
	}
	s.MaxConnections = max(s.MaxConnections, c.MaxConnections)
}

// exceeds returns 1 if a value is above a bound that is set.
func exceeds(value, bound int) int {
	if bound > 0 && value > bound {
		return 1
	}
	return 0
}

// callerID returns the caller's request id from the id of a leaf call, which has
// the form REQUEST.ATTEMPT:LEAF.
func callerID(id string) string {
	attempt, _, _ := strings.Cut(id, ":")
	if i := strings.LastIndex(attempt, "."); i >= 0 {
		return attempt[:i]
	}
	return attempt
}
