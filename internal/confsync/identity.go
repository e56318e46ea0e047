//lint:file-ignore U1000 msgpack reads the option of the field _msgpack by reflection.

// Package confsync distributes versioned blobs, such as the configuration document
// and the host list, to every node of the fleet. A few nodes per data centre
// read the platform's service; the others receive each new revision from peers,
// as a delta where possible.
//
// The package does no I/O: a Syncer takes events together with the current
// monotonic time and returns actions for its caller to perform. A Syncer is not
// safe for concurrent use.
package confsync

import "fmt"

// Identity identifies the content of a blob by its revision and the digest of its
// bytes.
type Identity struct {
	_msgpack struct{} `msgpack:",as_array"`

	Revision uint64
	Digest   string
}

// NewIdentity returns the identity of a revision with the given digest.
func NewIdentity(revision uint64, digest string) Identity {
	return Identity{Revision: revision, Digest: digest}
}

// IsZero reports whether the identity is unset.
func (id Identity) IsZero() bool {
	return id.Revision == 0 && id.Digest == ""
}

// ConflictsWith reports whether both identities have the same revision but different
// digests.
func (id Identity) ConflictsWith(other Identity) bool {
	return id.Revision == other.Revision && id.Digest != other.Digest
}

// String returns the revision and the first characters of the digest.
func (id Identity) String() string {
	const shortDigestLength = 12
	digest := id.Digest
	if len(digest) > shortDigestLength {
		digest = digest[:shortDigestLength]
	}
	return fmt.Sprintf("%d/%s", id.Revision, digest)
}
