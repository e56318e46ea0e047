package share

// Flags is the part of a heartbeat that tells the sender's condition.
type Flags uint8

// The flags of a heartbeat.
const (
	// FlagAttached is set while the sender may use shares.
	FlagAttached Flags = 1 << iota
	// FlagStopping is set by a process that will use no share again. Its
	// deputies may use all its shares but those of draining leaves.
	FlagStopping
	// FlagContactFree is set while the sender may use shares without contact.
	FlagContactFree
	// FlagMarks is set when the heartbeat holds all marks for the addressee.
	FlagMarks
)

// Heartbeat is one heartbeat to one peer. The encoding must use compact integers.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	From        string
	Incarnation uint64
	// Session counts how often the sender has lost all contact or has paused.
	Session uint32
	Seq     uint32
	// Revision is the host list in force at the sender, zero for none.
	Revision uint64
	// Known is the highest revision that the sender has heard of.
	Known uint64
	// Released is the highest revision whose lost shares the sender has
	// stopped using, with no call of them running.
	Released uint64
	// Settled is the highest revision that has replaced all lower ones.
	Settled uint64
	Flags   Flags
	// Echo reports what the sender has received from the addressee.
	Echo Echo
	// Ages holds the time since the sender last heard each of its peers.
	Ages []Age
	// Unsettled lists hosts that may act on a lower revision.
	Unsettled []Member
	// Taken lists the hosts whose shares the sender uses as deputy.
	Taken []string
	// Draining lists leaves with running calls at a stopping sender.
	Draining []uint64
	// MarkVersion identifies the sender's set of leaf marks. Marks are left out
	// once the addressee has echoed this version.
	MarkVersion uint32
	Marks       []Mark
}

// Echo reports what a process has received from the addressee of a heartbeat.
type Echo struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Incarnation uint64
	Seq         uint32
	// Session is the session of the addressee in which the sender uses none of
	// the addressee's shares; zero while it uses any.
	Session     uint32
	MarkVersion uint32
}

// Age is the time since a process last received a heartbeat of a host, or
// since it started if it never has.
type Age struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Host         string
	Milliseconds uint32
}

// Member is a host of a host list that may not have been replaced everywhere.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Host string
	// Unfenced is set for a host that may use shares without contact.
	Unfenced bool
}

// Mark tells whether a leaf is warm, in the judgement of the sender.
type Mark struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Leaf        uint64
	Incarnation uint64
	// Epoch changes with every judgement of the sender.
	Epoch uint32
	Warm  bool
	// First is set when the sender holds the share that comes with the permit
	// for a cold leaf.
	First bool
}

// Outgoing is a heartbeat to be sent.
type Outgoing struct {
	To        string
	Heartbeat Heartbeat
}
