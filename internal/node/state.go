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
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/routing"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

const (
	blobConfig = "config"
	blobHosts  = "hosts"
)

const (
	// leafAnswerBytes bounds the answers of leaves that a host receives at the same time, and
	// leafAnswerRatio is the fraction of the memory for data that they may take.
	leafAnswerBytes = 64 << 20
	leafAnswerRatio = 0.25
)

// targetAddresses maps leaves and instances to base URLs. Addresses in the
// settings take precedence over those in the host list.
type targetAddresses struct {
	fromSettings map[string]string
	// answers bounds the memory for answers of leaves that are being received.
	answers *memlimit.Memory
	// mu guards fromHostList.
	mu           sync.RWMutex
	fromHostList map[string]string
}

func newTargetAddresses(fromSettings map[string]string, dataBytes int64) *targetAddresses {
	limit := int64(leafAnswerBytes)
	if dataBytes > 0 {
		limit = min(limit, int64(leafAnswerRatio*float64(dataBytes)))
	}
	return &targetAddresses{fromSettings: maps.Clone(fromSettings), answers: memlimit.New(limit)}
}

func (t *targetAddresses) set(fromHostList map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fromHostList = fromHostList
}

func (t *targetAddresses) lookup(names ...string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, addresses := range []map[string]string{t.fromSettings, t.fromHostList} {
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
	return target.NewHTTP(address, connections, t.answers)
}

// differ computes and applies deltas between revisions of a blob.
type differ struct{}

// Delta implements confsync.Differ. It returns nil if no delta can be computed, in
// which case the whole blob is sent.
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

// checkDocument loads a document and keeps it for documentAccepted.
func (n *Node) checkDocument(data []byte) (confsync.Identity, error) {
	loaded, err := document.Load(data)
	if err != nil {
		return confsync.Identity{}, err
	}
	n.lastChecked = loaded
	return confsync.NewIdentity(loaded.Identity.Revision, loaded.Identity.Digest), nil
}

func (n *Node) documentAccepted(a confsync.Accepted) {
	loaded := n.lastChecked
	n.lastChecked = nil
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
		n.logger.Error("host list can't be used for placement", zap.Error(err))
		return
	}
	n.hostList = list
	n.hostsConfirmed()
	n.fleet.SetHosts(memberHosts(list))
	n.announce()
	debug.FreeOSMemory()
}

// hostsConfirmed passes the host list in force to the share controller, both when
// it comes into force and when a later read of the list finds no newer revision.
func (n *Node) hostsConfirmed() {
	if n.hostList == nil {
		return
	}
	if err := n.permits.SetHosts(n.hostList.Revision, routing.PlacementHosts(n.hostList)); err != nil {
		n.logger.Error("host list can't be used to divide the shares", zap.Error(err))
	}
}
