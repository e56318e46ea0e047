// Package demo runs a small site in one process: stand-ins for the platform and for
// the leaves of a document, and nodes. It backs the demo and load experiments.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/node"
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

const (
	// DefaultEntries is the number of entries in the index of each service.
	DefaultEntries = 1000
	readyTimeout   = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// errUnserved reports that a node does not answer searches of a service in time.
var errUnserved = errors.New("service does not answer searches")

// Options describe a site.
type Options struct {
	Document *document.Document
	// Nodes is the number of nodes, which are assigned to the data centres
	// round-robin.
	Nodes int
	// Leaf is the template of every leaf. Name, shard, limits and seed are set per
	// leaf.
	Leaf standin.LeafOptions
	// Entries is the number of entries in the index of each service.
	Entries int
	// Targets, if set, gives the base URLs of leaves that run elsewhere. The site
	// then starts no leaves.
	Targets map[string]string
	// AllowUnserved lets Start succeed even if a node does not answer searches of a
	// service in time, as may happen under baseline policies.
	AllowUnserved bool
	Logger        *zap.Logger
	Seed          uint64
}

// Site is a running site.
type Site struct {
	options  Options
	platform *standin.Platform
	leaves   []*leaf
	nodes    []*Host
	cancel   context.CancelFunc
	group    *errgroup.Group
	watch    *takenOutWatch

	// mu guards doc, services and sequence.
	mu       sync.Mutex
	doc      *document.Document
	services map[string]*standin.Snapshot
	sequence int
}

// Host is one node of a site.
type Host struct {
	settings *settings.Settings
	node     *node.Node
}

// Name returns the name of the host.
func (h *Host) Name() string { return h.settings.Name }

// Address returns the callers' address of the host.
func (h *Host) Address() string { return h.settings.HTTPListen }

// OpsAddress returns the operators' address of the host.
func (h *Host) OpsAddress() string { return h.settings.OpsListen }

// leaf is a stand-in leaf with what the document says about it.
type leaf struct {
	*standin.Leaf
	service    string
	instance   string
	dataCentre string
	limits     document.LeafLimits
}

// Start starts a site and waits until its nodes serve every service.
func Start(ctx context.Context, o Options) (*Site, error) {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Entries == 0 {
		o.Entries = DefaultEntries
	}
	s := &Site{options: o, doc: o.Document, services: map[string]*standin.Snapshot{}, sequence: 1, watch: newTakenOutWatch()}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	platform, err := standin.NewPlatform()
	if err != nil {
		return err
	}
	s.platform = platform
	hosts := hostlist.List{Revision: 1, Targets: s.options.Targets}
	if hosts.Targets == nil {
		hosts.Targets = map[string]string{}
		if err := s.startLeaves(&hosts); err != nil {
			return err
		}
	}
	if err := s.publish(); err != nil {
		return err
	}
	if err := s.makeNodes(&hosts); err != nil {
		return err
	}
	platform.SetHosts(hosts)
	s.runNodes()
	err = s.waitReady(ctx)
	if s.options.AllowUnserved && errors.Is(err, errUnserved) {
		return nil
	}
	return err
}

func (s *Site) startLeaves(hosts *hostlist.List) error {
	index := document.NewIndex(s.doc)
	for id := range document.LeafID(index.NumLeaves()) {
		entry := index.Leaf(id)
		o := s.options.Leaf
		o.Name = entry.Name
		o.Shard = entry.Shard
		o.Slots = entry.Service.Limits.Slots
		o.Connections = entry.Service.Limits.Connections
		o.ColdSlots = entry.Service.Limits.ColdSlots
		o.WarmAfter = entry.Service.Limits.WarmAfter
		o.Seed = s.options.Seed + uint64(id)
		started, err := standin.NewLeaf(o, s.snapshotOf(entry.Service))
		if err != nil {
			return err
		}
		s.leaves = append(s.leaves, &leaf{
			Leaf:       started,
			service:    serviceKey(entry.Service),
			instance:   entry.Instance.Name,
			dataCentre: entry.DataCentre(),
			limits:     entry.Service.Limits,
		})
		hosts.Targets[entry.Name] = started.URL()
	}
	return nil
}

func serviceKey(s *document.ServiceEntry) string { return s.Customer + "/" + s.Name }

// snapshotOf returns the snapshot of a service, and creates the first one.
func (s *Site) snapshotOf(service *document.ServiceEntry) *standin.Snapshot {
	key := serviceKey(service)
	if s.services[key] == nil {
		name := fmt.Sprintf("%d-%s", s.sequence, service.Name)
		s.services[key] = standin.NewSnapshot(name, s.options.Entries, len(service.Shards))
	}
	return s.services[key]
}

// publish publishes the site's document through the stand-in platform.
func (s *Site) publish() error {
	data, err := document.Encode(s.doc)
	if err != nil {
		return err
	}
	s.platform.SetDocument(s.doc.Revision, data)
	return nil
}

// makeNodes creates the nodes with open listeners and adds them to the host list.
func (s *Site) makeNodes(hosts *hostlist.List) error {
	const addressesPerNode = 3
	addresses, err := freeAddresses(s.options.Nodes * addressesPerNode)
	if err != nil {
		return err
	}
	var all []*settings.Settings
	for i := range s.options.Nodes {
		centre := s.doc.DataCentres[i%len(s.doc.DataCentres)]
		cfg := s.newSettings(i, centre.Name, addresses[i*addressesPerNode:])
		all = append(all, cfg)
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{
			Name:        cfg.Name,
			Address:     cfg.PeerListen,
			HTTPAddress: cfg.HTTPListen,
			DataCentre:  centre.Name,
			Region:      centre.Region,
			Cell:        cfg.Cell,
			State:       hostlist.StateLive,
		})
	}
	var peers []settings.Peer
	for _, cfg := range all {
		peers = append(peers, settings.Peer{Name: cfg.Name, Address: cfg.PeerListen, OpsAddress: cfg.OpsListen})
	}
	for _, cfg := range all {
		cfg.Peers = peers
		n, err := newNode(cfg, s.options.Logger)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, &Host{settings: cfg, node: n})
	}
	return nil
}

func (s *Site) newSettings(i int, centre string, addresses []string) *settings.Settings {
	cfg := settings.Defaults()
	cfg.Name = fmt.Sprintf("%s-%d", centre, i/len(s.doc.DataCentres)+1)
	cfg.DataCentre = centre
	cfg.HTTPListen = addresses[0]
	cfg.OpsListen = addresses[1]
	cfg.PeerListen = addresses[2]
	cfg.PeerAdvertise = cfg.PeerListen
	cfg.ConfigurationService = s.platform.URL() + standin.PathConfig
	cfg.HostList = s.platform.URL() + standin.PathHosts
	cfg.Stop.BalancerLagMS = 0
	return cfg
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (s *Site) runNodes() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group = new(errgroup.Group)
	for _, h := range s.nodes {
		s.group.Go(func() error { return h.node.Run(ctx, nil) })
	}
}

// waitReady waits until every node answers a search of every service.
func (s *Site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, h := range s.nodes {
		for _, service := range document.NewIndex(s.doc).Services() {
			group.Go(func() error { return waitServed(ctx, h, service) })
		}
	}
	return group.Wait()
}

func waitServed(ctx context.Context, h *Host, service *document.ServiceEntry) error {
	url := fmt.Sprintf("http://%s/v1/customers/%s/services/%s/search", h.Address(), service.Customer, service.Name)
	status := 0
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			status = response.StatusCode
		}
		if status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s at host %s, last status %d", errUnserved, serviceKey(service), h.Name(), status)
		case <-time.After(pollInterval):
		}
	}
}

// Hosts returns the nodes of the site.
func (s *Site) Hosts() []*Host { return slices.Clone(s.nodes) }

// Addresses returns the callers' addresses of the nodes.
func (s *Site) Addresses() []string {
	var addresses []string
	for _, h := range s.nodes {
		addresses = append(addresses, h.Address())
	}
	return addresses
}

// PlatformURL returns the base URL of the stand-in platform.
func (s *Site) PlatformURL() string { return s.platform.URL() }

// Leaves returns the number of stand-in leaves.
func (s *Site) Leaves() int { return len(s.leaves) }

// Close stops the nodes and closes the stand-ins.
func (s *Site) Close() error {
	var err error
	if s.cancel != nil {
		s.cancel()
		err = s.group.Wait()
	}
	for _, l := range s.leaves {
		l.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
	return err
}
