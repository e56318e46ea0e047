//lint:file-ignore U1000 msgpack reads the option of the field _msgpack by reflection.

package confsync

// Message is a message between two Syncers of the same blob.
type Message interface {
	// BlobName returns the name of the blob that the message is about.
	BlobName() string
}

// Query asks a peer for its Announce.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob     string
	Identity Identity
}

// Announce states which revision the sender has in force.
type Announce struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob     string
	Identity Identity
	// Answer is true in the reply to a Query.
	Answer bool
	// Ready is true when the sender serves.
	Ready bool
	// ReadFailing is true when the sender can't read the service.
	ReadFailing bool
	// Confirmed is true when the service was read by the sender, or by a peer
	// from which it heard so, ConfirmedAgeMS ago.
	Confirmed      bool
	ConfirmedAgeMS uint32
	// Delta turns the bytes of From into those of Identity. It is empty when
	// the difference is unknown or large.
	From  Identity
	Delta []byte
}

// Fetch asks a peer for the bytes of Want, starting at Offset.
type Fetch struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob   string
	Have   Identity
	Want   Identity
	Offset int
	// Full asks for the bytes themselves and not for a difference.
	Full bool
}

// Delta answers Fetch with the difference between two revisions.
type Delta struct {
	_msgpack struct{} `msgpack:",as_array"`

	Blob  string
	From  Identity
	To    Identity
	Bytes []byte
}

// Chunk answers Fetch with a part of the bytes of a revision.
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
