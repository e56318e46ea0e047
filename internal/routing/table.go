// Package routing keeps the node's view of which hosts hold shares of which
// leaves, derived from the document and the host list in force.
package routing

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// Table is the routing state of one node. Its methods are safe for concurrent
// use; look-ups take no lock.
type Table struct {
	self string
	// mu guards the fields below and serializes updates of view.
	mu      sync.Mutex
	loaded  *document.Loaded
	list    *hostlist.List
	planner *placement.Planner
	view    atomic.Pointer[view]
	down    atomic.Pointer[map[string]bool]
	dead    atomic.Pointer[map[string]bool]
}

// view is one consistent state of the table. It is never changed.
type view struct {
	index   *document.Index
	holders map[string][]entry.Host
	// addresses maps the hosts of the list to their peer addresses.
	addresses map[string]string
	hosts     map[string]string
	peers     []string
}

// New returns the table of the named host without a document.
func New(self string) *Table {
	t := &Table{self: self}
	t.view.Store(&view{})
	t.SetDown(nil, nil)
	return t
}

// SetDocument puts a document in force.
func (t *Table) SetDocument(loaded *document.Loaded) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = loaded
	t.rebuild()
}

// SetHosts puts a host list in force.
func (t *Table) SetHosts(list *hostlist.List) error {
	planner, err := placement.NewPlanner(PlacementHosts(list))
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = list
	t.planner = planner
	t.rebuild()
	return nil
}

// PlacementHosts returns the hosts of a list in the form that placement uses.
func PlacementHosts(list *hostlist.List) []placement.Host {
	hosts := make([]placement.Host, len(list.Hosts))
	for i, h := range list.Hosts {
		hosts[i] = placement.Host{
			Name:       h.Name,
			DataCentre: h.DataCentre,
			Region:     h.Region,
			Cell:       h.Cell,
			Weight:     h.Weight,
			Leaving:    h.State == hostlist.StateLeaving,
		}
	}
	return hosts
}

// Index implements entry.Router.
func (t *Table) Index() *document.Index { return t.view.Load().index }

// Holders implements entry.Router.
func (t *Table) Holders(leaf string) []entry.Host { return t.view.Load().holders[leaf] }

// Down implements entry.Router.
func (t *Table) Down(host string) bool { return (*t.down.Load())[host] }

// SetDown replaces the sets of hosts that are not known to serve, and of those
// that are known to be dead.
func (t *Table) SetDown(down, dead map[string]bool) {
	t.down.Store(&down)
	t.dead.Store(&dead)
}

// Address returns the peer address of a host in the list in force.
func (t *Table) Address(host string) (string, bool) {
	address, found := t.view.Load().addresses[host]
	return address, found
}

// HostAt returns the host with a peer address in the list in force.
func (t *Table) HostAt(address string) (string, bool) {
	host, found := t.view.Load().hosts[address]
	return host, found
}

// PeerHosts returns the names of the other hosts of the list that are not known
// to be dead.
func (t *Table) PeerHosts() []string {
	var names []string
	for _, address := range t.view.Load().peers {
		if host, found := t.HostAt(address); found && !(*t.dead.Load())[host] {
			names = append(names, host)
		}
	}
	return names
}

// PeerAddresses returns the peer addresses of the other hosts that are live, in
// the order of the list.
func (t *Table) PeerAddresses() []string { return t.view.Load().peers }

// rebuild needs mu.
func (t *Table) rebuild() {
	v := &view{
		holders:   map[string][]entry.Host{},
		addresses: map[string]string{},
		hosts:     map[string]string{},
	}
	if t.list != nil {
		t.listHosts(v)
	}
	if t.loaded != nil {
		v.index = t.loaded.Index
	}
	if t.loaded != nil && t.planner != nil {
		t.place(v)
	}
	t.view.Store(v)
}

// listHosts needs mu.
func (t *Table) listHosts(v *view) {
	for _, h := range t.list.Hosts {
		v.addresses[h.Name] = h.Address
		v.hosts[h.Address] = h.Name
		if h.Name != t.self && h.State == hostlist.StateLive {
			v.peers = append(v.peers, h.Address)
		}
	}
}

// place needs mu.
func (t *Table) place(v *view) {
	plan := t.planner.Plan(t.loaded.Document)
	for id := range document.LeafID(v.index.NumLeaves()) {
		v.holders[v.index.Leaf(id).Name] = t.leafHolders(v, plan.Leaves[id])
	}
}

// leafHolders needs mu. A leaf with a static share for each host is called by
// the entry itself.
func (t *Table) leafHolders(v *view, leaf placement.Leaf) []entry.Host {
	var holders, deputies []entry.Host
	for _, share := range leaf.Shares {
		owner := entry.Host{Name: share.Owner, Address: t.holderAddress(v, share.Owner), Slots: share.Slots}
		if leaf.Direct && share.Owner == t.self {
			return []entry.Host{owner}
		}
		holders = append(holders, owner)
		if share.Deputy != "" {
			deputies = append(deputies, entry.Host{
				Name:    share.Deputy,
				Address: t.holderAddress(v, share.Deputy),
				Slots:   share.Slots,
				Deputy:  true,
			})
		}
	}
	for _, deputy := range deputies {
		if !slices.ContainsFunc(holders, func(h entry.Host) bool { return h.Name == deputy.Name }) {
			holders = append(holders, deputy)
		}
	}
	return holders
}

// holderAddress returns the peer address of a host, empty for this one.
func (t *Table) holderAddress(v *view, host string) string {
	if host == t.self {
		return ""
	}
	return v.addresses[host]
}
