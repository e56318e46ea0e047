package quota

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

const (
	// maxGrantors bounds the nodes that grant credits, and with them the allotments that each node
	// sends.
	maxGrantors = 8
	// maxReplicas is the number of grantors of a slot.
	maxReplicas = 2
	// grantorCapacityRatio is how many times the capacity of a grantor the largest node may have.
	grantorCapacityRatio = 2
	// minHostsPerDataCentre is the number of hosts that each data centre is assumed to have by a
	// process that has not reached any of its peers.
	minHostsPerDataCentre = 3
)

// Node is a live node.
type Node struct {
	Name       string
	Address    string
	DataCentre string
	// Capacity is the capacity of the node in hundredths of a core, or zero if unknown.
	Capacity uint32
}

// Grantor is a node that grants credits to the tenants of some slots.
type Grantor struct {
	Node
	// slots are the slots of the grantor.
	slots Slots
}

// Ring assigns grantors to slots. Nodes with the same view of the fleet have the same ring; with
// different ones they spread their allotments over more grantors, which is safe.
type Ring struct {
	grantors []*Grantor
	bySlot   [slotCount][]*Grantor
}

// NewRing returns the ring of the live nodes. The grantors are the largest nodes, of all data
// centres if possible.
func NewRing(nodes []Node) *Ring {
	r := new(Ring)
	for _, n := range candidates(nodes) {
		r.grantors = append(r.grantors, &Grantor{Node: n})
	}
	for slot := range slotCount {
		owners := r.choose(slot)
		r.bySlot[slot] = owners
		for _, g := range owners {
			g.slots |= 1 << slot
		}
	}
	return r
}

// candidates returns the nodes that may be grantors, in an order that alternates between the data
// centres.
func candidates(nodes []Node) []Node {
	var maxCapacity uint32
	for _, n := range nodes {
		maxCapacity = max(maxCapacity, n.Capacity)
	}
	byDataCentre := map[string][]Node{}
	for _, n := range nodes {
		if grantorCapacityRatio*n.Capacity >= maxCapacity {
			byDataCentre[n.DataCentre] = append(byDataCentre[n.DataCentre], n)
		}
	}
	rounds := 0
	for _, members := range byDataCentre {
		slices.SortFunc(members, func(a, b Node) int {
			return cmp.Or(cmp.Compare(rendezvous.Weight(a.Name), rendezvous.Weight(b.Name)), cmp.Compare(a.Name, b.Name))
		})
		rounds = max(rounds, len(members))
	}
	dataCentres := slices.Sorted(maps.Keys(byDataCentre))
	var chosen []Node
	for round := range rounds {
		for _, dc := range dataCentres {
			if members := byDataCentre[dc]; round < len(members) && len(chosen) < maxGrantors {
				chosen = append(chosen, members[round])
			}
		}
	}
	return chosen
}

// choose returns the grantors of a slot, in different data centres if possible.
func (r *Ring) choose(slot int) []*Grantor {
	ranked := slices.Clone(r.grantors)
	key := strconv.Itoa(slot)
	slices.SortFunc(ranked, func(a, b *Grantor) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(key, a.Name), rendezvous.Weight(key, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if len(ranked) <= maxReplicas-1 {
		return ranked
	}
	second := max(slices.IndexFunc(ranked, func(g *Grantor) bool { return g.DataCentre != ranked[0].DataCentre }), 1)
	return []*Grantor{ranked[0], ranked[second]}
}

// replicas returns the number of grantors of each slot.
func (r *Ring) replicas() int { return min(len(r.grantors), maxReplicas) }

// Grantors returns the grantors of a tenant.
func (r *Ring) Grantors(tenant string) []*Grantor { return r.bySlot[slotOf(tenant)] }

const (
	// discoveryTime is the age at which a process knows most hosts of its fleet. Before, it assumes
	// earlyFactor times as many as it knows.
	discoveryTime = 750 * time.Millisecond
	earlyFactor   = 3
)

// AssumedHosts returns the number of hosts that a process of some age assumes, given those that it
// knows.
func AssumedHosts(known int, age time.Duration) int {
	if age < discoveryTime {
		return earlyFactor * known
	}
	return known
}

// Hosts counts the hosts of a fleet, from those that a process knows by data centre, dead ones
// included. A process that has just started behind a cut knows only those on its side; it assumes
// that the data centres from which it knows none have as many hosts as the largest known one. alone
// is set if the process has not reached any of the peers that it should join.
func Hosts(byDataCentre map[string]int, dataCentres int, alone bool) int {
	known, largest := 0, 0
	for _, n := range byDataCentre {
		known += n
		largest = max(largest, n)
	}
	if alone {
		largest = max(largest, minHostsPerDataCentre)
		known = max(known, largest)
	}
	return known + max(dataCentres-len(byDataCentre), 0)*largest
}
