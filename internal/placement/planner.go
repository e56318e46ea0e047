package placement

import (
	"fmt"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// Planner places documents on one host list. It caches the candidates of every group
// that it has placed, so that a document change requires hashing only for groups
// that are new or have changed region. A Planner is not safe for concurrent use.
type Planner struct {
	hosts  []Host
	cells  []*cell
	groups map[groupKey]*candidates
}

// groupKey identifies a group and the region by which its cell is selected.
type groupKey struct {
	group  string
	region string
}

// Table is the assignment of all leaves of a document or of one cell.
type Table struct {
	// Leaves are listed in the order of the document.
	Leaves []Leaf
	byID   map[string]int
}

// NewPlanner returns a planner for a host list.
func NewPlanner(hosts []Host) (*Planner, error) {
	if err := CheckHosts(hosts); err != nil {
		return nil, fmt.Errorf("host list cannot be used: %w", err)
	}
	sorted := sortHosts(hosts)
	return &Planner{
		hosts:  sorted,
		cells:  newCells(sorted),
		groups: make(map[groupKey]*candidates),
	}, nil
}

// Hosts returns the host list sorted by name. The caller must not modify it.
func (p *Planner) Hosts() []Host { return p.hosts }

// Plan assigns every leaf of doc. The table is empty if every host is leaving.
func (p *Planner) Plan(doc *document.Document) *Table {
	return p.plan(doc, func(string) bool { return true })
}

// PlanCell assigns the leaves of doc whose groups belong to the named cell.
func (p *Planner) PlanCell(doc *document.Document, name string) *Table {
	return p.plan(doc, func(c string) bool { return c == name })
}

func (p *Planner) plan(doc *document.Document, wanted func(cell string) bool) *Table {
	regions := make(map[string]string, len(doc.DataCentres))
	for _, dc := range doc.DataCentres {
		regions[dc.Name] = dc.Region
	}
	t := &Table{byID: make(map[string]int)}
	for _, d := range doc.Deployments {
		for i := range d.Services {
			p.planService(t, d.Customer, &d.Services[i], regions, wanted)
		}
	}
	return t
}

func (p *Planner) planService(t *Table, customer string, s *document.Service, regions map[string]string, wanted func(string) bool) {
	for _, instance := range s.Instances {
		group := GroupID(customer, s.Name, instance.Name)
		c := p.candidates(group, regions[instance.DataCentre])
		if c == nil || !wanted(c.cell.name) {
			continue
		}
		shares := c.shares(s)
		service := ServiceID(customer, s.Name)
		for _, leaf := range instance.Leaves {
			t.add(Leaf{
				ID:              group + "/" + leaf.Name,
				Group:           group,
				Service:         service,
				Cell:            c.cell.name,
				Direct:          s.Policy.Routing == routingDirect,
				SlotLimit:       s.Leaf.Slots,
				ConnectionLimit: s.Leaf.Connections,
				ColdSlots:       s.Leaf.ColdSlots,
				Shares:          shares,
			})
		}
	}
}

// candidates returns the owners and deputies of a group, or nil if no host can own
// it.
func (p *Planner) candidates(group, region string) *candidates {
	key := groupKey{group, region}
	if c, ok := p.groups[key]; ok {
		return c
	}
	hash := hashString(group)
	cell := chooseCell(p.cells, hash, region)
	if cell == nil {
		return nil
	}
	c := cell.choose(hash)
	p.groups[key] = &c
	return &c
}

func (t *Table) add(l Leaf) {
	t.byID[l.ID] = len(t.Leaves)
	t.Leaves = append(t.Leaves, l)
}

// Leaf returns the assignment of a leaf, and false if it is not in the table.
func (t *Table) Leaf(id string) (Leaf, bool) {
	i, ok := t.byID[id]
	if !ok {
		return Leaf{}, false
	}
	return t.Leaves[i], true
}
