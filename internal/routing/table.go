// Package routing maps each leaf to the hosts that hold shares of it, as derived
// from the document and the host list in force.
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
// use; lookups take no lock.
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

// view is one consistent state of the table. It is immutable.
type view struct {
	index   *document.Index
	holders map[string][]entry.Host
	// addresses maps the hosts of the list to their peer addresses, and hostByAddress
	// is its inverse.
	addresses     map[string]string
	hostByAddress map[string]string
	peerAddresses []string
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

// SetDown replaces the set of hosts that are not known to be alive, and the set of
// those that are known to be dead.
func (t *Table) SetDown(down, dead map[string]bool) {
	t.down.Store(&down)
	t.dead.Store(&dead)
}

// Address returns the peer address of a host in the list in force.
func (t *Table) Address(host string) (string, bool) {
	address, found := t.view.Load().addresses[host]
	return address, found
}

// HostAt returns the host that has a peer address in the list in force.
func (t *Table) HostAt(address string) (string, bool) {
	host, found := t.view.Load().hostByAddress[address]
	return host, found
}

// PeerHosts returns the names of the other hosts that are live in the list and not
// known to be dead.
func (t *Table) PeerHosts() []string {
	var names []string
	for _, address := range t.view.Load().peerAddresses {
		if host, found := t.HostAt(address); found && !(*t.dead.Load())[host] {
			names = append(names, host)
		}
	}
	return names
}

// PeerAddresses returns the peer addresses of the other hosts that are live in the
// list, in its order.
func (t *Table) PeerAddresses() []string { return t.view.Load().peerAddresses }

// rebuild derives a new view. The caller holds mu.
func (t *Table) rebuild() {
	v := &view{
		holders:       map[string][]entry.Host{},
		addresses:     map[string]string{},
		hostByAddress: map[string]string{},
	}
	if t.list != nil {
		t.indexHosts(v)
	}
	if t.loaded != nil {
		v.index = t.loaded.Index
	}
	if t.loaded != nil && t.planner != nil {
		t.placeLeaves(v)
	}
	t.view.Store(v)
}

// indexHosts fills the addresses of v. The caller holds mu.
func (t *Table) indexHosts(v *view) {
	for _, h := range t.list.Hosts {
		v.addresses[h.Name] = h.Address
		v.hostByAddress[h.Address] = h.Name
		if h.Name != t.self && h.State == hostlist.StateLive {
			v.peerAddresses = append(v.peerAddresses, h.Address)
		}
	}
}

// placeLeaves fills the holders of v. The caller holds mu.
func (t *Table) placeLeaves(v *view) {
	plan := t.planner.Plan(t.loaded.Document)
	for id := range document.LeafID(v.index.NumLeaves()) {
		v.holders[v.index.Leaf(id).Name] = t.leafHolders(v, plan.Leaves[id])
	}
}

// leafHolders returns the holders of a leaf, owners before deputies. If hosts have
// static shares of the leaf and this host owns one, it is the only holder, so that the
// entry calls the leaf itself. The caller holds mu.
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

// holderAddress returns the peer address of a host, or the empty string for this
// host.
func (t *Table) holderAddress(v *view, host string) string {
	if host == t.self {
		return ""
	}
	return v.addresses[host]
}
