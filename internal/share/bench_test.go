package share

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// controlBudget is the greatest control traffic of one node per second.
const controlBudget = 5 * 1024

// benchInstances gives 99 leaves in the cell.
const benchInstances = 33

// frameBytes is the cost of one frame: a length and the headers of TCP and IP.
const frameBytes = 4 + 40

func encode(t testing.TB, b Heartbeat) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	require.NoError(t, enc.Encode(b))
	return buf.Bytes()
}

// steady returns a sim with many leaves and sequence numbers of usual size.
func steady(t testing.TB, hosts int) *sim {
	s := settledSim(t, hosts)
	for _, h := range s.hosts {
		h.state.SetDocument(h.local(s.now), simDocument(benchInstances))
		h.state.seq = 1 << 20
	}
	require.NoError(t, s.run(2*time.Second))
	return s
}

func TestBeatsFitTheBudget(t *testing.T) {
	for _, hosts := range []int{6, 8} {
		h := steady(t, hosts).hosts[0]
		out := h.state.beats(h.state.last)
		size := len(encode(t, out[0].Heartbeat))
		perSecond := float64((size+frameBytes)*len(out)) / DefaultBeatInterval.Seconds()
		t.Logf("%d hosts: %d bytes per heartbeat, %.0f bytes/s with frames", hosts, size, perSecond)
		require.Less(t, perSecond, float64(controlBudget))
		var decoded Heartbeat
		require.NoError(t, msgpack.Unmarshal(encode(t, out[0].Heartbeat), &decoded))
		require.Equal(t, out[0].Heartbeat.Echo, decoded.Echo)
		require.Equal(t, out[0].Heartbeat.Ages, decoded.Ages)
	}
}

func BenchmarkState(b *testing.B) {
	for _, hosts := range []int{6, 8} {
		s := steady(b, hosts)
		state := s.hosts[0].state
		beat := s.hosts[1].state.beats(s.hosts[1].state.last)[0].Heartbeat
		now := state.last
		b.Run(fmt.Sprintf("Allowed/%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				state.Allowed(now, "adom/s2/i0/a")
			}
		})
		b.Run(fmt.Sprintf("Receive/%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				beat.Seq++
				state.Receive(now, beat)
			}
		})
		b.Run(fmt.Sprintf("Tick/%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				state.nextBeat = now
				state.Tick(now)
			}
		})
	}
}
