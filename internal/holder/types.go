// Package holder plays the holder role: it owns the right to use a share of some
// leaves' slots and connections, queues calls for them, and makes the calls.
package holder

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

// Permit is what this node may use of one leaf now.
type Permit struct {
	// Slots is the number of concurrent calls; zero if the node holds no share.
	Slots int
	// Connections is the number of open connections.
	Connections int
	// HandlesCold reports that this node makes the calls of a cold start.
	HandlesCold bool
	// CallUntil bounds the deadline of a call made now; zero sets no bound.
	CallUntil time.Time
	// PeerWarm is the hash of the incarnation that another holder of the leaf
	// has found warm, zero if none has. PeerEpoch changes with each judgement.
	PeerWarm  uint64
	PeerEpoch uint32
}

// Permits says what this node may use. Implementations are safe for concurrent
// use and answer for the moment of the call.
type Permits interface {
	Permit(leaf string) Permit
	// Begin records the start of a call, directly before it is sent. The call
	// must not be sent if it returns false, and End must be called once the leaf
	// no longer runs it.
	Begin(leaf string) (Permit, bool)
	// End records the end of a call.
	End(leaf string)
	// SetVerdict tells whether this node finds a leaf warm. The incarnation is a hash
	// as in Permit.PeerWarm.
	SetVerdict(leaf string, incarnation uint64, warm bool)
	// RejectVerdict tells that this node has found a leaf cold. What other holders found
	// before no longer counts here.
	RejectVerdict(leaf string)
}

// Screen keeps requests that crash targets from crashing more of them.
// Implementations are safe for concurrent use.
type Screen interface {
	// Merge takes over what an entry knows of a content.
	Merge(records []quarantine.Record)
	// MaySend returns an error with a kind for a content that must not be sent.
	// It is called directly before the send, and uses up the permit if there is one.
	MaySend(f quarantine.Fingerprint, permit *quarantine.Permit) error
	// ReturnPermit gives a permit back that MaySend has used up, where the target has
	// not run the content.
	ReturnPermit(permit quarantine.Permit)
	// Known returns what is known of a content, at most one record.
	Known(f quarantine.Fingerprint) []quarantine.Record
	// Died records that a target of a shard died while it ran a content. It
	// returns once the other hosts know, or after a bound.
	Died(shard string, f quarantine.Fingerprint)
	// EndTrial records the end of a trial, and returns as Died does.
	EndTrial(permit quarantine.Permit, end quarantine.TrialEnd)
}

// Targets finds and calls leaves. Implementations are safe for concurrent use.
type Targets interface {
	// Address returns the address of a leaf, and false if it has none.
	Address(leaf *document.LeafEntry) (string, bool)
	// Dial returns the caller of the leaf at an address.
	Dial(address string, connections int) (target.Caller, error)
}

// Call is one leaf call that an entry asks for.
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

// LeafStatus is what the holder knows of one leaf.
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
