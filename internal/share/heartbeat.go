package share

// Flags describes the state of the sender of a heartbeat.
type Flags uint8

// The flags of a heartbeat.
const (
	// FlagAttached is set while the sender may use shares.
	FlagAttached Flags = 1 << iota
	// FlagStopping is set by a process that will not use any share again. Its
	// deputies may use all its shares except those of draining leaves.
	FlagStopping
	// FlagContactFree is set while the sender may use shares without contact.
	FlagContactFree
	// FlagVerdicts is set when the heartbeat contains all verdicts for the
	// recipient.
	FlagVerdicts
)

// Heartbeat is one heartbeat to one peer. It must be encoded with compact integers.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	From        string
	Incarnation uint64
	// Session starts at 1 and increases whenever the sender loses all contact,
	// has paused, is listed as stopped, or finds that its peers have replaced its
	// view.
	Session uint32
	Seq     uint32
	// Revision is the revision of the host list in force at the sender, zero if
	// it has none.
	Revision uint64
	// HighestKnown is the highest revision that the sender has seen in a host
	// list or a heartbeat.
	HighestKnown uint64
	// Released is the highest revision for which the sender no longer uses the
	// shares that it lost by it and has no calls of them in flight.
	Released uint64
	// Settled is the highest revision that has replaced all lower ones at every
	// host.
	Settled uint64
	Flags   Flags
	// Echo reports what the sender has received from the recipient.
	Echo Echo
	// Ages holds the time since the sender last received a heartbeat from each
	// of its peers.
	Ages []Age
	// UnsettledHosts lists hosts that may still use a lower revision.
	UnsettledHosts []UnsettledHost
	// TakenHosts lists the hosts whose shares the sender uses as deputy or is
	// releasing.
	TakenHosts []string
	// DrainingLeaves lists the hashes of the leaves with calls in flight; it is
	// set only by a stopping sender.
	DrainingLeaves []uint64
	// VerdictVersion is the version of the sender's set of verdicts. Verdicts are
	// omitted once the recipient has echoed this version.
	VerdictVersion uint32
	Verdicts       []Verdict
}

// Echo reports what the sender of a heartbeat has received from its recipient.
type Echo struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Incarnation uint64
	Seq         uint32
	// Session is the session of the recipient in which the sender uses none of
	// the recipient's shares; zero while it may use any.
	Session        uint32
	VerdictVersion uint32
}

// Age is the time since a process last received a heartbeat from a host, or
// since the process started if it has received none.
type Age struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Host         string
	Milliseconds uint32
}

// UnsettledHost is a host that may still use an earlier revision of the host
// list.
type UnsettledHost struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Host string
	// ContactFree is set if the host may use shares without contact under that
	// revision.
	ContactFree bool
}

// Verdict states whether the sender considers a leaf warm.
type Verdict struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Leaf        uint64
	Incarnation uint64
	// Epoch increases with every verdict of the sender on the leaf.
	Epoch uint32
	Warm  bool
	// First is set when the sender holds the leaf's first share, which carries
	// the permit to call the leaf while it is cold.
	First bool
}

// Outgoing is a heartbeat together with the host that it must be sent to.
type Outgoing struct {
	To        string
	Heartbeat Heartbeat
}
