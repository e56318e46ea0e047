package wire

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
	Fingerprint  []byte
	Body         []byte
	Leaves       []string
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
	// Died reports that the leaf's process ended while the call was in flight.
	Died bool
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
