package placement

import (
	"slices"
	"strings"
)

// hostEntry is a host with its precomputed hash and effective weight.
type hostEntry struct {
	host   Host
	hash   uint64
	weight float64
}

// cell is the set of hosts with the same cell label.
type cell struct {
	name    string
	hash    uint64
	entries []hostEntry // without leaving hosts, sorted by name
	regions map[string]bool
}

// newCells groups hosts, which must be sorted by name, by cell. Cells whose hosts are
// all leaving are omitted.
func newCells(hosts []Host) []*cell {
	byName := make(map[string]*cell)
	var cells []*cell
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		c := byName[h.Cell]
		if c == nil {
			c = &cell{name: h.Cell, hash: hashString(h.Cell), regions: make(map[string]bool)}
			byName[h.Cell] = c
			cells = append(cells, c)
		}
		c.entries = append(c.entries, hostEntry{host: h, hash: hashString(h.Name), weight: h.EffectiveWeight()})
		c.regions[h.Region] = true
	}
	slices.SortFunc(cells, func(a, b *cell) int { return strings.Compare(a.name, b.name) })
	return cells
}

// chooseCell returns the cell of a group, or nil if there are no cells. Cells with a
// host in the region take precedence. All cells have the same weight, so that a
// change of the number of hosts in a cell moves no group to another cell.
func chooseCell(cells []*cell, key uint64, region string) *cell {
	var best *cell
	var bestScore float64
	var bestLocal bool
	for _, c := range cells {
		local := c.regions[region]
		if bestLocal && !local {
			continue
		}
		s := score(key, c.hash, saltCell, 1)
		if best == nil || (local && !bestLocal) || s > bestScore {
			best, bestScore, bestLocal = c, s, local
		}
	}
	return best
}

// candidates are the hosts that may own or take over the shares of one group.
type candidates struct {
	cell *cell
	// owners and deputies contain one host per share.
	owners   [maxShares]string
	deputies [maxShares]string
	// soleDeputy is the deputy of share 0 if it is the only share.
	soleDeputy string
}

// rank returns the hosts of c sorted by descending score.
func (c *cell) rank(key, salt uint64) []hostEntry {
	type scored struct {
		hostEntry
		score float64
	}
	all := make([]scored, len(c.entries))
	for i, e := range c.entries {
		all[i] = scored{e, score(key, e.hash, salt, e.weight)}
	}
	slices.SortStableFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	ranked := make([]hostEntry, len(all))
	for i, s := range all {
		ranked[i] = s.hostEntry
	}
	return ranked
}

// choose returns the owners and deputies of a group in c. Each share has its own
// ranking, so that the loss of one share's owner rarely moves the other share, and
// the deputy usually becomes the next owner.
func (c *cell) choose(key uint64) candidates {
	first := c.rank(key, shareSalts[0])
	second := c.rank(key, shareSalts[1])
	chosen := candidates{cell: c}
	owner := first[0].host
	chosen.owners[0] = owner.Name
	chosen.soleDeputy = firstExcept(first, owner.Name, "")
	if len(first) == 1 {
		return chosen
	}
	chosen.owners[1] = secondOwner(second, owner)
	if len(first) == 2 {
		chosen.deputies = [maxShares]string{chosen.owners[1], chosen.owners[0]}
		return chosen
	}
	chosen.deputies[0] = firstExcept(first, chosen.owners[0], chosen.owners[1])
	chosen.deputies[1] = firstExcept(second, chosen.owners[0], chosen.owners[1])
	return chosen
}

// secondOwner returns the highest ranked host in a data centre other than the first
// owner's, or the highest ranked other host if there is none.
func secondOwner(ranked []hostEntry, owner Host) string {
	for _, e := range ranked {
		if e.host.DataCentre != owner.DataCentre {
			return e.host.Name
		}
	}
	return firstExcept(ranked, owner.Name, "")
}

// firstExcept returns the highest ranked host that is neither a nor b, or "".
func firstExcept(ranked []hostEntry, a, b string) string {
	for _, e := range ranked {
		if e.host.Name != a && e.host.Name != b {
			return e.host.Name
		}
	}
	return ""
}
