//lint:file-ignore U1000 msgpack reads the option of the field _msgpack by reflection.

package member

// Message is a message between two Lists. Each message carries the sender's own member
// and updates about others.
type Message interface {
	// Sender returns the member that sent the message.
	Sender() *Member
	updates() []Member
}

// Outgoing is a message to send to an address. It may be lost.
type Outgoing struct {
	To  string
	Msg Message
}

// Ping asks the receiver for an Ack.
type Ping struct {
	_msgpack struct{} `msgpack:",as_array"`

	Self     Member
	Sequence uint32
	Updates  []Member
}

// PingRequest asks the receiver to ping the target for the sender.
type PingRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Self     Member
	Sequence uint32
	Target   string
	Address  string
	Updates  []Member
}

// Ack answers a Ping. If it answers a PingRequest, Target is the name of the member that
// answered the relayed Ping.
type Ack struct {
	_msgpack struct{} `msgpack:",as_array"`

	Self     Member
	Sequence uint32
	Target   string
	Updates  []Member
}

// Gossip carries updates only and is not answered.
type Gossip struct {
	_msgpack struct{} `msgpack:",as_array"`

	Self    Member
	Updates []Member
}

// SyncRequest carries the digest of each bucket of the sender's table.
type SyncRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Self    Member
	Digests []uint32
	Updates []Member
}

// SyncState carries members of the buckets whose digests differ. If Reply is true, the
// receiver returns the members of which it has a newer view.
type SyncState struct {
	_msgpack struct{} `msgpack:",as_array"`

	Self    Member
	Reply   bool
	Buckets []int
	Updates []Member
}

// Sender returns the member that sent the message.
func (m *Ping) Sender() *Member { return &m.Self }

// Sender returns the member that sent the message.
func (m *PingRequest) Sender() *Member { return &m.Self }

// Sender returns the member that sent the message.
func (m *Ack) Sender() *Member { return &m.Self }

// Sender returns the member that sent the message.
func (m *Gossip) Sender() *Member { return &m.Self }

// Sender returns the member that sent the message.
func (m *SyncRequest) Sender() *Member { return &m.Self }

// Sender returns the member that sent the message.
func (m *SyncState) Sender() *Member { return &m.Self }

func (m *Ping) updates() []Member        { return m.Updates }
func (m *PingRequest) updates() []Member { return m.Updates }
func (m *Ack) updates() []Member         { return m.Updates }
func (m *Gossip) updates() []Member      { return m.Updates }
func (m *SyncRequest) updates() []Member { return m.Updates }
func (m *SyncState) updates() []Member   { return m.Updates }
