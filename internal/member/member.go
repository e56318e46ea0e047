//lint:file-ignore U1000 msgpack reads the option of the field _msgpack by reflection.

// Package member maintains a node's view of the fleet: which members are alive, at
// which address and in which incarnation. It implements SWIM: every node probes one
// peer per interval, verifies a failed probe through other members, and piggybacks
// changes on the messages that it sends.
//
// The package does no I/O: a List takes events with the current monotonic time and
// returns the messages to send. A List is not safe for concurrent use.
package member

import (
	"cmp"
	"fmt"
	"hash/fnv"
)

// State is the state of a member in the view of a node.
type State uint8

// The states. Of two states of the same version, the later one in this list overrides
// the other.
const (
	Alive State = iota + 1
	// Leaving members still answer but receive no new work.
	Leaving
	// Suspect members have not answered a probe and may still refute the suspicion.
	Suspect
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Record is the data that a member publishes about itself. A change of Ready is
// gossiped at once. A change of another field only reaches others with the member's own
// messages and with later updates about it, so a distant node may have older values.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"`

	ConfigRevision uint64
	ConfigDigest   uint32
	HostsRevision  uint64
	Ready          bool
	Load           uint8
	// Capacity is the processor time and link speed of the host, expressed in
	// hundredths of a core; zero if it is not known.
	Capacity uint32
}

// Member is one process of the fleet.
type Member struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name       string
	Address    string
	DataCentre string
	Region     string
	Cell       string
	// Incarnation is higher for each new process of the same name.
	Incarnation uint64
	// Version grows when the member refutes a suspicion, changes its state or changes
	// Record.Ready.
	Version uint32
	State   State
	// RecordVersion grows with each change of the record.
	RecordVersion uint32
	Record        Record
}

// overrides reports whether m takes precedence over old, which has the same name.
func (m *Member) overrides(old *Member) bool {
	order := cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.Version, old.Version),
		cmp.Compare(m.State, old.State),
	)
	return order > 0
}

// hash returns a hash of the fields on which all nodes eventually agree. It is zero for
// a dead member, which other nodes may have removed already.
func (m *Member) hash() uint32 {
	if m.State == Dead {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(m.Name))
	var encoded [13]byte
	for i := range 8 {
		encoded[i] = byte(m.Incarnation >> (8 * i))
	}
	for i := range 4 {
		encoded[8+i] = byte(m.Version >> (8 * i))
	}
	encoded[12] = byte(m.State)
	h.Write(encoded[:])
	return h.Sum32()
}

// bucketOf returns the bucket of the table that a name belongs to.
func bucketOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % bucketCount)
}
