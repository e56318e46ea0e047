package wire

import "github.com/redwingshelf/redwingshelf/internal/quarantine"

// Hello is the first frame in each direction of a connection.
type Hello struct {
	Host        string
	Incarnation uint64
}

// StreamError ends a stream with a kind of the closed list.
type StreamError struct {
	Kind    string
	Message string
}

// Scatter asks a holder to call several leaves with one request.
type Scatter struct {
	RequestID string
	// AttemptID names this message; an attempt at a leaf is named by it and the leaf.
	AttemptID  string
	Customer   string
	Service    string
	Class      string
	Snapshot   string
	Idempotent bool
	// BudgetMicros is the time left until the deadline, in microseconds.
	BudgetMicros int64
	Fingerprint  quarantine.Fingerprint
	// Permit is set for a suspect content that runs on trial.
	Permit *quarantine.Permit
	// Known is what the entry knows of the content, at most one record.
	Known  []quarantine.Record
	Body   []byte
	Leaves []string
}

// LeafResult is the outcome of one leaf call of a Scatter.
type LeafResult struct {
	RequestID string
	Leaf      string
	// Kind is empty for an answer, and otherwise names a kind of the closed list.
	Kind        string
	Run         string
	Message     string
	Snapshot    string
	Held        []HeldSnapshot
	Incarnation string
	From        uint32
	To          uint32
	Body        []byte
	// Warm reports that the leaf is not in a cold start.
	Warm bool
	// Busy is the share of the holder's slots of the leaf in use, in percent.
	Busy uint8
	// Died reports that the leaf's process ended while the call was in flight.
	Died bool
	// Known is what the holder knows of a content that it refuses, at most one record.
	Known []quarantine.Record
}

// Held asks a holder which snapshots its leaves hold.
type Held struct {
	Leaves []string
}

// HeldResult lists what the holder knows of each leaf asked for.
type HeldResult struct {
	Leaves []LeafHeld
}

// LeafHeld lists the snapshots that one leaf holds, newest first.
type LeafHeld struct {
	Leaf        string
	Incarnation string
	Snapshots   []HeldSnapshot
}

// HeldSnapshot is one snapshot of a leaf and the key range that it covers.
type HeldSnapshot struct {
	Snapshot string
	From     uint32
	To       uint32
}

// Forward passes a request with a ticket to the process that decides on it.
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
	// Kind is empty for an answer, and otherwise names a kind of the closed list.
	Kind     string
	Run      string
	Message  string
	Leaf     string
	Body     []byte
	Replayed bool
}

// HandoverNote tells entries which process took over the tickets of another.
type HandoverNote struct {
	FromHost        string
	FromIncarnation uint64
	ToHost          string
	ToIncarnation   uint64
}

// Process names the process that tickets name, and whether it is stopping. It
// is both the question, then empty, and the answer.
type Process struct {
	Host        string
	Incarnation uint64
	Stopping    bool
}

// CancelLeaf cancels one leaf call of a running Scatter.
type CancelLeaf struct {
	Leaf string
}
