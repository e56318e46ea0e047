package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/redwingshelf/redwingshelf/internal/texttable"
)

// Report is the result of a capacity measurement. Times are in seconds, sizes in bytes.
type Report struct {
	Duration        float64 `json:"duration"`
	ChangeInterval  float64 `json:"change_interval"`
	RestartInterval float64 `json:"restart_interval"`
	Points          []Point `json:"points"`
	Fits            []Fit   `json:"fits"`
	// Placements are computed for each number of nodes and for targetNodes, with the
	// greatest number of leaves.
	Placements []Placement `json:"placements"`
}

// Point holds the results at one size.
type Point struct {
	Size        Size        `json:"size"`
	Start       Start       `json:"start"`
	Windows     []Window    `json:"windows"`
	Propagation Propagation `json:"spread"`
}

// Start holds the measurements of starting all nodes at once.
type Start struct {
	// Started is the time until all processes had been started, and Ready the time until
	// the last node was ready.
	Started float64 `json:"started"`
	Ready   float64 `json:"ready"`
	// Reads is the number of reads of the platform's service until all nodes were ready.
	Reads int `json:"reads"`
	// CPU is the mean processor time of a node until all nodes were ready.
	CPU float64 `json:"cpu"`
}

// Propagation holds the times from the publication of a document until it was in force
// on all nodes.
type Propagation struct {
	Seconds []float64 `json:"seconds"`
	Max     float64   `json:"greatest"`
}

// Window holds the results of one mode at one size. Costs are means over the nodes that
// were not restarted.
type Window struct {
	Mode    Mode    `json:"mode"`
	Seconds float64 `json:"seconds"`
	Events  int     `json:"events"`
	// ReadsPerSecond is the rate of reads of the platform's service by all nodes
	// together.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// All is the mean over the fleet, and Cell that over the last cell, in which nodes
	// are restarted. In ModeRestarts All leaves the last cell out if there are others.
	All  Cost `json:"all"`
	Cell Cost `json:"cell"`
}

// Cost is the mean resource usage of some nodes.
type Cost struct {
	// Nodes is the number of nodes in the mean.
	Nodes int `json:"nodes"`
	// CPU is in seconds per second, and MaxCPU that of the busiest node.
	CPU    float64 `json:"cpu"`
	MaxCPU float64 `json:"greatest_cpu"`
	// Resident, Anonymous and Heap are in bytes at the end of the window.
	// MaxResident is the maximum over the nodes.
	Resident    float64 `json:"resident"`
	MaxResident float64 `json:"greatest_resident"`
	Anonymous   float64 `json:"anonymous"`
	Heap        float64 `json:"heap"`
	Goroutines  float64 `json:"goroutines"`
	// Read and Written are the bytes read from and written to files and sockets, and
	// WriteCalls the number of write calls, per second.
	Read       float64 `json:"read"`
	Written    float64 `json:"written"`
	WriteCalls float64 `json:"write_calls"`
	// Sent and Received are the bytes per second of frames between nodes by message
	// type.
	Sent     map[string]float64 `json:"sent,omitempty"`
	Received map[string]float64 `json:"received,omitempty"`
}

// Names and tags of the nodes' metrics.
const (
	metricHeap       = "go_memstats_heap_alloc_bytes"
	metricGoroutines = "go_goroutines"
	metricSent       = "redwingshelf_peer_bytes_sent"
	metricReceived   = "redwingshelf_peer_bytes_received"
	tagType          = "type"
)

// computeCosts sets the mean costs of the nodes that were not restarted.
func (w *Window) computeCosts(f *fleet, before, after []reading) {
	var all, last []int
	for i, p := range f.nodes {
		if p.restarted {
			continue
		}
		if i >= len(f.nodes)-cellSize {
			last = append(last, i)
		}
		if i < len(f.nodes)-cellSize || w.Mode != ModeRestarts || len(f.nodes) <= cellSize {
			all = append(all, i)
		}
	}
	w.All = newCost(w.Seconds, before, after, all)
	w.Cell = newCost(w.Seconds, before, after, last)
}

func newCost(seconds float64, before, after []reading, nodes []int) Cost {
	c := Cost{Nodes: len(nodes), Sent: map[string]float64{}, Received: map[string]float64{}}
	for _, i := range nodes {
		weight := 1 / float64(len(nodes))
		a, b := before[i].sample, after[i].sample
		cpu := (b.CPU - a.CPU) / seconds
		c.CPU += cpu * weight
		c.MaxCPU = max(c.MaxCPU, cpu)
		c.Resident += b.Resident * weight
		c.MaxResident = max(c.MaxResident, b.Resident)
		c.Anonymous += b.Anonymous * weight
		c.Read += (b.Read - a.Read) / seconds * weight
		c.Written += (b.Written - a.Written) / seconds * weight
		c.WriteCalls += (b.WriteCalls - a.WriteCalls) / seconds * weight
		c.Heap += after[i].metrics.sum(metricHeap) * weight
		c.Goroutines += after[i].metrics.sum(metricGoroutines) * weight
		addRates(c.Sent, before[i].metrics, after[i].metrics, metricSent, weight/seconds)
		addRates(c.Received, before[i].metrics, after[i].metrics, metricReceived, weight/seconds)
	}
	return c
}

func addRates(rates map[string]float64, before, after metrics, name string, scale float64) {
	earlier := before.sums(name, tagType)
	for message, value := range after.sums(name, tagType) {
		rates[message] += (value - earlier[message]) * scale
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// WriteText writes the report as text for people to read.
func (r *Report) WriteText(w io.Writer) error {
	t := texttable.New(w)
	t.Row("nodes\tleaves\tdocument\thost list\tstart s\tstart reads\tstart cpu s\tin force s")
	for _, p := range r.Points {
		t.Row("%d\t%d\t%d\t%d\t%.2f\t%d\t%.2f\t%.2f", p.Size.Nodes, p.Size.Leaves, p.Size.DocumentBytes,
			p.Size.HostListBytes, p.Start.Ready, p.Start.Reads, p.Start.CPU, p.Propagation.Max)
	}
	t.Row("")
	t.Row("nodes\tleaves\tmode\tevents\tcpu %%\tmax cpu %%\tcell cpu %%\trss MB\tmax rss MB\tanon MB\theap MB\tgoroutines\tread B/s\twritten B/s\twrites/s\treads/s")
	for _, p := range r.Points {
		for _, m := range p.Windows {
			writeWindow(t, p.Size, m)
		}
	}
	t.Row("")
	t.Row("fit\tmode\tconstant\tper node\tper leaf of a node\tgreatest error\tat %d nodes, %d leaves", targetNodes, targetLeaves)
	for _, f := range r.Fits {
		t.Row("%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g", f.Quantity, f.Mode, f.Constant, f.PerNode, f.PerLeaf, f.MaxError, f.AtTarget)
	}
	t.Row("")
	for _, p := range r.Points {
		for _, m := range p.Windows {
			writeMessages(t, p.Size, m)
		}
	}
	t.Row("")
	t.Row("nodes\tleaves\tshares\tmax shares\tslots\tmax slots\tconnections\tof leaf\tbound\tquery leaves\tholders\tat random\tby instance")
	for _, p := range r.Placements {
		t.Row("%d\t%d\t%.1f\t%d\t%.1f\t%d\t%.1f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f", p.Nodes, p.Leaves, p.Shares, p.MaxShares,
			p.Slots, p.MaxSlots, p.Connections, p.LeafConnections, p.LeafConnectionLimit, p.QueryLeaves, p.QueryHolders, p.RandomHolders, p.InstanceHolders)
	}
	return t.Flush()
}

func writeWindow(t *texttable.Table, s Size, m Window) {
	const percent, mega = 100, 1e6
	c := m.All
	t.Row("%d\t%d\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f",
		s.Nodes, s.Leaves, m.Mode, m.Events, c.CPU*percent, c.MaxCPU*percent, m.Cell.CPU*percent,
		c.Resident/mega, c.MaxResident/mega, c.Anonymous/mega, c.Heap/mega, c.Goroutines,
		c.Read, c.Written, c.WriteCalls, m.ReadsPerSecond)
}

// writeMessages writes the bytes per second that a node sends, by message type.
func writeMessages(t *texttable.Table, s Size, m Window) {
	var parts []string
	for message, rate := range m.All.Sent {
		if rate == 0 {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %.0f", message, rate))
	}
	if len(parts) == 0 {
		return
	}
	slices.Sort(parts)
	t.Row("%d\t%d\t%s\tsent B/s: %s", s.Nodes, s.Leaves, m.Mode, strings.Join(parts, ", "))
}
