package document

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Apply rebuilds the new document from the old one and a delta. It returns
// ErrDeltaBase if the base of the delta is another document, and ErrDeltaCorrupt if
// the delta is malformed or its result does not have the expected size and digest.
func Apply(oldBytes, delta []byte) ([]byte, error) {
	if len(delta) > MaxDeltaBytes {
		return nil, fmt.Errorf("%w: has %d bytes, the limit is %d", ErrDeltaCorrupt, len(delta), MaxDeltaBytes)
	}
	reader := deltaReader{
		oldBytes: oldBytes,
		decoder:  msgpack.NewDecoder(bytes.NewReader(delta)),
	}
	if err := reader.readHeader(); err != nil {
		return nil, err
	}
	if err := reader.readOps(); err != nil {
		return nil, err
	}
	if digest := sha256.Sum256(reader.newBytes); !bytes.Equal(digest[:], reader.newDigest) {
		return nil, fmt.Errorf("%w: result has an unexpected digest", ErrDeltaCorrupt)
	}
	return reader.newBytes, nil
}

// deltaReader applies a delta while decoding it.
type deltaReader struct {
	oldBytes  []byte
	decoder   *msgpack.Decoder
	newDigest []byte
	newSize   int
	ops       int
	newBytes  []byte
}

func (r *deltaReader) readHeader() error {
	fields, err := r.decoder.DecodeArrayLen()
	if err != nil || fields < deltaHeaderFields {
		return corruptError("incomplete header", err)
	}
	r.ops = fields - deltaHeaderFields
	oldDigest, err := r.decoder.DecodeBytes()
	if err != nil {
		return corruptError("base digest", err)
	}
	if digest := sha256.Sum256(r.oldBytes); !bytes.Equal(digest[:], oldDigest) {
		return ErrDeltaBase
	}
	if r.newDigest, err = r.decoder.DecodeBytes(); err != nil {
		return corruptError("result digest", err)
	}
	if r.newSize, err = r.decoder.DecodeInt(); err != nil {
		return corruptError("result size", err)
	}
	if r.newSize < 0 || r.newSize > MaxBytes {
		return corruptError(fmt.Sprintf("result of %d bytes", r.newSize), nil)
	}
	return nil
}

func (r *deltaReader) readOps() error {
	r.newBytes = make([]byte, 0, r.newSize)
	for range r.ops {
		data, err := r.readOp()
		if err != nil {
			return err
		}
		if len(r.newBytes)+len(data) > r.newSize {
			return corruptError("result is larger than the declared size", nil)
		}
		r.newBytes = append(r.newBytes, data...)
	}
	if len(r.newBytes) != r.newSize {
		return corruptError("result is smaller than the declared size", nil)
	}
	return nil
}

// readOp returns the bytes that the next operation appends to the result.
func (r *deltaReader) readOp() ([]byte, error) {
	code, err := r.decoder.PeekCode()
	if err != nil {
		return nil, corruptError("operation", err)
	}
	if msgpcode.IsBin(code) {
		data, err := r.decoder.DecodeBytes()
		if err != nil {
			return nil, corruptError("insertion", err)
		}
		return data, nil
	}
	return r.readCopy()
}

func (r *deltaReader) readCopy() ([]byte, error) {
	if n, err := r.decoder.DecodeArrayLen(); err != nil || n != 2 {
		return nil, corruptError("copy", err)
	}
	offset, err := r.decoder.DecodeInt()
	if err != nil {
		return nil, corruptError("copy offset", err)
	}
	length, err := r.decoder.DecodeInt()
	if err != nil {
		return nil, corruptError("copy length", err)
	}
	if offset < 0 || length < 0 || offset > len(r.oldBytes) || length > len(r.oldBytes)-offset {
		return nil, corruptError(fmt.Sprintf("copy of %d bytes at %d", length, offset), nil)
	}
	return r.oldBytes[offset : offset+length], nil
}

func corruptError(what string, err error) error {
	if err == nil {
		return fmt.Errorf("%w: %s", ErrDeltaCorrupt, what)
	}
	return fmt.Errorf("%w: %s: %w", ErrDeltaCorrupt, what, err)
}
