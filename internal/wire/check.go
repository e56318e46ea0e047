package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// maxDepth bounds the nesting of lists in a payload.
const maxDepth = 32

// Errors of payloads that are refused before decoding.
var (
	errTruncated     = errors.New("value is longer than the payload")
	errTooDeep       = fmt.Errorf("values are nested more than %d deep", maxDepth)
	errInvalidFormat = errors.New("invalid msgpack format byte")
)

// checkLimits scans the first msgpack value of a payload. The decoder allocates as many
// elements as a list declares, and recurses into nested lists; checkLimits therefore refuses
// lists that are longer than the rest of the payload or nested too deeply.
func checkLimits(payload []byte) error {
	// pending holds the number of values still to be read of each list that is open.
	pending := make([]int, 1, maxDepth)
	pending[0] = 1
	for len(pending) > 0 {
		last := len(pending) - 1
		if pending[last] == 0 {
			pending = pending[:last]
			continue
		}
		pending[last]--
		if len(payload) == 0 {
			return errTruncated
		}
		v, err := parseValueHeader(payload)
		if err != nil {
			return err
		}
		payload = payload[v.size:]
		if v.bytes > len(payload) || v.elements > len(payload) {
			return errTruncated
		}
		payload = payload[v.bytes:]
		if v.elements > 0 {
			if len(pending) == maxDepth {
				return errTooDeep
			}
			pending = append(pending, v.elements)
		}
	}
	return nil
}

// valueHeader describes a msgpack value, as declared by its header.
type valueHeader struct {
	// size is the length of the header in bytes, bytes that of the data after it, and
	// elements the number of values after that.
	size, bytes, elements int
}

// fixedLengths maps the first bytes of values with data of a fixed length to that length.
var fixedLengths = map[byte]int{
	0xc0: 0, 0xc2: 0, 0xc3: 0, 0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17,
}

// parseValueHeader parses the header of the value at the start of a payload, which must
// not be empty.
func parseValueHeader(payload []byte) (valueHeader, error) {
	first := payload[0]
	switch {
	case first <= 0x7f || first >= 0xe0:
		return valueHeader{size: 1}, nil
	case first <= 0x8f:
		return valueHeader{size: 1, elements: 2 * int(first&0x0f)}, nil
	case first <= 0x9f:
		return valueHeader{size: 1, elements: int(first & 0x0f)}, nil
	case first <= 0xbf:
		return valueHeader{size: 1, bytes: int(first & 0x1f)}, nil
	}
	if n, known := fixedLengths[first]; known {
		return valueHeader{size: 1, bytes: n}, nil
	}
	switch first {
	case 0xc4, 0xc5, 0xc6:
		n, size, err := parseLength(payload, 1<<(first-0xc4))
		return valueHeader{size: size, bytes: n}, err
	case 0xc7, 0xc8, 0xc9:
		n, size, err := parseLength(payload, 1<<(first-0xc7))
		return valueHeader{size: size, bytes: n + 1}, err
	case 0xd9, 0xda, 0xdb:
		n, size, err := parseLength(payload, 1<<(first-0xd9))
		return valueHeader{size: size, bytes: n}, err
	case 0xdc, 0xdd:
		n, size, err := parseLength(payload, 2<<(first-0xdc))
		return valueHeader{size: size, elements: n}, err
	case 0xde, 0xdf:
		n, size, err := parseLength(payload, 2<<(first-0xde))
		return valueHeader{size: size, elements: 2 * n}, err
	}
	return valueHeader{}, errInvalidFormat
}

// parseLength parses the length field of width bytes after the first byte, and returns it
// with the size of the header.
func parseLength(payload []byte, width int) (n, size int, err error) {
	if len(payload) < 1+width {
		return 0, 0, errTruncated
	}
	field := payload[1 : 1+width]
	switch width {
	case 1:
		n = int(field[0])
	case 2:
		n = int(binary.BigEndian.Uint16(field))
	default:
		n = int(binary.BigEndian.Uint32(field))
	}
	return n, 1 + width, nil
}
