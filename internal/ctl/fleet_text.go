package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// shortDigestLength is the number of digest digits in tables.
const shortDigestLength = 12

func (f *fleetStatus) writeText(w io.Writer) error {
	table := newTable(w)
	out := lineWriter{w: table}
	out.printf("HOST\tDATA CENTRE\tSTATE\tREVISION\tDIGEST\tAGE\tSHARES\tLEAVES\tMEMBERS\tINCARNATION")
	for _, host := range f.Hosts {
		host.writeRow(&out)
	}
	if out.err != nil {
		return out.err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	warnings := lineWriter{w: w}
	for _, warning := range f.Warnings {
		warnings.printf("WARNING: %s", warning)
	}
	return warnings.err
}

func (h *hostStatus) writeRow(out *lineWriter) {
	if h.Node == nil {
		out.printf("%s\t-\tunreachable\t-\t-\t-\t-\t-\t-\t-", h.Address)
		return
	}
	n := h.Node
	age := time.Duration(n.AcceptedAgeMS) * time.Millisecond
	out.printf("%s\t%s\t%s\t%d\t%s\t%v\t%d\t%s\t%s\t%d", n.Name, n.DataCentre, n.State, n.Revision,
		shortDigest(n.Digest), age, n.SharesHeld, formatCounts(n.Leaves), formatCounts(n.Members), n.Incarnation)
}

func shortDigest(digest string) string {
	if digest == "" {
		return "-"
	}
	return digest[:min(len(digest), shortDigestLength)]
}

// formatCounts formats counts by state in the order of the states' names.
func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", state, counts[state]))
	}
	return strings.Join(parts, " ")
}
