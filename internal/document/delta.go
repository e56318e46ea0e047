package document

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxDeltaBytes is the greatest size of a delta, in bytes. Delta writes none
// that is larger and Apply reads none.
const MaxDeltaBytes = MaxBytes + deltaOverheadBytes

const (
	// deltaOverheadBytes bounds what a delta needs besides the new document.
	deltaOverheadBytes = 128
	// minCopyBytes is the shortest range worth an operation of its own.
	minCopyBytes = 16
	// deltaHeaderFields is the number of fields before the operations.
	deltaHeaderFields = 3
)

// The errors of Apply.
var (
	// ErrDeltaBase reports that the delta starts from another document.
	ErrDeltaBase = errors.New("delta is for another base document")
	// ErrDeltaCorrupt reports a delta that does not give the promised document.
	ErrDeltaCorrupt = errors.New("delta is corrupt")
)

// deltaOp either copies a range of the old document or inserts data.
type deltaOp struct {
	offset, length int
	data           []byte
}

// Delta returns a difference from which Apply rebuilds newBytes. It is never
// larger than MaxDeltaBytes.
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

// encodeDelta writes the digests of both documents, the size of the new one and
// the operations as one msgpack array.
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

// encode writes an insertion as bytes and a copy as an array of two numbers.
func (op deltaOp) encode(encoder *msgpack.Encoder) error {
	if op.data != nil {
		return encoder.EncodeBytes(op.data)
	}
	return encoder.Encode([]int{op.offset, op.length})
}

// matchChunks finds the ranges of newBytes that oldBytes contains.
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

// chunkMatcher turns a new document into operations on the old one.
type chunkMatcher struct {
	oldBytes []byte
	// offsets holds the offsets of each chunk in oldBytes, in ascending order.
	offsets map[string][]int
	// next is the end of the last range copied.
	next int
	ops  []deltaOp
}

// match adds the operation for the start of rest and returns how many bytes of
// rest it covers.
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
	m.next = offset + length
	return length
}

// find returns the first place of the chunk that is not before the last copied
// range, or its first place at all.
func (m *chunkMatcher) find(chunk []byte) (offset int, found bool) {
	offsets := m.offsets[string(chunk)]
	if len(offsets) == 0 {
		return 0, false
	}
	i, _ := slices.BinarySearch(offsets, m.next)
	if i == len(offsets) {
		i = 0
	}
	return offsets[i], true
}

// insert adds data to a preceding insertion or starts a new one.
func (m *chunkMatcher) insert(data []byte) {
	if last := len(m.ops) - 1; last >= 0 && m.ops[last].data != nil {
		m.ops[last].data = append(m.ops[last].data, data...)
		return
	}
	m.ops = append(m.ops, deltaOp{data: slices.Clone(data)})
}

// firstChunk returns the start of data up to and with a line end or a closing
// brace. Braces divide documents that have no lines.
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
