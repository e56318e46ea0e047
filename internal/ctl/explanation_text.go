package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// newTable returns a writer that aligns tab-separated columns.
func newTable(w io.Writer) *tabwriter.Writer {
	const (
		minWidth = 0
		tabWidth = 8
		padding  = 2
	)
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

func (e *explanation) writeText(w io.Writer) error {
	table := newTable(w)
	out := lineWriter{w: table}
	out.printf("%v on %d hosts", e.Identity, len(e.Hosts))
	e.writeServices(&out)
	e.writeHosts(&out)
	e.writeLeaves(&out)
	for _, finding := range e.Findings {
		out.printf("PROBLEM: %s", finding)
	}
	if e.Omitted > 0 {
		out.printf("PROBLEM: %d further problems", e.Omitted)
	}
	if out.err != nil {
		return out.err
	}
	return table.Flush()
}

func (e *explanation) writeServices(out *lineWriter) {
	out.printf("\nCUSTOMER\tSERVICE\tSHARDS\tINSTANCES\tLEAVES\tSHARES/LEAF\tWORST SLOTS\tCOLD SLOTS\tWORST CONNECTIONS\tSHARDS SERVED")
	for _, s := range e.Services {
		out.printf("%s\t%s\t%d\t%d\t%d\t%s\t%d of %d\t%d\t%d of %d\t%s",
			s.Customer, s.Service, s.Shards, s.Instances, s.Leaves, formatRange(s.MinShares, s.MaxShares),
			s.WorstSlots, s.Slots, s.ColdSlots, s.WorstConnections, s.Connections, formatCoverage(s.Coverage))
	}
}

func (e *explanation) writeHosts(out *lineWriter) {
	out.printf("\nHOST\tDATA CENTRE\tCELL\tSHARES\tSLOTS\tCONNECTIONS\tDEPUTY SHARES\tDEPUTY CONNECTIONS")
	for _, h := range e.Hosts {
		out.printf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d", h.Name, h.DataCentre, h.Cell,
			h.Shares, h.Slots, h.Connections, h.DeputyShares, h.DeputyConnections)
	}
}

func (e *explanation) writeLeaves(out *lineWriter) {
	if len(e.Leaves) == 0 {
		return
	}
	out.printf("\nLEAF\tSHARD\tDATA CENTRE\tOWNER\tDEPUTY\tSLOTS\tCONNECTIONS\tDEPUTY CONNECTIONS")
	for _, leaf := range e.Leaves {
		for _, share := range leaf.Shares {
			out.printf("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d", leaf.Leaf, leaf.Shard, leaf.DataCentre,
				share.Owner, share.Deputy, share.Slots, share.Connections, share.DeputyConnections)
		}
	}
}

// formatRange formats a range of numbers, or one number.
func formatRange(least, greatest int) string {
	if least == greatest {
		return fmt.Sprint(least)
	}
	return fmt.Sprintf("%d-%d", least, greatest)
}

// formatCoverage formats the number of shards served, and the numbers that remain
// without a data centre where they differ.
func formatCoverage(coverage []dataCentreCoverage) string {
	now := coverage[0].Shards
	var parts []string
	for _, c := range coverage[1:] {
		if c.Shards != now {
			parts = append(parts, fmt.Sprintf("%d without %s", c.Shards, c.Without))
		}
	}
	if len(parts) == 0 {
		return fmt.Sprintf("%d, also without any one data centre", now)
	}
	return fmt.Sprintf("%d, %s", now, strings.Join(parts, ", "))
}
