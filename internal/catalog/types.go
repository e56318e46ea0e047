// Package catalog holds a node's view of the routes, the services, the leaves and the data
// centres that are taken out of use.
//
// A Catalog applies snapshots and changes of a history with numbered revisions, and publishes
// immutable Views. It never goes back: a change whose revision is lower than that of the known
// entry is ignored.
//
// The package is pure: it reads no clock and does no I/O.
package catalog

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Table is one version of the routes and services. It is immutable.
type Table struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   ClientLimits
	// Tenants are the tenants whose keys are valid. If there are none, requests need no key.
	Tenants      []*Tenant
	byHost       map[string][]*Route
	shards       map[string]ShardPosition
	byCredential map[Credential]*Tenant
	byTenantName map[string]*Tenant
}

// ShardPosition is the position of a service among the shards of a route.
type ShardPosition struct {
	// Rank is the position, from 0, in the order of the names, and Of the number of shards.
	Rank, Of int
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits. If it is zero, only the caller's own
	// deadline applies.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of leaves of a service on which one request may
	// run.
	MaxAttempts int
	// WeightedServices are the services of a route whose requests go to one leaf of one of
	// them.
	WeightedServices []WeightedService
	// Shards are the services of a gathered route, each of which answers one part. It is
	// empty for a route whose requests go to one leaf.
	Shards []string
	// TopK is the number of records in a gathered answer.
	TopK int
	// MinCoverage is the minimum fraction of the shards in a gathered answer, 0 to 1.
	MinCoverage float64
	// Open is set if requests need no key.
	Open bool
}

// WeightedService is a service with its weight among those of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable leaves.
type Service struct {
	Name string
	// MaxConns is the number of connections that one leaf accepts from all callers.
	MaxConns int
	// Warmup is how long a leaf is in a cold start. If it is not zero, the pace of leaves that have
	// started or recovered is found from how they answer.
	Warmup time.Duration
	// WarmupPerSecond is the number of requests per second that a leaf in a cold start
	// tolerates from all callers.
	WarmupPerSecond float64
}

// ClientLimits are the limits of callers' requests and connections. Zero values set no limit.
type ClientLimits struct {
	BodyBytes   int64
	IdleTimeout time.Duration
}

// Leaf is one process of a service.
type Leaf struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining is set for a leaf that is leaving.
	Draining bool
	// WarmupLeft is the remaining time of the leaf's cold start when the entry was written.
	WarmupLeft time.Duration
	// Sequence counts the entries that the leaf's process has written.
	Sequence int64
	// Started is the Unix time of the leaf's start in milliseconds, or zero if it is
	// unknown. It distinguishes processes with the same ID.
	Started int64
}

// Bounds of the values in an entry of a leaf.
const (
	// maxNameBytes bounds the ID of a leaf and the names of its service and data centre.
	maxNameBytes = 256
	// maxSlots is far more than the number of requests that one process runs at once.
	maxSlots = 1 << 16
	// maxWarmup is far longer than a cold start.
	maxWarmup = time.Hour
)

// Validate returns an error if the entry does not describe a leaf that can be used.
func (l *Leaf) Validate() error {
	address, err := netip.ParseAddrPort(l.Address)
	switch {
	case err != nil:
		return err
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return fmt.Errorf("address %s is unspecified, multicast or has port 0", address)
	case l.ID == "" || len(l.ID) > maxNameBytes || strings.ContainsFunc(l.ID, func(r rune) bool { return r <= ' ' || r > '~' }):
		return fmt.Errorf("ID %.40q is empty, too long or not valid in a header", l.ID)
	case l.Service == "" || len(l.Service) > maxNameBytes || len(l.DataCentre) > maxNameBytes:
		return errors.New("service name is missing, or name of service or data centre is too long")
	case l.Slots < 1 || l.Slots > maxSlots:
		return fmt.Errorf("slot count %d is out of range", l.Slots)
	case l.WarmupLeft < 0 || l.WarmupLeft > maxWarmup:
		return fmt.Errorf("remaining cold start of %v is out of range", l.WarmupLeft)
	case l.Sequence < 0 || l.Started < 0:
		return errors.New("sequence number or start time is negative")
	}
	return nil
}

// olderThan reports whether l was written before other by the same process, or by an earlier
// process with the same ID. The fields order only the entries of one leaf: if the service differs, or
// only one entry has a start time, one of them is of another writer, and the order of the history
// holds.
func (l *Leaf) olderThan(other *Leaf) bool {
	switch {
	case l.Service != other.Service || l.lacksStart(other) || other.lacksStart(l):
		return false
	case l.Started != other.Started:
		return l.Started < other.Started
	}
	return l.Sequence < other.Sequence
}

// lacksStart reports whether l lacks the start time that another entry of the leaf has.
func (l *Leaf) lacksStart(other *Leaf) bool { return l.Started == 0 && other.Started != 0 }

// Process identifies one process of a leaf. A leaf that starts again, also under its old ID, is
// another process.
type Process struct {
	ID      string
	Address string
	// Started is the Started of the leaf's entry.
	Started int64
}

// Process returns the process that the entry describes.
func (l *Leaf) Process() Process { return Process{ID: l.ID, Address: l.Address, Started: l.Started} }

// SameProcess reports whether two entries describe the same process of a leaf.
func (l *Leaf) SameProcess(other *Leaf) bool { return l.Process() == other.Process() }

// Change is one change of an entry. At most one of Table, Leaf and TakenOut is set. If none of
// them is, the entry was removed or can't be decoded.
type Change struct {
	// Key identifies the entry.
	Key string
	// Revision is the number of the change in the history.
	Revision uint64
	Table    *Table
	Leaf     *Leaf
	// TakenOut is the name of a data centre that gets no new requests.
	TakenOut string
}

// Snapshot holds all entries of the history as of revision AsOf. Entries may be newer.
type Snapshot struct {
	AsOf    uint64
	Entries []Change
	// LeftOut are the keys of entries that exist but are not in Entries. Partial is set if the
	// receiver does not have all of them yet.
	LeftOut []string
	Partial bool
	// Answered is when the history gave the snapshot, or zero if it was just now.
	Answered time.Time
}

// Page holds changes of a catalog for another one.
type Page struct {
	Changes []Change
	// LeftOut are the keys of the entries that are not in Changes, in a Difference.
	LeftOut []string
	// Sequence is the sequence number of the last change, to continue from if there are More.
	Sequence uint64
	More     bool
	// AsOf is the revision up to which the catalog is complete.
	AsOf uint64
}

// Update holds the changes after revision From, up to and including AsOf.
type Update struct {
	From    uint64
	AsOf    uint64
	Changes []Change
	// Answered is when the history gave the update, or zero if it was just now.
	Answered time.Time
}
