// Package wire encodes and decodes the frames that nodes exchange over TCP.
//
// A frame is a 14 byte header followed by a msgpack payload. The header holds
// the payload length (4 bytes), the protocol version (1 byte), the message type
// (1 byte) and the stream number (8 bytes), all in network byte order.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Version is the protocol version that this package implements.
const Version = 1

// MaxPayload is the maximum length of a frame's payload in bytes.
const MaxPayload = 4 << 20

// initialPayload is the size of the buffer with which reading a payload begins.
const initialPayload = 64 << 10

// HeaderSize is the length of a frame's header in bytes.
const HeaderSize = 14

// Type is the type of the message that a frame carries.
type Type uint8

// Message types. One-way messages are sent on stream zero. A call and the messages that
// belong to it, such as results and cancellations, carry the stream number of the call.
const (
	TypeHello Type = iota + 1
	TypeCancel
	TypeCancelLeaf
	TypeEnd
	TypeError
	TypeScatter
	TypeLeafResult
	TypeHeld
	TypeHeldResult
	TypeForward
	TypeForwardResult
	TypeHandover
	TypeHandoverResult
	TypeHandoverNote
	TypeProcess
	TypeProcessResult
	TypeHeartbeat
	TypeMember
	TypeBlob
	TypeQuarantine
	TypeQuarantineAck
	TypeQuarantineEnd
	TypePermit
	TypePermitResult
	TypeRecords
	TypeRecordsResult
	TypePing
	TypePong
	TypeCatalog
	TypeCatalogResult
	TypeGather
	TypeGatherResult
	TypeCrashes
	TypeCrashesResult
	TypeTable
	TypeTableResult
	TypeAllotment
	TypeCredit
	TypeCreditResult
	TypeCreditReturn
	// NumTypes is one more than the greatest type.
	NumTypes
)

// typeNames holds the names of the types in metrics.
var typeNames = [NumTypes]string{
	TypeHello:          "hello",
	TypeCancel:         "cancel",
	TypeCancelLeaf:     "cancel_leaf",
	TypeEnd:            "end",
	TypeError:          "error",
	TypeScatter:        "scatter",
	TypeLeafResult:     "leaf_result",
	TypeHeld:           "held",
	TypeHeldResult:     "held_result",
	TypeForward:        "forward",
	TypeForwardResult:  "forward_result",
	TypeHandover:       "handover",
	TypeHandoverResult: "handover_result",
	TypeHandoverNote:   "handover_note",
	TypeProcess:        "process",
	TypeProcessResult:  "process_result",
	TypeHeartbeat:      "beat",
	TypeMember:         "member",
	TypeBlob:           "blob",
	TypePing:           "ping",
	TypePong:           "pong",
	TypeCatalog:        "catalog",
	TypeCatalogResult:  "catalog_result",
	TypeGather:         "gather",
	TypeGatherResult:   "gather_result",
	TypeCrashes:        "crashes",
	TypeCrashesResult:  "crashes_result",
	TypeTable:          "table",
	TypeTableResult:    "table_result",
	TypeAllotment:      "allotment",
	TypeCredit:         "credit",
	TypeCreditResult:   "credit_result",
	TypeCreditReturn:   "credit_return",
	TypeQuarantineAck:  "quarantine_ack",
	TypeQuarantineEnd:  "quarantine_end",
	TypePermit:         "permit",
	TypePermitResult:   "permit_result",
	TypeRecords:        "records",
	TypeRecordsResult:  "records_result",
	TypeQuarantine:     "quarantine",
}

// String returns the name of t in metrics.
func (t Type) String() string {
	if t < NumTypes && typeNames[t] != "" {
		return typeNames[t]
	}
	return "unknown"
}

// Frame is one message between two nodes.
type Frame struct {
	Type    Type
	Stream  uint64
	Payload []byte
}

// Errors that Read returns for a frame that it refuses.
var (
	ErrVersion  = errors.New("unsupported protocol version")
	ErrTooLarge = errors.New("frame payload is too large")
)

// Read reads one frame. It returns ErrVersion or ErrTooLarge, wrapped, for a
// frame that it refuses. After any error r must not be used.
func Read(r io.Reader) (Frame, error) { return ReadAtMost(r, MaxPayload) }

// ReadAtMost is Read for a frame whose payload has at most maxPayload bytes.
func ReadAtMost(r io.Reader, maxPayload uint32) (Frame, error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[0:4])
	if header[4] != Version {
		return Frame{}, fmt.Errorf("%w: got %d, want %d", ErrVersion, header[4], Version)
	}
	if length > maxPayload {
		return Frame{}, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, length, maxPayload)
	}
	payload, err := readPayload(r, int(length))
	if err != nil {
		return Frame{}, fmt.Errorf("read a payload of %d bytes: %w", length, noEOF(err))
	}
	frame := Frame{
		Type:    Type(header[5]),
		Stream:  binary.BigEndian.Uint64(header[6:14]),
		Payload: payload,
	}
	return frame, nil
}

// readPayload reads a payload. The buffer grows as bytes arrive, so that a header alone takes no memory.
func readPayload(r io.Reader, length int) ([]byte, error) {
	payload := make([]byte, min(length, initialPayload))
	for filled := 0; ; {
		n, err := io.ReadFull(r, payload[filled:])
		filled += n
		if err != nil || filled == length {
			return payload, err
		}
		payload = append(payload, make([]byte, min(length-filled, filled))...)
	}
}

// Write writes one frame to w without flushing it.
func Write(w *bufio.Writer, f Frame) error {
	if len(f.Payload) > MaxPayload {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(f.Payload), MaxPayload)
	}
	var header [HeaderSize]byte
	binary.BigEndian.PutUint32(header[0:4], uint32(len(f.Payload)))
	header[4] = Version
	header[5] = byte(f.Type)
	binary.BigEndian.PutUint64(header[6:14], f.Stream)
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err := w.Write(f.Payload)
	return err
}

// Encode returns a message encoded as msgpack, with structs as arrays.
func Encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return buffer.Bytes(), nil
}

// Decode decodes a message from msgpack. It refuses payloads that exceed the limits of
// checkLimits.
func Decode(payload []byte, message any) error {
	if err := checkLimits(payload); err != nil {
		return fmt.Errorf("decode %T: %w", message, err)
	}
	if err := msgpack.Unmarshal(payload, message); err != nil {
		return fmt.Errorf("decode %T: %w", message, err)
	}
	return nil
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
