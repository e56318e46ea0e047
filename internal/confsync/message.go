//lint:file-ignore U1000 msgpack reads the option of the field _msgpack by reflection.

package confsync

// Message is a message between the Syncers of one blob on two nodes.
type Message interface {
	// BlobName returns the name of the blob that the message concerns.
	BlobName() string
}

// Query requests an Announce from a peer.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob     string
	Identity Identity
}

// Announce announces the current revision of the sender.
type Announce struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob     string
	Identity Identity
	// Answer is true in the reply to a Query.
	Answer bool
	// Ready is true if the sender is ready to serve.
	Ready bool
	// ReadFailing is true if the sender's reads of the service fail.
	ReadFailing bool
	// Confirmed is true if the sender knows of a read of the service by itself or a
	// peer. ConfirmedAgeMS is the age of the last one, in milliseconds, at most one
	// hour.
	Confirmed      bool
	ConfirmedAgeMS uint32
	// Delta is the delta from the bytes of From to those of Identity. It is empty if
	// the delta is not available or too large.
	From  Identity
	Delta []byte
}

// Fetch requests the bytes of Want from a peer, starting at Offset.
type Fetch struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob   string
	Have   Identity
	Want   Identity
	Offset int
	// Full requests the bytes themselves instead of a delta.
	Full bool
}

// Delta answers a Fetch with the delta between two revisions.
type Delta struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob  string
	From  Identity
	To    Identity
	Bytes []byte
}

// Chunk answers a Fetch with a part of the bytes of a revision.
type Chunk struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob     string
	Identity Identity
	Offset   int
	Total    int
	Bytes    []byte
}

// BlobName returns the name of the blob.
func (m *Query) BlobName() string { return m.Blob }

// BlobName returns the name of the blob.
func (m *Announce) BlobName() string { return m.Blob }

// BlobName returns the name of the blob.
func (m *Fetch) BlobName() string { return m.Blob }

// BlobName returns the name of the blob.
func (m *Delta) BlobName() string { return m.Blob }

// BlobName returns the name of the blob.
func (m *Chunk) BlobName() string { return m.Blob }
