package wire_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/quarantine"
	"github.com/redwingshelf/redwingshelf/internal/relay"
	"github.com/redwingshelf/redwingshelf/internal/statesync"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// nested returns lists of one element, nested to a depth.
func nested(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }

// TestDecodeBoundsDepth guards against payloads nested so deeply that decoding them
// overflows the stack, which would end the process.
func TestDecodeBoundsDepth(t *testing.T) {
	deep := nested(wire.MaxPayload - 64)
	payloads := [][]byte{append([]byte{0x81, 0xa2, 'z', 'z'}, deep...)}
	for fields := range 12 {
		payload := append([]byte{0x90 + byte(fields) + 1}, bytes.Repeat([]byte{0xc0}, fields)...)
		payloads = append(payloads, append(payload, deep...))
	}
	for _, payload := range payloads {
		for _, message := range messages() {
			require.Error(t, wire.Decode(payload, message), "%T", message)
		}
	}
}

func messages() []any {
	return []any{
		new(wire.Scatter), new([]quarantine.CrashRecord), new(quarantine.CrashRecord), new(wire.Process), new(wire.Hello),
		new(wire.CancelLeaf), new(wire.LeafResult), new(statesync.Reply),
		new(statesync.TableRequest), new(statesync.TablePart), new(relay.GatherCall), new(relay.GatherAnswer),
	}
}

// FuzzDecode checks that no payload ends the process, and that every message that is
// decoded can be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x81, 0xa2, 'z', 'z', 0x91, 0xc0})
	f.Add(append([]byte{0x81, 0xa2, 'z', 'z'}, nested(1000)...))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc6, 0xff, 0xff, 0xff, 0xff, 1})
	for _, message := range []any{
		&quarantine.CrashRecord{Ends: []quarantine.ProcessEnd{{ID: 1, Service: "s", Received: 2, Ended: 1}}, Trials: 1},
		&statesync.Reply{Process: "p", Changes: []catalog.Change{{Key: "k", Leaf: &catalog.Leaf{ID: "i"}}}},
		&relay.GatherCall{ID: "r", Header: map[string][]string{"A": {"b"}}},
	} {
		payload, err := wire.Encode(message)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		for _, message := range messages() {
			if wire.Decode(payload, message) == nil {
				_, err := wire.Encode(message)
				require.NoError(t, err)
			}
		}
	})
}
