package standin

import "strings"

// Summary sums up the counters of a group of leaves.
type Summary struct {
	Leaves   int `json:"leaves"`
	Requests int `json:"requests"`
	Ran      int `json:"ran"`
	Refused  int `json:"refused"`
	Canceled int `json:"canceled"`
	Crashes  int `json:"crashes"`
	Falls    int `json:"falls"`
	// OverSlots counts the leaves that had more concurrent requests than slots.
	OverSlots int `json:"over_slots"`
	// OverColdSlots counts the leaves that had more concurrent requests while cold than
	// cold slots.
	OverColdSlots int `json:"over_cold"`
	// OverConnections counts the leaves that had more open connections than allowed.
	OverConnections int `json:"over_connections"`
	MaxConnections  int `json:"max_connections"`
	// AllSlots counts the leaves that had at least as many concurrent requests as slots.
	AllSlots int `json:"all_slots"`
	// SubmitsRun counts the requests that must run at most once and ran, and
	// SubmitsRunAgain those of them that ran more than once.
	SubmitsRun      int `json:"submits_run"`
	SubmitsRunAgain int `json:"submits_run_again"`
}

// Summarize returns the summary of a group of leaves.
func Summarize(leaves []*Leaf) Summary {
	sum := Summary{Leaves: len(leaves)}
	runs := map[string]int{}
	for _, l := range leaves {
		sum.add(l.Counts(), l.options)
		for id, n := range l.Runs() {
			runs[callerRequestID(id)] += n
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
	s.OverColdSlots += exceeds(c.MaxCold, o.ColdSlots)
	s.OverConnections += exceeds(c.MaxConnections, o.Connections)
	if o.Slots > 0 && c.MaxConcurrent >= o.Slots {
		s.AllSlots++
	}
	s.MaxConnections = max(s.MaxConnections, c.MaxConnections)
}

// exceeds returns 1 if a bound is set and the value is above it, or else 0.
func exceeds(value, bound int) int {
	if bound > 0 && value > bound {
		return 1
	}
	return 0
}

// callerRequestID returns the caller's request ID from the ID of a leaf call, which has
// the form REQUEST.ATTEMPT:LEAF.
func callerRequestID(id string) string {
	attempt, _, _ := strings.Cut(id, ":")
	if i := strings.LastIndex(attempt, "."); i >= 0 {
		return attempt[:i]
	}
	return attempt
}
