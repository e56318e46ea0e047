package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// fleet returns n hosts in cells of the given size over five data centres of
// two regions.
func fleet(n, cellSize int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		dc := i % 5
		hosts[i] = Host{
			Name:       fmt.Sprintf("host-%03d", i),
			DataCentre: fmt.Sprintf("dc%d", dc),
			Region:     fmt.Sprintf("r%d", dc/3),
			Cell:       fmt.Sprintf("cell-%03d", i/cellSize),
		}
	}
	return hosts
}

// services returns a document with one service of the given limits.
func services(instances int, limits document.LeafLimits, routing string) *document.Document {
	doc := &document.Document{Revision: 1}
	for i := range 5 {
		doc.DataCentres = append(doc.DataCentres, document.DataCentre{Name: fmt.Sprintf("dc%d", i), Region: fmt.Sprintf("r%d", i/3)})
	}
	s := document.Service{Name: "portal", Leaf: limits, Policy: document.Policy{Routing: routing}}
	for i := range instances {
		s.Instances = append(s.Instances, document.Instance{
			Name:       fmt.Sprintf("i%d", i),
			DataCentre: fmt.Sprintf("dc%d", i%5),
			Leaves:     []document.Leaf{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		})
	}
	doc.Deployments = []document.Deployment{{Customer: "adom", Services: []document.Service{s}}}
	return doc
}

func plan(t testing.TB, hosts []Host, doc *document.Document) *Table {
	p, err := NewPlanner(hosts)
	require.NoError(t, err)
	return p.Plan(doc)
}

func TestSharesOfOneLeaf(t *testing.T) {
	cases := []struct {
		name          string
		hosts         int
		limits        document.LeafLimits
		routing       string
		slots         []int
		connections   []int
		deputy        []int
		hasDeputy     bool
		withinBounds  bool
		wantsWarnings bool
	}{
		{"today", 6, document.LeafLimits{Slots: 2, Connections: 25}, "holder", []int{1, 1}, []int{4, 4}, []int{2, 2}, true, true, false},
		{"ledger", 6, document.LeafLimits{Slots: 2, Connections: 100}, "holder", []int{1, 1}, []int{17, 17}, []int{8, 8}, true, true, false},
		{"workshop", 6, document.LeafLimits{Slots: 6, Connections: 50}, "holder", []int{3, 3}, []int{8, 8}, []int{4, 4}, true, true, false},
		{"odd slots", 6, document.LeafLimits{Slots: 3, Connections: 25}, "holder", []int{2, 1}, []int{4, 4}, []int{2, 2}, true, true, false},
		{"one slot", 6, document.LeafLimits{Slots: 1, Connections: 25}, "holder", []int{1}, []int{8}, []int{4}, true, true, false},
		{"few connections", 6, document.LeafLimits{Slots: 2, Connections: 4}, "holder", []int{2}, []int{1}, []int{1}, true, true, false},
		{"two connections", 6, document.LeafLimits{Slots: 2, Connections: 2}, "holder", []int{2}, []int{1}, []int{0}, false, true, true},
		{"one connection", 6, document.LeafLimits{Slots: 2, Connections: 1}, "holder", []int{2}, []int{1}, []int{0}, false, false, true},
		{"two hosts", 2, document.LeafLimits{Slots: 2, Connections: 25}, "holder", []int{1, 1}, []int{4, 4}, []int{2, 2}, true, true, false},
		{"one host", 1, document.LeafLimits{Slots: 2, Connections: 25}, "holder", []int{2}, []int{12}, []int{0}, false, true, true},
		{"direct, fewer slots than hosts", 6, document.LeafLimits{Slots: 2, Connections: 25}, "direct", []int{1, 1}, []int{6, 6}, []int{0, 0}, false, true, false},
		{"direct, more slots than hosts", 3, document.LeafLimits{Slots: 8, Connections: 50}, "direct", []int{3, 3, 2}, []int{8, 8, 8}, []int{0, 0, 0}, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := plan(t, fleet(c.hosts, c.hosts), services(1, c.limits, c.routing))
			e, err := table.ExplainLeaf("adom/portal/i0/a")
			require.NoError(t, err)
			var slots, connections, deputy []int
			for _, s := range e.Leaf.Shares {
				slots = append(slots, s.Slots)
				connections = append(connections, s.Connections)
				deputy = append(deputy, s.DeputyConnections)
				require.Equal(t, c.hasDeputy, s.Deputy != "")
				require.NotEqual(t, s.Owner, s.Deputy)
			}
			require.Equal(t, c.slots, slots)
			require.Equal(t, c.connections, connections)
			require.Equal(t, c.deputy, deputy)
			require.Equal(t, c.withinBounds, e.WithinBounds())
			require.Equal(t, c.wantsWarnings, len(e.Warnings) > 0)
		})
	}
}

func TestWorstCaseStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := document.LeafLimits{
			Slots:       rapid.IntRange(1, 12).Draw(t, "slots"),
			Connections: rapid.IntRange(2, 120).Draw(t, "connections"),
		}
		hosts := fleet(rapid.IntRange(1, 9).Draw(t, "hosts"), 9)
		routing := rapid.SampledFrom([]string{"holder", "direct"}).Draw(t, "routing")
		p, err := NewPlanner(hosts)
		require.NoError(t, err)
		table := p.Plan(services(4, limits, routing))
		for _, leaf := range table.Leaves {
			e, err := table.ExplainLeaf(leaf.ID)
			require.NoError(t, err)
			require.True(t, e.WithinBounds(), "%+v", e)
			require.Equal(t, limits.Slots, e.WorstSlots)
			owners := make(map[string]bool)
			for _, s := range leaf.Shares {
				require.False(t, owners[s.Owner], "host %q owns two shares", s.Owner)
				owners[s.Owner] = true
				require.Positive(t, s.Connections)
			}
		}
	})
}

func TestOwnersAvoidLeavingHostsAndOneDataCentre(t *testing.T) {
	hosts := fleet(6, 6)
	hosts[2].Leaving = true
	dcs := make(map[string]string)
	for _, h := range hosts {
		dcs[h.Name] = h.DataCentre
	}
	for _, leaf := range plan(t, hosts, services(50, document.LeafLimits{Slots: 2, Connections: 25}, "")).Leaves {
		require.NotEqual(t, dcs[leaf.Shares[0].Owner], dcs[leaf.Shares[1].Owner])
		for _, s := range leaf.Shares {
			require.NotContains(t, []string{s.Owner, s.Deputy}, hosts[2].Name)
		}
	}
}

func TestCellIsInTheRegionOfTheLeaf(t *testing.T) {
	hosts := fleet(60, 6)
	for i := range hosts {
		hosts[i].Region = fmt.Sprintf("r%d", (i/6)%2)
	}
	regions := make(map[string]string)
	for _, h := range hosts {
		regions[h.Cell] = h.Region
	}
	doc := services(50, document.LeafLimits{Slots: 2, Connections: 25}, "")
	for i, leaf := range plan(t, hosts, doc).Leaves {
		instance := i / 3
		require.Equal(t, fmt.Sprintf("r%d", instance%5/3), regions[leaf.Cell])
	}
}

func TestHostListErrors(t *testing.T) {
	cases := map[string][]Host{
		"has no name":    {{}},
		"listed twice":   {{Name: "a"}, {Name: "a"}},
		"has weight -1,": {{Name: "a", Weight: -1}},
	}
	for want, hosts := range cases {
		_, err := NewPlanner(hosts)
		require.ErrorContains(t, err, want)
	}
	_, err := plan(t, nil, services(1, document.LeafLimits{Slots: 2}, "")).ExplainLeaf("x")
	require.ErrorContains(t, err, `leaf "x" does not exist`)
}

func TestLossOfAHostMovesFewOtherShares(t *testing.T) {
	hosts := fleet(6, 6)
	doc := services(400, document.LeafLimits{Slots: 2, Connections: 25}, "")
	before := plan(t, hosts, doc)
	lost := hosts[0].Name
	after := plan(t, hosts[1:], doc)
	var lostShares, toDeputy, kept, moved int
	for i, leaf := range before.Leaves {
		for j, s := range leaf.Shares {
			next := after.Leaves[i].Shares[j].Owner
			switch {
			case s.Owner == lost && next == s.Deputy:
				toDeputy++
				lostShares++
			case s.Owner == lost:
				lostShares++
			case s.Owner == next:
				kept++
			default:
				moved++
			}
		}
	}
	t.Logf("lost %d shares, %d of them to the deputy; others kept %d, moved %d", lostShares, toDeputy, kept, moved)
	require.Greater(t, toDeputy*10, lostShares*6)
	require.Less(t, moved*10, kept)
}

func TestPlanCellMatchesPlan(t *testing.T) {
	p, err := NewPlanner(fleet(60, 6))
	require.NoError(t, err)
	doc := services(40, document.LeafLimits{Slots: 2, Connections: 25}, "")
	all := p.Plan(doc)
	total := 0
	for i := range 10 {
		part := p.PlanCell(doc, fmt.Sprintf("cell-%03d", i))
		total += len(part.Leaves)
		for _, leaf := range part.Leaves {
			whole, ok := all.Leaf(leaf.ID)
			require.True(t, ok)
			require.Equal(t, whole, leaf)
		}
	}
	require.Len(t, all.Leaves, total)
}

func BenchmarkPlan(b *testing.B) {
	hosts := fleet(600, 6)
	doc := services(1567, document.LeafLimits{Slots: 2, Connections: 25}, "")
	b.Run("new host list", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			plan(b, hosts, doc)
		}
	})
	p, err := NewPlanner(hosts)
	require.NoError(b, err)
	b.Run("new document", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			p.Plan(doc)
		}
	})
	b.Run("new document, one cell", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			p.PlanCell(doc, "cell-007")
		}
	})
}
