package placement

import (
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// routingDirect is the routing policy in the document that gives hosts static
// shares.
const routingDirect = "direct"

// shares divides the limits of a service's leaves among the candidates. The result
// is the same for all leaves of a group.
func (c *candidates) shares(s *document.Service) []Share {
	if s.Policy.Routing == routingDirect {
		return c.directShares(s.Leaf)
	}
	return c.holderShares(s.Leaf)
}

func (c *candidates) holderShares(limits document.LeafLimits) []Share {
	n := shareCount(limits.Slots, limits.Connections, len(c.cell.entries))
	shares := make([]Share, n)
	for i := range shares {
		deputy := c.deputies[i]
		if n == 1 {
			deputy = c.soleDeputy
		}
		ownerConnections, deputyConnections := connectionAllowance(divide(limits.Connections, n, i), deputy != "")
		if deputyConnections == 0 {
			deputy = ""
		}
		shares[i] = Share{
			Owner:             c.owners[i],
			Deputy:            deputy,
			Slots:             divide(limits.Slots, n, i),
			Connections:       ownerConnections,
			DeputyConnections: deputyConnections,
		}
	}
	return shares
}

// directShares gives every host of the cell a static share. If the slots, or the
// connections with their reserves, do not suffice for all hosts, the remaining hosts
// get none.
func (c *candidates) directShares(limits document.LeafLimits) []Share {
	n := min(len(c.cell.entries), limits.Slots, max(1, limits.Connections/processesPerHost))
	shares := make([]Share, 0, n)
	for _, name := range c.directOwners() {
		i := len(shares)
		if i == n {
			break
		}
		ownerConnections, _ := connectionAllowance(divide(limits.Connections, n, i), false)
		shares = append(shares, Share{Owner: name, Slots: divide(limits.Slots, n, i), Connections: ownerConnections})
	}
	return shares
}

// directOwners returns the hosts of the cell, those in owners first.
func (c *candidates) directOwners() []string {
	var names []string
	for _, o := range c.owners {
		if o != "" {
			names = append(names, o)
		}
	}
	for _, e := range c.cell.entries {
		if !slices.Contains(names, e.host.Name) {
			names = append(names, e.host.Name)
		}
	}
	return names
}
