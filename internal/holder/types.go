// Package holder implements the holder role. A holder owns the right to use a
// share of the slots and connections of some leaves, queues calls to these
// leaves, and makes them.
package holder

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

// Permit is the part of one leaf's capacity that this node may use now.
type Permit struct {
	// Slots is the number of concurrent calls; zero if the node holds no share.
	Slots int
	// Connections is the greatest number of open connections.
	Connections int
	// HandlesCold reports that this node makes the calls to the leaf during a
	// cold start.
	HandlesCold bool
	// CallUntil is the latest deadline of a call made now; zero means no limit.
	CallUntil time.Time
	// PeerWarm is the hash of the incarnation that another holder of the leaf
	// reports as warm, or zero if none does. PeerEpoch changes each time the
	// report changes.
	PeerWarm  uint64
	PeerEpoch uint32
}

// Permits grants the use of leaves to this node. Implementations are safe for
// concurrent use. Each result reflects the state at the time of the call.
type Permits interface {
	Permit(leaf string) Permit
	// Begin records the start of a call and is called immediately before the
	// call is sent. If it returns false, the call must not be sent. Otherwise
	// End must be called once the leaf no longer runs the call.
	Begin(leaf string) (Permit, bool)
	// End records the end of a call.
	End(leaf string)
	// ReportVerdict records whether this node considers a leaf warm. The incarnation is
	// a hash as in Permit.PeerWarm.
	ReportVerdict(leaf string, incarnation uint64, warm bool)
	// RejectPeerVerdict records that this node has found a leaf cold. Earlier reports of
	// other holders that the leaf is warm no longer count on this node.
	RejectPeerVerdict(leaf string)
}

// Screen prevents requests that crash targets from crashing further targets.
// Implementations are safe for concurrent use.
type Screen interface {
	// Merge adds an entry's records of a content.
	Merge(records []quarantine.Record)
	// MaySend returns an error with a kind for a content that must not be sent.
	// It is called immediately before the send and consumes the permit, if any.
	MaySend(f quarantine.Fingerprint, permit *quarantine.Permit) error
	// ReturnPermit returns a permit that MaySend has consumed, if the target has
	// not run the content.
	ReturnPermit(permit quarantine.Permit)
	// Known returns the record of a content as a list of at most one.
	Known(f quarantine.Fingerprint) []quarantine.Record
	// Died records that a target of a shard died while it ran a content. It
	// returns once the other hosts have the record, or after a time limit.
	Died(shard string, f quarantine.Fingerprint)
	// EndTrial records the end of a trial and waits for the other hosts as Died
	// does.
	EndTrial(permit quarantine.Permit, end quarantine.TrialResult)
}

// Targets resolves the addresses of leaves and connects to them. Implementations
// are safe for concurrent use.
type Targets interface {
	// Address returns the address of a leaf, and false if it has none.
	Address(leaf *document.LeafEntry) (string, bool)
	// Dial returns a caller for the leaf at an address that uses at most the
	// given number of connections.
	Dial(address string, connections int) (target.Caller, error)
}

// Call is one leaf call requested by an entry.
type Call struct {
	// ID names the attempt and is unique among the attempts of all requests.
	ID          string
	RequestID   string
	Customer    string
	Service     string
	Class       string
	Leaf        string
	Snapshot    string
	Idempotent  bool
	Deadline    time.Time
	Fingerprint quarantine.Fingerprint
	// Permit is set for a suspect content that runs on trial.
	Permit *quarantine.Permit
	Known  []quarantine.Record
	Body   []byte
}

// LeafStatus is the state of one leaf as the holder sees it.
type LeafStatus struct {
	Leaf        string
	State       string
	Incarnation string
	Slots       int
	Running     int
	Queued      int
	Connections int
	Retired     int
}
