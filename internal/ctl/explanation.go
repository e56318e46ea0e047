package ctl

import (
	"fmt"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// maxFindings bounds how many findings explain lists.
const maxFindings = 50

// explanation is the output of explain.
type explanation struct {
	Identity document.Identity  `json:"identity"`
	Services []explainedService `json:"services"`
	Hosts    []explainedHost    `json:"hosts"`
	// Leaves is set only with --leaves.
	Leaves   []explainedLeaf `json:"leaves,omitempty"`
	Findings []string        `json:"findings,omitempty"`
	// Omitted counts findings beyond those listed.
	Omitted int `json:"omitted,omitempty"`
}

// explainedService summarizes the leaves of one service.
type explainedService struct {
	Customer  string `json:"customer"`
	Service   string `json:"service"`
	Shards    int    `json:"shards"`
	Instances int    `json:"instances"`
	Leaves    int    `json:"leaves"`
	// Slots and Connections are the limits of each leaf.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	ColdSlots   int `json:"cold_slots"`
	// WorstSlots and WorstConnections are the greatest worst cases of any leaf.
	WorstSlots       int `json:"worst_slots"`
	WorstConnections int `json:"worst_connections"`
	// MinShares and MaxShares are the smallest and greatest number of shares of a leaf.
	MinShares int `json:"min_shares"`
	MaxShares int `json:"max_shares"`
	// Coverage holds the number of shards served under the document, followed by
	// the number served if each data centre in turn is lost.
	Coverage []dataCentreCoverage `json:"coverage"`
}

// dataCentreCoverage counts the shards that have a leaf accepting work.
type dataCentreCoverage struct {
	// Without is the data centre that is lost in addition; empty if none is.
	Without string `json:"without,omitempty"`
	Shards  int    `json:"shards"`
}

// explainedHost summarizes the shares of one host.
type explainedHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Cell       string `json:"cell"`
	// Shares, Slots and Connections count what the host owns.
	Shares      int `json:"shares"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// DeputyShares and DeputyConnections count what the host may take over as a
	// deputy.
	DeputyShares      int `json:"deputy_shares"`
	DeputyConnections int `json:"deputy_connections"`
}

// explainedLeaf lists the shares of one leaf.
type explainedLeaf struct {
	Leaf             string           `json:"leaf"`
	Shard            string           `json:"shard"`
	DataCentre       string           `json:"data_centre"`
	WorstSlots       int              `json:"worst_slots"`
	WorstConnections int              `json:"worst_connections"`
	Shares           []explainedShare `json:"shares"`
}

// explainedShare is one share of a leaf.
type explainedShare struct {
	Owner             string `json:"owner"`
	Deputy            string `json:"deputy,omitempty"`
	Slots             int    `json:"slots"`
	Connections       int    `json:"connections"`
	DeputyConnections int    `json:"deputy_connections,omitempty"`
}

// explain places a document on model hosts and summarizes the result.
func explain(loaded *document.Loaded, options *explainOptions) (*explanation, error) {
	hosts := modelHosts(loaded.Document, options.hosts, options.cells)
	planner, err := placement.NewPlanner(hosts)
	if err != nil {
		return nil, err
	}
	e := &explainer{
		index:      loaded.Index,
		table:      planner.Plan(loaded.Document),
		result:     &explanation{Identity: loaded.Identity},
		hosts:      make(map[string]*explainedHost, len(hosts)),
		showLeaves: options.leaves,
	}
	e.addHosts(planner.Hosts())
	for _, service := range loaded.Index.Services() {
		e.addService(service, loaded.Document.DataCentres)
	}
	return e.result, nil
}

// explainer builds an explanation.
type explainer struct {
	index      *document.Index
	table      *placement.Table
	result     *explanation
	hosts      map[string]*explainedHost
	showLeaves bool
}

func (e *explainer) addHosts(hosts []placement.Host) {
	e.result.Hosts = make([]explainedHost, len(hosts))
	for i, host := range hosts {
		e.result.Hosts[i] = explainedHost{Name: host.Name, DataCentre: host.DataCentre, Cell: host.Cell}
		e.hosts[host.Name] = &e.result.Hosts[i]
	}
}

func (e *explainer) addService(service *document.ServiceEntry, dataCentres []document.DataCentre) {
	summary := explainedService{
		Customer:    service.Customer,
		Service:     service.Name,
		Shards:      len(service.Shards),
		Instances:   len(service.Instances),
		Leaves:      len(service.Leaves),
		Slots:       service.Limits.Slots,
		Connections: service.Limits.Connections,
		ColdSlots:   service.Limits.ColdSlots,
		Coverage:    []dataCentreCoverage{{Shards: e.servedShards(service, "")}},
	}
	for _, dc := range dataCentres {
		summary.Coverage = append(summary.Coverage, dataCentreCoverage{
			Without: dc.Name,
			Shards:  e.servedShards(service, dc.Name),
		})
	}
	if served := summary.Coverage[0].Shards; served < summary.Shards {
		e.addFinding("service %q of %q: %d of %d shards have no leaf that accepts work",
			summary.Service, summary.Customer, summary.Shards-served, summary.Shards)
	}
	for i, id := range service.Leaves {
		worst := e.addLeaf(e.index.Leaf(id))
		shares := len(worst.Leaf.Shares)
		summary.WorstSlots = max(summary.WorstSlots, worst.WorstSlots)
		summary.WorstConnections = max(summary.WorstConnections, worst.WorstConnections)
		summary.MaxShares = max(summary.MaxShares, shares)
		if i == 0 || shares < summary.MinShares {
			summary.MinShares = shares
		}
	}
	e.result.Services = append(e.result.Services, summary)
}

// servedShards counts the shards with a leaf that accepts work and is not in
// the lost data centre.
func (e *explainer) servedShards(service *document.ServiceEntry, lost string) int {
	served := 0
	for _, shard := range service.Shards {
		for _, id := range shard.Replicas {
			leaf := e.index.Leaf(id)
			if leaf.AcceptsWork() && leaf.DataCentre() != lost {
				served++
				break
			}
		}
	}
	return served
}

// addLeaf adds the shares of a leaf to the totals of its hosts and returns its worst
// case.
func (e *explainer) addLeaf(leaf *document.LeafEntry) placement.Explanation {
	service := leaf.Service
	worst, err := e.table.ExplainLeaf(placement.LeafID(service.Customer, service.Name, leaf.Instance.Name, leaf.Name))
	if err != nil || len(worst.Leaf.Shares) == 0 {
		e.addFinding("leaf %q has no holder", leaf.Name)
		return worst
	}
	if !worst.WithinLimits() {
		e.addFinding("leaf %q: worst case of %d slots and %d connections exceeds the limits of %d and %d",
			leaf.Name, worst.WorstSlots, worst.WorstConnections, service.Limits.Slots, service.Limits.Connections)
	}
	explained := explainedLeaf{
		Leaf:             leaf.Name,
		Shard:            leaf.ShardName(),
		DataCentre:       leaf.DataCentre(),
		WorstSlots:       worst.WorstSlots,
		WorstConnections: worst.WorstConnections,
	}
	for _, share := range worst.Leaf.Shares {
		e.addShare(share)
		explained.Shares = append(explained.Shares, explainedShare(share))
	}
	if e.showLeaves {
		e.result.Leaves = append(e.result.Leaves, explained)
	}
	return worst
}

func (e *explainer) addShare(share placement.Share) {
	owner := e.hosts[share.Owner]
	owner.Shares++
	owner.Slots += share.Slots
	owner.Connections += share.Connections
	if share.Deputy == "" {
		return
	}
	deputy := e.hosts[share.Deputy]
	deputy.DeputyShares++
	deputy.DeputyConnections += share.DeputyConnections
}

func (e *explainer) addFinding(format string, args ...any) {
	if len(e.result.Findings) >= maxFindings {
		e.result.Omitted++
		return
	}
	e.result.Findings = append(e.result.Findings, fmt.Sprintf(format, args...))
}
