package document

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxDeltaBytes is the maximum size of a delta. Delta never returns a larger one and
// Apply rejects it.
const MaxDeltaBytes = MaxBytes + deltaOverheadBytes

const (
	// deltaOverheadBytes is the maximum size of a delta beyond that of the new
	// document.
	deltaOverheadBytes = 128
	// minCopyBytes is the minimum length of a copied range. Shorter ranges are
	// inserted.
	minCopyBytes = 16
	// deltaHeaderFields is the number of fields before the operations.
	deltaHeaderFields = 3
)

// Errors of Apply.
var (
	// ErrDeltaBase is returned for a delta whose base is another document.
	ErrDeltaBase = errors.New("delta is for another base document")
	// ErrDeltaCorrupt is returned for a delta that is malformed or whose result does
	// not have the expected size and digest.
	ErrDeltaCorrupt = errors.New("delta is corrupt")
)

// deltaOp either copies a range of the old document or inserts data.
type deltaOp struct {
	offset, length int
	data           []byte
}

// Delta returns a delta with which Apply rebuilds newBytes from oldBytes. It is at
// most deltaOverheadBytes larger than newBytes.
func Delta(oldBytes, newBytes []byte) ([]byte, error) {
	if len(newBytes) > MaxBytes {
		return nil, fmt.Errorf("document has %d bytes, the limit is %d", len(newBytes), MaxBytes)
	}
	ops := matchChunks(oldBytes, newBytes)
	delta, err := encodeDelta(oldBytes, newBytes, ops)
	if err != nil {
		return nil, err
	}
	if len(delta) <= len(newBytes)+deltaOverheadBytes {
		return delta, nil
	}
	return encodeDelta(oldBytes, newBytes, []deltaOp{{data: newBytes}})
}

// encodeDelta encodes the digests of both documents, the size of the new one and the
// operations as a msgpack array.
func encodeDelta(oldBytes, newBytes []byte, ops []deltaOp) ([]byte, error) {
	oldDigest, newDigest := sha256.Sum256(oldBytes), sha256.Sum256(newBytes)
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	errs := []error{
		encoder.EncodeArrayLen(deltaHeaderFields + len(ops)),
		encoder.EncodeBytes(oldDigest[:]),
		encoder.EncodeBytes(newDigest[:]),
		encoder.EncodeInt(int64(len(newBytes))),
	}
	for _, op := range ops {
		errs = append(errs, op.encode(encoder))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return buffer.Bytes(), nil
}

// encode encodes an insertion as bytes and a copy as an array of offset and length.
func (op deltaOp) encode(encoder *msgpack.Encoder) error {
	if op.data != nil {
		return encoder.EncodeBytes(op.data)
	}
	return encoder.Encode([]int{op.offset, op.length})
}

// matchChunks returns the operations that build newBytes from ranges of oldBytes and
// insertions.
func matchChunks(oldBytes, newBytes []byte) []deltaOp {
	m := chunkMatcher{oldBytes: oldBytes, offsets: make(map[string][]int)}
	for offset := 0; offset < len(oldBytes); {
		chunk := firstChunk(oldBytes[offset:])
		m.offsets[string(chunk)] = append(m.offsets[string(chunk)], offset)
		offset += len(chunk)
	}
	for rest := newBytes; len(rest) > 0; {
		rest = rest[m.match(rest):]
	}
	return m.ops
}

// chunkMatcher converts a new document into operations on the old one.
type chunkMatcher struct {
	oldBytes []byte
	// offsets holds the offsets of each chunk in oldBytes, in ascending order.
	offsets map[string][]int
	// copyEnd is the end of the last range copied.
	copyEnd int
	ops     []deltaOp
}

// match adds an operation for a prefix of rest and returns the length of the prefix.
func (m *chunkMatcher) match(rest []byte) int {
	chunk := firstChunk(rest)
	offset, found := m.find(chunk)
	if !found {
		m.insert(chunk)
		return len(chunk)
	}
	length := commonPrefix(m.oldBytes[offset:], rest)
	if length < minCopyBytes {
		m.insert(rest[:length])
		return length
	}
	m.ops = append(m.ops, deltaOp{offset: offset, length: length})
	m.copyEnd = offset + length
	return length
}

// find returns the first offset of the chunk in oldBytes at or after copyEnd, or else
// its first offset.
func (m *chunkMatcher) find(chunk []byte) (offset int, found bool) {
	offsets := m.offsets[string(chunk)]
	if len(offsets) == 0 {
		return 0, false
	}
	i, _ := slices.BinarySearch(offsets, m.copyEnd)
	if i == len(offsets) {
		i = 0
	}
	return offsets[i], true
}

// insert appends data to the last operation if it is an insertion, or else adds an
// insertion.
func (m *chunkMatcher) insert(data []byte) {
	if last := len(m.ops) - 1; last >= 0 && m.ops[last].data != nil {
		m.ops[last].data = append(m.ops[last].data, data...)
		return
	}
	m.ops = append(m.ops, deltaOp{data: slices.Clone(data)})
}

// firstChunk returns the prefix of data up to and including the first newline or
// closing brace. Braces split documents without newlines.
func firstChunk(data []byte) []byte {
	end := bytes.IndexAny(data, "\n}")
	if end < 0 {
		return data
	}
	return data[:end+1]
}

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
