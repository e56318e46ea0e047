package wire

import "github.com/redwingshelf/redwingshelf/internal/quarantine"

// Hello is the first message in each direction of a connection.
type Hello struct {
	Host        string
	Incarnation uint64
}

// StreamError ends a stream with an error. Kind is the name of a kind.Kind.
type StreamError struct {
	Kind    string
	Message string
}

// Scatter asks a holder to call several leaves with one request.
type Scatter struct {
	RequestID string
	// AttemptID identifies this message. The attempt at one leaf is identified by
	// AttemptID and the leaf.
	AttemptID  string
	Customer   string
	Service    string
	Class      string
	Snapshot   string
	Idempotent bool
	// BudgetMicros is the time left until the deadline, in microseconds.
	BudgetMicros int64
	Fingerprint  quarantine.Fingerprint
	// Permit is set for suspect content that may run on trial.
	Permit *quarantine.Permit
	// Known holds the entry's quarantine record of the content, if it has one.
	Known  []quarantine.Record
	Body   []byte
	Leaves []string
}

// LeafResult is the outcome of one leaf call of a Scatter.
type LeafResult struct {
	RequestID string
	Leaf      string
	// Kind is empty for an answer, and otherwise the name of a kind.Kind.
	Kind        string
	Run         string
	Message     string
	Snapshot    string
	Held        []HeldSnapshot
	Incarnation string
	From        uint32
	To          uint32
	Body        []byte
	// Warm is set if the leaf is not in a cold start.
	Warm bool
	// Busy is the percentage of the holder's slots of the leaf that are in use.
	Busy uint8
	// Died is set if the leaf's process ended while the call was in flight.
	Died bool
	// Known holds the holder's quarantine record of content that it refuses, if it has one.
	Known []quarantine.Record
}

// Held asks a holder which snapshots its leaves hold.
type Held struct {
	Leaves []string
}

// HeldResult lists the snapshots of each leaf of a Held, as the holder knows them.
type HeldResult struct {
	Leaves []LeafHeld
}

// LeafHeld lists the snapshots that one leaf holds, newest first.
type LeafHeld struct {
	Leaf        string
	Incarnation string
	Snapshots   []HeldSnapshot
}

// HeldSnapshot is one snapshot of a leaf and the key range [From, To) that the leaf
// covers in it.
type HeldSnapshot struct {
	Snapshot string
	From     uint32
	To       uint32
}

// Forward passes a request with a ticket to the process that decides whether it runs.
type Forward struct {
	RequestID string
	Ticket    string
	Customer  string
	Service   string
	Class     string
	Key       string
	// BudgetMicros is the time left until the deadline, in microseconds.
	BudgetMicros int64
	Body         []byte
}

// ForwardResult is the outcome of a Forward.
type ForwardResult struct {
	// Kind is empty for an answer, and otherwise the name of a kind.Kind.
	Kind     string
	Run      string
	Message  string
	Leaf     string
	Body     []byte
	Replayed bool
}

// HandoverNote informs entries which process has taken over the tickets of another.
type HandoverNote struct {
	FromHost        string
	FromIncarnation uint64
	ToHost          string
	ToIncarnation   uint64
}

// Process identifies the process of a node, as its tickets do, and reports whether it
// is stopping. The request for it is an empty Process.
type Process struct {
	Host        string
	Incarnation uint64
	Stopping    bool
}

// CancelLeaf cancels one leaf call of a running Scatter.
type CancelLeaf struct {
	Leaf string
}
