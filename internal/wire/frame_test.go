package wire

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// encodeFrame returns the encoded bytes of a frame.
func encodeFrame(t testing.TB, f Frame) []byte {
	var buffer bytes.Buffer
	w := bufio.NewWriter(&buffer)
	require.NoError(t, Write(w, f))
	require.NoError(t, w.Flush())
	return buffer.Bytes()
}

func TestRead(t *testing.T) {
	whole := encodeFrame(t, Frame{Type: TypeScatter, Stream: 7, Payload: []byte("payload")})
	withByte := func(position int, value byte) []byte {
		changed := bytes.Clone(whole)
		changed[position] = value
		return changed
	}
	for _, c := range []struct {
		name string
		data []byte
		err  error
	}{
		{"whole", whole, nil},
		{"nothing", nil, io.EOF},
		{"part of the header", whole[:HeaderSize-1], io.ErrUnexpectedEOF},
		{"header only", whole[:HeaderSize], io.ErrUnexpectedEOF},
		{"part of the payload", whole[:len(whole)-1], io.ErrUnexpectedEOF},
		{"another version", withByte(4, Version+1), ErrVersion},
		{"too large", withByte(0, 0xff), ErrTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := Read(bytes.NewReader(c.data))
			require.ErrorIs(t, err, c.err)
			if c.err == nil {
				require.Equal(t, Frame{Type: TypeScatter, Stream: 7, Payload: []byte("payload")}, f)
			}
		})
	}
	err := Write(bufio.NewWriter(io.Discard), Frame{Payload: make([]byte, MaxPayload+1)})
	require.ErrorIs(t, err, ErrTooLarge)
}

// FuzzRead checks that each frame that is read is encoded to the same bytes, and that
// decoding its payload never panics.
func FuzzRead(f *testing.F) {
	for _, message := range []any{
		&Hello{Host: "tema-0", Incarnation: 1},
		&Scatter{RequestID: "r", AttemptID: "r.1", Leaves: []string{"t1-0"}, Body: []byte("{}")},
		&LeafResult{RequestID: "r", Leaf: "t1-0", Held: []HeldSnapshot{{Snapshot: "1-first", To: 9}}},
		&Forward{Ticket: "t", Body: []byte("{}")},
	} {
		payload, err := Encode(message)
		require.NoError(f, err)
		f.Add(encodeFrame(f, Frame{Type: TypeScatter, Stream: 1, Payload: payload}))
	}
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, Version, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		again := encodeFrame(t, frame)
		require.Equal(t, data[:len(again)], again)
		for _, message := range []any{new(Hello), new(Scatter), new(LeafResult), new(HeldResult), new(Forward), new(ForwardResult)} {
			_ = Decode(frame.Payload, message)
		}
	})
}
