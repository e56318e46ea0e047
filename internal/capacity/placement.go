package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

const (
	// sampledQueries is the number of queries over which means are computed.
	sampledQueries = 200
	placementSeed  = 1
	// processesPerHost is the number of processes of an owner or a deputy whose
	// connections a leaf may count: the current one and its predecessor.
	processesPerHost = 2
)

// Placement summarizes the placement of shares on hosts at one size. It is computed
// without running any node.
type Placement struct {
	Nodes  int `json:"nodes"`
	Leaves int `json:"leaves"`
	// Shares is the mean and MaxShares the maximum number of shares of a host.
	Shares    float64 `json:"shares"`
	MaxShares int     `json:"greatest_shares"`
	// SharesAsDeputy is the mean number of shares that a host may take over as deputy.
	SharesAsDeputy float64 `json:"shares_as_deputy"`
	// Slots is the mean and MaxSlots the maximum number of slots of a host.
	Slots    float64 `json:"slots"`
	MaxSlots int     `json:"greatest_slots"`
	// Connections is the mean number of connections that a host opens to leaves if it
	// uses all its own shares.
	Connections float64 `json:"connections"`
	// LeafConnections is the maximum number of connections to one leaf from owners,
	// deputies and their predecessors, and LeafConnectionLimit the connection limit of
	// that leaf.
	LeafConnections     int `json:"leaf_connections"`
	LeafConnectionLimit int `json:"leaf_bound"`
	// QueryLeaves is the number of leaves of one query.
	QueryLeaves int `json:"query_leaves"`
	// QueryHolders is the mean number of hosts that a query calls if all hosts are
	// expected to be equally fast, so that it prefers the same few for all leaves.
	QueryHolders float64 `json:"query_holders"`
	// RandomHolders is that mean if replicas and owners are chosen at random.
	RandomHolders float64 `json:"random_holders"`
	// InstanceHolders is that mean if a query uses whole instances and one owner for
	// each.
	InstanceHolders float64 `json:"instance_holders"`
}

// Place computes the placement of a document with about the given number of leaves on a
// number of hosts.
func Place(nodes, leaves int) (*Placement, error) {
	f := &fleet{options: &Options{}}
	var err error
	if f.doc, err = newDocument(leaves); err != nil {
		return nil, err
	}
	hosts := make([]placement.Host, nodes)
	for i := range hosts {
		cell := i / cellSize
		centres := f.regionCentres(cell)
		centre := centres[i%len(centres)]
		hosts[i] = placement.Host{
			Name:       fmt.Sprintf("host-%03d", i),
			DataCentre: centre,
			Region:     f.region(centre),
			Cell:       fmt.Sprintf("cell-%02d", cell),
		}
	}
	planner, err := placement.NewPlanner(hosts)
	if err != nil {
		return nil, err
	}
	f.doc.Normalize()
	plan := planner.Plan(f.doc)
	p := &Placement{Nodes: nodes, Leaves: len(plan.Leaves)}
	p.countShares(plan)
	p.countHolders(f.doc, plan)
	return p, nil
}

func (p *Placement) countShares(plan *placement.Table) {
	shares, slots := map[string]int{}, map[string]int{}
	var total shareTotals
	for _, leaf := range plan.Leaves {
		connections := 0
		for _, share := range leaf.Shares {
			shares[share.Owner]++
			slots[share.Owner] += share.Slots
			total.add(share)
			connections += processesPerHost * (share.Connections + share.DeputyConnections)
		}
		if connections > p.LeafConnections {
			p.LeafConnections, p.LeafConnectionLimit = connections, leaf.ConnectionLimit
		}
	}
	nodes := float64(p.Nodes)
	p.Shares = float64(total.shares) / nodes
	p.SharesAsDeputy = float64(total.deputies) / nodes
	p.Slots = float64(total.slots) / nodes
	p.Connections = float64(total.connections) / nodes
	for host, n := range shares {
		p.MaxShares = max(p.MaxShares, n)
		p.MaxSlots = max(p.MaxSlots, slots[host])
	}
}

// shareTotals holds totals over the shares of all hosts.
type shareTotals struct {
	shares, deputies, slots, connections int
}

func (t *shareTotals) add(s placement.Share) {
	t.shares++
	t.slots += s.Slots
	t.connections += s.Connections
	if s.Deputy != "" {
		t.deputies++
	}
}

// countHolders computes how many hosts a query of the first service calls.
func (p *Placement) countHolders(doc *document.Document, plan *placement.Table) {
	customer, service := doc.Deployments[0].Customer, doc.Deployments[0].Services[0]
	id := placement.ServiceID(customer, service.Name)
	replicas := map[string][]placement.Leaf{}
	for _, instance := range service.Instances {
		for _, leaf := range instance.Leaves {
			placed, _ := plan.Leaf(placement.LeafID(customer, service.Name, instance.Name, leaf.Name))
			if placed.Service == id {
				replicas[leaf.Shard] = append(replicas[leaf.Shard], placed)
			}
		}
	}
	p.QueryLeaves = len(service.Shards)
	rng := rand.New(rand.NewPCG(placementSeed, 0))
	preferred, random, byInstance := 0, 0, 0
	for range sampledQueries {
		preferred += len(preferredHolders(rng, service.Shards, replicas))
		random += len(randomHolders(rng, service.Shards, replicas))
		byInstance += len(instanceHolders(rng, service.Shards, replicas))
	}
	p.QueryHolders = float64(preferred) / sampledQueries
	p.RandomHolders = float64(random) / sampledQueries
	p.InstanceHolders = float64(byInstance) / sampledQueries
}

// preferredHolders returns the hosts that a query calls if it ranks all hosts at random
// and chooses the first-ranked owner of any replica of each shard.
func preferredHolders(rng *rand.Rand, shards []string, replicas map[string][]placement.Leaf) map[string]bool {
	hosts := map[string]bool{}
	ranks := map[string]float64{}
	for _, shard := range shards {
		best, least := "", math.Inf(1)
		for _, leaf := range replicas[shard] {
			for _, share := range leaf.Shares {
				if _, ranked := ranks[share.Owner]; !ranked {
					ranks[share.Owner] = rng.Float64()
				}
				if ranks[share.Owner] < least {
					best, least = share.Owner, ranks[share.Owner]
				}
			}
		}
		hosts[best] = true
	}
	return hosts
}

// randomHolders returns the hosts that a query calls if it chooses a random replica of
// each shard and a random owner of each leaf.
func randomHolders(rng *rand.Rand, shards []string, replicas map[string][]placement.Leaf) map[string]bool {
	hosts := map[string]bool{}
	for _, shard := range shards {
		leaf := replicas[shard][rng.IntN(len(replicas[shard]))]
		hosts[leaf.Shares[rng.IntN(len(leaf.Shares))].Owner] = true
	}
	return hosts
}

// instanceHolders returns the hosts that a query calls if it reaches all leaves of an
// instance through one owner. The instances are replicas of each other.
func instanceHolders(rng *rand.Rand, shards []string, replicas map[string][]placement.Leaf) map[string]bool {
	hosts := map[string]bool{}
	owners := map[string]string{}
	replica := rng.IntN(len(replicas[shards[0]]))
	for _, shard := range shards {
		leaf := replicas[shard][replica%len(replicas[shard])]
		if owners[leaf.Group] == "" {
			owners[leaf.Group] = leaf.Shares[rng.IntN(len(leaf.Shares))].Owner
		}
		hosts[owners[leaf.Group]] = true
	}
	return hosts
}
