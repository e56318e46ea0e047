package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/hostlist"
	"github.com/redwingshelf/redwingshelf/internal/settings"
	"github.com/redwingshelf/redwingshelf/internal/standin"
)

const (
	// cellSize is the number of hosts in each cell; the last cell may have fewer.
	cellSize = 6
	// statusInterval is the interval between status requests to one node.
	statusInterval = 50 * time.Millisecond
	waitTimeout    = 60 * time.Second
	balancerLag    = 200 * time.Millisecond
	httpPort       = 7080
	opsPort        = 7081
	peerPort       = 7082
	// unusedTargetURL is the target address of every instance; no request is sent to
	// it.
	unusedTargetURL = "http://127.0.0.1:1"
)

// fleet is a set of node processes and the stand-in for the platform that they read.
type fleet struct {
	options  *Options
	dir      string
	platform *standin.Platform
	doc      *document.Document
	hosts    hostlist.List
	nodes    []*process
	size     Size
	// restarts counts the restarts of nodes.
	restarts int
}

// Size is the size of a fleet, its document and its host list.
type Size struct {
	Nodes         int `json:"nodes"`
	Leaves        int `json:"leaves"`
	DocumentBytes int `json:"document_bytes"`
	HostListBytes int `json:"host_list_bytes"`
}

// newFleet prepares n nodes, without starting them, and publishes a document with about
// the given number of leaves.
func newFleet(o *Options, n, leaves int) (*fleet, error) {
	f := &fleet{options: o, size: Size{Nodes: n}}
	var err error
	if f.doc, err = newDocument(leaves); err != nil {
		return nil, err
	}
	if f.dir, err = os.MkdirTemp("", "redwingshelf-capacity"); err != nil {
		return nil, fmt.Errorf("create directory for settings: %w", err)
	}
	if f.platform, err = standin.NewPlatform(); err != nil {
		return nil, errors.Join(err, f.close())
	}
	if err := f.addNodes(n); err != nil {
		return nil, errors.Join(err, f.close())
	}
	if err := f.publish(); err != nil {
		return nil, errors.Join(err, f.close())
	}
	f.publishHosts()
	return f, nil
}

// newDocument returns the document that document.FleetSpec describes, scaled to about
// the given number of leaves.
func newDocument(leaves int) (*document.Document, error) {
	spec := document.FleetSpec()
	total := 0
	for _, d := range spec.Deployments {
		for _, s := range d.Services {
			total += s.Instances * s.LeavesPerInstance
		}
	}
	for _, d := range spec.Deployments {
		for i := range d.Services {
			s := &d.Services[i]
			s.Instances = max(1, s.Instances*leaves/total)
			s.Shards = max(s.LeavesPerInstance, s.Shards*leaves/total)
		}
	}
	return document.Generate(spec)
}

func (f *fleet) addNodes(n int) error {
	f.hosts.Targets = map[string]string{}
	for _, d := range f.doc.Deployments {
		for _, s := range d.Services {
			for _, instance := range s.Instances {
				f.hosts.Targets[instance.Name] = unusedTargetURL
			}
		}
	}
	var all []*settings.Settings
	for i := range n {
		s := f.newSettings(i)
		all = append(all, s)
		f.hosts.Hosts = append(f.hosts.Hosts, hostlist.Host{
			Name:        s.Name,
			Address:     s.PeerListen,
			HTTPAddress: s.HTTPListen,
			DataCentre:  s.DataCentre,
			Region:      f.region(s.DataCentre),
			Cell:        s.Cell,
			State:       hostlist.StateLive,
		})
	}
	var peers []settings.Peer
	for _, s := range all {
		peers = append(peers, settings.Peer{Name: s.Name, Address: s.PeerListen, OpsAddress: s.OpsListen})
	}
	for _, s := range all {
		s.Peers = peers
		p, err := newProcess(f.dir, s)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, p)
	}
	return nil
}

// newSettings returns the settings of host i. Each host has a loopback address of
// its own. Cells are assigned to regions in rotation, and the hosts of a cell to the
// data centres of its region.
func (f *fleet) newSettings(i int) *settings.Settings {
	cell := i / cellSize
	centres := f.regionCentres(cell)
	const firstNetwork, networks, hostsPerNetwork = 64, 128, 250
	ip := fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, i/hostsPerNetwork, i%hostsPerNetwork+1)
	s := settings.Defaults()
	s.Name = fmt.Sprintf("host-%03d", i)
	s.DataCentre = centres[i%len(centres)]
	s.Cell = fmt.Sprintf("cell-%02d", cell)
	s.HTTPListen = fmt.Sprintf("%s:%d", ip, httpPort)
	s.OpsListen = fmt.Sprintf("%s:%d", ip, opsPort)
	s.PeerListen = fmt.Sprintf("%s:%d", ip, peerPort)
	s.PeerAdvertise = s.PeerListen
	s.ConfigurationService = f.platform.URL() + standin.PathConfig
	s.HostList = f.platform.URL() + standin.PathHosts
	s.Stop.BalancerLagMS = int(balancerLag / time.Millisecond)
	s.Targets = settings.Targets{}
	return s
}

// regionCentres returns the names of the data centres in the region of a cell.
func (f *fleet) regionCentres(cell int) []string {
	regions := map[string][]string{}
	var order []string
	for _, dc := range f.doc.DataCentres {
		if regions[dc.Region] == nil {
			order = append(order, dc.Region)
		}
		regions[dc.Region] = append(regions[dc.Region], dc.Name)
	}
	return regions[order[cell%len(order)]]
}

func (f *fleet) region(centre string) string {
	for _, dc := range f.doc.DataCentres {
		if dc.Name == centre {
			return dc.Region
		}
	}
	return ""
}

// publish publishes the document on the platform.
func (f *fleet) publish() error {
	data, err := document.Encode(f.doc)
	if err != nil {
		return err
	}
	f.size.DocumentBytes = len(data)
	f.size.Leaves = document.NewIndex(f.doc).NumLeaves()
	f.platform.SetDocument(f.doc.Revision, data)
	return nil
}

// changeDocument publishes the next revision of the document, with another leaf marked
// as leaving.
func (f *fleet) changeDocument() error {
	f.doc.Revision++
	service := f.doc.Deployments[0].Services[0]
	instance := service.Instances[int(f.doc.Revision)%len(service.Instances)]
	f.doc.LeavingLeaves = []string{instance.Leaves[0].Name}
	return f.publish()
}

func (f *fleet) publishHosts() {
	f.hosts.Revision++
	f.size.HostListBytes = len(f.hosts.Encode())
	f.platform.SetHosts(f.hosts)
}

// changeHosts publishes the next revision of the host list, with the state of the last
// host changed between live and leaving.
func (f *fleet) changeHosts() {
	hosts := append([]hostlist.Host(nil), f.hosts.Hosts...)
	last := &hosts[len(hosts)-1]
	if last.State == hostlist.StateLive {
		last.State = hostlist.StateLeaving
	} else {
		last.State = hostlist.StateLive
	}
	f.hosts.Hosts = hosts
	f.publishHosts()
}

// startAll starts all nodes without waiting until they are ready.
func (f *fleet) startAll() error {
	for _, p := range f.nodes {
		if err := p.start(f.options.NodeBinary); err != nil {
			return err
		}
	}
	return nil
}

// await polls the given nodes until each has met a condition, and returns the time at
// which the last one did.
func (f *fleet) await(ctx context.Context, nodes []*process, what string, met func(p *process) bool) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(nodes))
	for i, p := range nodes {
		wg.Go(func() { errs[i] = awaitNode(ctx, p, what, met) })
	}
	wg.Wait()
	return time.Now(), errors.Join(errs...)
}

func awaitNode(ctx context.Context, p *process, what string, met func(p *process) bool) error {
	for !met(p) {
		if !p.running() {
			return fmt.Errorf("node %s exited: %s", p.settings.Name, p.output.String())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting for node %s to be %s", p.settings.Name, what)
		case <-time.After(statusInterval):
		}
	}
	return nil
}

func isReady(p *process) bool {
	s, err := p.status()
	return err == nil && s.State == "ready"
}

// inForce returns the condition that a revision of the document, or a later one, is in
// force on a node.
func inForce(revision uint64) func(p *process) bool {
	return func(p *process) bool {
		s, err := p.status()
		return err == nil && s.Revision >= revision
	}
}

// restartNode restarts a node of the last cell, each in turn. Every fourth restart
// kills the process; the others stop it gracefully.
func (f *fleet) restartNode() error {
	const killEvery = 4
	first := max(0, len(f.nodes)-cellSize)
	p := f.nodes[first+f.restarts%(len(f.nodes)-first)]
	if f.restarts%killEvery == killEvery-1 {
		p.kill()
	} else {
		p.stop()
	}
	f.restarts++
	p.restarted = true
	return p.start(f.options.NodeBinary)
}

// close kills all processes, closes the platform and removes the settings.
func (f *fleet) close() error {
	var wg sync.WaitGroup
	for _, p := range f.nodes {
		wg.Go(p.kill)
	}
	wg.Wait()
	if f.platform != nil {
		f.platform.Close()
	}
	return os.RemoveAll(f.dir)
}
