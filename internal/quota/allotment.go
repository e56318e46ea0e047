// Package quota keeps limits on the number of requests of tenants over all nodes together, without
// shared state and without agreement between the nodes.
//
// Each host owns an equal share of every limit, by the number of hosts that it knows. At intervals a
// node hands over what its share has earned since the last time, an Allotment, to a few nodes, the
// grantors. A grantor collects the allotments of all nodes that it hears from in one token bucket
// for each tenant, and grants credits for single requests from it. The sum is safe whatever happens
// to messages and nodes: what a share has earned is handed over once and never again, and the shares
// of all hosts add up to one at most. If a message or a node is lost, so is what it held.
//
// The package is pure: time is an argument, as an offset on a clock that counts suspensions.
package quota

import (
	"math"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/rendezvous"
)

const (
	// slotCount is the number of slots. The tenants of a slot have the same grantors.
	slotCount = 64
	// AllotInterval is the time between the allotments of a node.
	AllotInterval = time.Second
	// maxSpan bounds the time for which one allotment counts. What a node earned in a longer pause
	// is lost, so that it can't be spent beside what is earned afterwards.
	maxSpan = 1100 * time.Millisecond
)

// Slots is a set of slots.
type Slots uint64

func (s Slots) has(slot int) bool { return s&(1<<slot) != 0 }

// slotOf returns the slot of a tenant.
func slotOf(tenant string) int { return int(rendezvous.Weight(tenant) % slotCount) }

// Allotment hands over what the share of a process in the limits of some slots has earned during
// Span.
type Allotment struct {
	// Process identifies the sender, and Sequence increases with each of its allotments.
	Process  string
	Sequence uint64
	Slots    Slots
	Span     time.Duration
	// Share is the fraction of the limits, 0 to 1.
	Share float64
}

// valid reports whether the values are in range.
func (a *Allotment) valid() bool {
	return a.Process != "" && a.Span > 0 && !math.IsNaN(a.Share) && a.Share > 0 && a.Share <= 1
}

// Addressed is an allotment for the grantor at an address.
type Addressed struct {
	To        string
	Allotment Allotment
}

// Allotter decides on the allotments of one process.
type Allotter struct {
	process  string
	sequence uint64
	// last is the time up to which the share has been handed over.
	last time.Duration
}

// NewAllotter returns the allotter of a process, whose share earns from now on.
func NewAllotter(process string, now time.Duration) *Allotter {
	return &Allotter{process: process, last: now}
}

// Allot returns the allotments for the time since the last call, given the grantors and the number
// of hosts. What a lost allotment held is not sent again, since it may have arrived.
func (a *Allotter) Allot(now time.Duration, ring *Ring, hosts int) []Addressed {
	span := min(now-a.last, maxSpan)
	a.last = now
	if span <= 0 || hosts < 1 {
		return nil
	}
	var out []Addressed
	for _, g := range ring.grantors {
		if g.slots == 0 {
			continue
		}
		a.sequence++
		out = append(out, Addressed{To: g.Address, Allotment: Allotment{
			Process: a.process, Sequence: a.sequence, Slots: g.slots, Span: span, Share: 1 / float64(hosts*ring.replicas()),
		}})
	}
	return out
}

// Skip drops what the share has earned, while the hosts are not known yet.
func (a *Allotter) Skip(now time.Duration) { a.last = now }
