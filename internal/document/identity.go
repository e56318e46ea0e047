package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Identity identifies a document. Two documents with the same revision but different
// digests are in conflict.
type Identity struct {
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 of the exact bytes, in hexadecimal.
	Digest string `json:"digest"`
}

// shortDigestLength is the number of hexadecimal digits of the digest in String.
const shortDigestLength = 12

// String formats the identity with a shortened digest.
func (id Identity) String() string {
	return fmt.Sprintf("revision %d digest %.*s", id.Revision, shortDigestLength, id.Digest)
}

// ConflictsWith reports whether both identities have the same revision but different
// digests.
func (id Identity) ConflictsWith(other Identity) bool {
	return id.Revision == other.Revision && id.Digest != other.Digest
}

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
