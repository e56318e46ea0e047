package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// fleet returns n hosts in cells of the given size, spread over five data centres in
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

// services returns a document with one service that has the given limits.
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
		name, routing             string
		hosts, slots, connections int
		// want lists the shares as slots:connections/deputy connections.
		want         string
		withinBounds bool
		warnings     int
	}{
		{"two slots", "holder", 6, 2, 25, "1:4/2 1:4/2", true, 0},
		{"ledger", "holder", 6, 2, 100, "1:17/8 1:17/8", true, 0},
		{"workshop", "holder", 6, 6, 50, "3:8/4 3:8/4", true, 0},
		{"odd slots", "holder", 6, 3, 25, "2:4/2 1:4/2", true, 0},
		{"one slot", "holder", 6, 1, 25, "1:8/4", true, 0},
		{"few connections", "holder", 6, 2, 4, "2:1/1", true, 0},
		{"two connections", "holder", 6, 2, 2, "2:1/0", true, 1},
		{"one connection", "holder", 6, 2, 1, "2:1/0", false, 2},
		{"two hosts", "holder", 2, 2, 25, "1:4/2 1:4/2", true, 0},
		{"one host", "holder", 1, 2, 25, "2:12/0", true, 1},
		{"fewer slots than hosts", "direct", 6, 2, 25, "1:6/0 1:6/0", true, 0},
		{"more slots than hosts", "direct", 3, 8, 50, "3:8/0 3:8/0 2:8/0", true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limits := document.LeafLimits{Slots: c.slots, Connections: c.connections}
			e, err := plan(t, fleet(c.hosts, c.hosts), services(1, limits, c.routing)).ExplainLeaf("adom/portal/i0/a")
			require.NoError(t, err)
			var shares []string
			for _, s := range e.Leaf.Shares {
				shares = append(shares, fmt.Sprintf("%d:%d/%d", s.Slots, s.Connections, s.DeputyConnections))
				require.Equal(t, s.DeputyConnections > 0, s.Deputy != "")
				require.NotEqual(t, s.Owner, s.Deputy)
			}
			require.Equal(t, c.want, strings.Join(shares, " "))
			require.Equal(t, c.withinBounds, e.WithinLimits())
			require.Len(t, e.Warnings, c.warnings)
		})
	}
}

func TestWorstCaseStaysWithinLimits(t *testing.T) {
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
			require.True(t, e.WithinLimits(), "%+v", e)
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
	before, after := plan(t, hosts, doc), plan(t, hosts[1:], doc)
	var lost, toDeputy, others, moved int
	for i, leaf := range before.Leaves {
		for j, s := range leaf.Shares {
			next := after.Leaves[i].Shares[j].Owner
			if s.Owner == hosts[0].Name {
				lost++
				toDeputy += count(next == s.Deputy)
			} else {
				others++
				moved += count(next != s.Owner)
			}
		}
	}
	t.Logf("%d of %d lost shares went to their deputy; %d of %d others moved", toDeputy, lost, moved, others)
	require.Greater(t, toDeputy*10, lost*6)
	require.Less(t, moved*10, others)
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
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
