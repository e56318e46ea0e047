package node

import (
	"maps"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/blob"
	"github.com/redwingshelf/redwingshelf/internal/confsync"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/routing"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

const (
	blobConfig = "config"
	blobHosts  = "hosts"
)

// targetAddresses maps leaves and instances to base URLs. Addresses in the
// settings go before those of the host list.
type targetAddresses struct {
	fixed map[string]string
	// mu guards listed.
	mu     sync.RWMutex
	listed map[string]string
}

func newTargetAddresses(fixed map[string]string) *targetAddresses {
	return &targetAddresses{fixed: maps.Clone(fixed)}
}

func (t *targetAddresses) set(listed map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = listed
}

func (t *targetAddresses) lookup(names ...string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, addresses := range []map[string]string{t.fixed, t.listed} {
		for _, name := range names {
			if url, found := addresses[name]; found {
				return url, true
			}
		}
	}
	return "", false
}

// Address implements holder.Targets.
func (t *targetAddresses) Address(leaf *document.LeafEntry) (string, bool) {
	return t.lookup(leaf.Name, leaf.Instance.Name)
}

// Dial implements holder.Targets.
func (t *targetAddresses) Dial(address string, connections int) (target.Caller, error) {
	return target.NewHTTP(address, connections)
}

// differ makes and applies differences between revisions of a blob.
type differ struct{}

// Delta implements confsync.Differ. It returns nil if there is no difference to
// send, in which case the whole bytes are sent.
func (differ) Delta(from, to []byte) []byte {
	delta, err := document.Delta(from, to)
	if err != nil {
		return nil
	}
	return delta
}

// Apply implements confsync.Differ.
func (differ) Apply(from, delta []byte) ([]byte, error) { return document.Apply(from, delta) }

func (n *Node) syncPeer() confsync.Peer {
	return confsync.Peer{
		Name:        n.settings.Name,
		Address:     n.settings.PeerAdvertise,
		DataCentre:  n.settings.DataCentre,
		Incarnation: n.incarnation,
	}
}

func (n *Node) seeds() []string {
	var addresses []string
	for _, p := range n.settings.Peers {
		if p.Address != n.settings.PeerAdvertise {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func (n *Node) blobOptions(name, url string, check confsync.Check) blob.Options {
	return blob.Options{
		Sync: confsync.Options{
			Blob:      name,
			Self:      n.syncPeer(),
			Seeds:     n.seeds(),
			Check:     check,
			Differ:    differ{},
			FleetSize: len(n.settings.Peers),
		},
		URL:    url,
		Send:   n.pool.Send,
		Logger: n.logger,
		Scope:  n.scope.SubScope(name),
	}
}

func (n *Node) newConfigController() *blob.Controller {
	o := n.blobOptions(blobConfig, n.settings.ConfigurationService, n.checkDocument)
	o.OnAccepted = n.documentAccepted
	o.OnReady = func(confsync.BecameReady) { close(n.configReady) }
	return blob.New(o)
}

// checkDocument loads a document and keeps it until it is accepted.
func (n *Node) checkDocument(data []byte) (confsync.Identity, error) {
	loaded, err := document.Load(data)
	if err != nil {
		return confsync.Identity{}, err
	}
	n.checked = loaded
	return confsync.NewIdentity(loaded.Identity.Revision, loaded.Identity.Digest), nil
}

func (n *Node) documentAccepted(a confsync.Accepted) {
	loaded := n.checked
	n.checked = nil
	if loaded == nil || loaded.Identity.Digest != a.Identity.Digest {
		var err error
		loaded, err = document.Load(a.Bytes)
		if err != nil {
			n.logger.Error("accepted document can't be loaded", zap.Error(err))
			return
		}
	}
	n.holder.SetIndex(loaded.Index)
	n.permits.SetDocument(loaded)
	n.table.SetDocument(loaded)
	n.announce()
	debug.FreeOSMemory()
}

func (n *Node) newHostsController() *blob.Controller {
	o := n.blobOptions(blobHosts, n.settings.HostList, checkHosts)
	o.OnAccepted = n.hostsAccepted
	o.OnReady = func(confsync.BecameReady) { close(n.hostsReady) }
	o.OnConfirmed = n.hostsConfirmed
	return blob.New(o)
}

func checkHosts(data []byte) (confsync.Identity, error) {
	list, err := hostlist.Parse(data)
	if err != nil {
		return confsync.Identity{}, err
	}
	return confsync.NewIdentity(list.Revision, hostlist.Digest(data)), nil
}

func (n *Node) hostsAccepted(a confsync.Accepted) {
	list, err := hostlist.Parse(a.Bytes)
	if err != nil {
		n.logger.Error("accepted host list can't be read", zap.Error(err))
		return
	}
	n.targets.set(list.Targets)
	n.holder.Refresh()
	if err := n.table.SetHosts(list); err != nil {
		n.logger.Error("host list can't be placed on", zap.Error(err))
		return
	}
	n.hostList = list
	n.hostsConfirmed()
	n.fleet.SetHosts(memberHosts(list))
	n.announce()
	debug.FreeOSMemory()
}

// hostsConfirmed passes the host list in force to the shares, when it comes in
// force and when the platform has named it again.
func (n *Node) hostsConfirmed() {
	if n.hostList == nil {
		return
	}
	if err := n.permits.SetHosts(n.hostList.Revision, routing.PlacementHosts(n.hostList)); err != nil {
		n.logger.Error("host list can't divide the shares", zap.Error(err))
	}
}
