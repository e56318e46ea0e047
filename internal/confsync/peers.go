package confsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

// peerSet holds the alive peers and whether they can read the service.
type peerSet struct {
	blob string
	self Peer
	list []Peer
	// local holds the peers of this node's data centre, ordered by rank.
	local []Peer
	// incarnations maps the name of a peer to its incarnation.
	incarnations  map[string]uint64
	nameByAddress map[string]string
	// failing maps the name of a peer whose reads fail to the time until which it
	// counts as failing.
	failing map[string]time.Duration
}

func newPeerSet(opts Options) peerSet {
	return peerSet{blob: opts.Blob, self: opts.Self, failing: make(map[string]time.Duration)}
}

// update replaces the alive peers and returns those that have joined or restarted.
func (p *peerSet) update(members []Peer) []Peer {
	incarnations := make(map[string]uint64, len(members))
	nameByAddress := make(map[string]string, len(members))
	var joined []Peer
	for _, m := range members {
		incarnations[m.Name] = m.Incarnation
		nameByAddress[m.Address] = m.Name
		if known, ok := p.incarnations[m.Name]; !ok || known != m.Incarnation {
			joined = append(joined, m)
		}
	}
	p.list = slices.Clone(members)
	p.incarnations = incarnations
	p.nameByAddress = nameByAddress
	p.orderLocal()
	return joined
}

// recordReadStatus records whether reads of the service fail at the peer. A failing
// peer counts as such for readFailingTTL.
func (p *peerSet) recordReadStatus(now time.Duration, address string, failing bool) {
	name, ok := p.nameByAddress[address]
	if !ok {
		return
	}
	if !failing {
		delete(p.failing, name)
		return
	}
	p.failing[name] = now + readFailingTTL
}

func (p *peerSet) isFailing(now time.Duration, name string) bool {
	return now < p.failing[name]
}

// orderLocal recomputes local from list.
func (p *peerSet) orderLocal() {
	p.local = p.local[:0]
	for _, peer := range p.list {
		if peer.DataCentre == p.self.DataCentre {
			p.local = append(p.local, peer)
		}
	}
	slices.SortFunc(p.local, func(a, b Peer) int {
		return compareRank(p.blob, a.Name, b.Name)
	})
}

// rank returns the position of this node, from 0, among the nodes of its data centre
// that can read the service.
func (p *peerSet) rank(now time.Duration) int {
	rank := 0
	for _, peer := range p.local {
		if compareRank(p.blob, peer.Name, p.self.Name) > 0 {
			break
		}
		if !p.isFailing(now, peer.Name) {
			rank++
		}
	}
	return rank
}

// readers returns the first n peers by rank of this node's data centre that can read
// the service.
func (p *peerSet) readers(now time.Duration, n int) []Peer {
	var first []Peer
	for _, peer := range p.local {
		if len(first) == n {
			break
		}
		if !p.isFailing(now, peer.Name) {
			first = append(first, peer)
		}
	}
	return first
}

// compareRank orders two node names by their rendezvous weight for the blob.
func compareRank(blob, a, b string) int {
	if byWeight := cmp.Compare(rendezvous.Weight(blob, a), rendezvous.Weight(blob, b)); byWeight != 0 {
		return byWeight
	}
	return cmp.Compare(a, b)
}
