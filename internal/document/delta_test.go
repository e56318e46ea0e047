package document

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// fleetBytes returns a document with the dimensions of FleetSpec. Long service names
// give it a size of about 470 KB.
func fleetBytes(t testing.TB) []byte {
	t.Helper()
	spec := FleetSpec()
	spec.Deployments[0].Services[0].Name = "search-of-greenhouse-panes"
	spec.Deployments[1].Services[0].Name = "archive-of-greenhouse-panes"
	doc, err := Generate(spec)
	require.NoError(t, err)
	data, err := Encode(doc)
	require.NoError(t, err)
	return data
}

// requireRebuilds checks that a delta rebuilds newBytes and returns its size.
func requireRebuilds(t testing.TB, oldBytes, newBytes []byte) int {
	t.Helper()
	delta, err := Delta(oldBytes, newBytes)
	require.NoError(t, err)
	require.LessOrEqual(t, len(delta), len(newBytes)+deltaOverheadBytes)
	rebuilt, err := Apply(oldBytes, delta)
	require.NoError(t, err)
	require.True(t, bytes.Equal(newBytes, rebuilt))
	return len(delta)
}

func TestDeltaOfSmallChangesIsSmall(t *testing.T) {
	const maxDeltaBytes = 1024
	fleet := fleetBytes(t)
	var compact bytes.Buffer
	require.NoError(t, json.Compact(&compact, fleet))
	for name, base := range map[string]string{"lines": string(fleet), "compact": compact.String()} {
		t.Run(name, func(t *testing.T) {
			taken := strings.Replace(base, `"data_centres"`, `"taken_out": ["north-1"], "data_centres"`, 1)
			size := requireRebuilds(t, []byte(base), []byte(taken))
			require.Less(t, size, maxDeltaBytes)
			size = requireRebuilds(t, []byte(taken), []byte(base))
			require.Less(t, size, maxDeltaBytes)
		})
	}
}

func TestDeltaIsBounded(t *testing.T) {
	noise := make([]byte, MaxBytes)
	random := rand.NewChaCha8([32]byte{})
	_, err := random.Read(noise)
	require.NoError(t, err)
	requireRebuilds(t, fleetBytes(t), noise)
	requireRebuilds(t, noise, nil)
	requireRebuilds(t, nil, noise)
	_, err = Delta(nil, append(noise, 0))
	require.Error(t, err)
}

func TestApplyRejectsWrongBaseAndTruncation(t *testing.T) {
	oldBytes, newBytes := []byte(smallDocument), []byte(smallDocument+"// more\n")
	delta, err := Delta(oldBytes, newBytes)
	require.NoError(t, err)
	_, err = Apply(newBytes, delta)
	require.ErrorIs(t, err, ErrDeltaBase)
	for length := range delta {
		_, err = Apply(oldBytes, delta[:length])
		require.ErrorIs(t, err, ErrDeltaCorrupt)
	}
	_, err = Apply(oldBytes, make([]byte, MaxDeltaBytes+1))
	require.ErrorIs(t, err, ErrDeltaCorrupt)
}

func TestApplyRejectsCopiesOutOfRange(t *testing.T) {
	for _, copyOp := range [][]int{{-1, 4}, {0, -4}, {1 << 62, 1 << 62}, {len(smallDocument), 1}, {0}} {
		var buffer bytes.Buffer
		digest := make([]byte, 32)
		encoder := msgpack.NewEncoder(&buffer)
		base, err := encodeDelta([]byte(smallDocument), digest, nil)
		require.NoError(t, err)
		require.NoError(t, encoder.Encode(copyOp))
		base[0]++ // one more element in the array of operations
		_, err = Apply([]byte(smallDocument), append(base, buffer.Bytes()...))
		require.ErrorIs(t, err, ErrDeltaCorrupt)
	}
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte(smallDocument), []byte(strings.ReplaceAll(smallDocument, "tema", "lome")), []byte{0x93, 0xc4, 0x00})
	f.Add([]byte(""), []byte("}\n}"), []byte{0xdf})
	f.Fuzz(func(t *testing.T, oldBytes, newBytes, hostile []byte) {
		if len(newBytes) > MaxBytes {
			return
		}
		requireRebuilds(t, oldBytes, newBytes)
		_, err := Apply(oldBytes, hostile)
		require.Error(t, err)
	})
}

// BenchmarkDelta also reports the size of a delta for a changed revision and one other
// field.
func BenchmarkDelta(b *testing.B) {
	oldBytes := fleetBytes(b)
	newBytes := bytes.Replace(oldBytes, []byte(`"revision": 1`), []byte(`"revision": 2`), 1)
	newBytes = bytes.Replace(newBytes, []byte(`"slots": 2`), []byte(`"slots": 3`), 1)
	delta, err := Delta(oldBytes, newBytes)
	require.NoError(b, err)
	b.Run("Delta", func(b *testing.B) {
		for b.Loop() {
			_, err = Delta(oldBytes, newBytes)
		}
		require.NoError(b, err)
		b.ReportMetric(float64(len(oldBytes)), "document-B")
		b.ReportMetric(float64(len(delta)), "delta-B")
	})
	b.Run("Apply", func(b *testing.B) {
		for b.Loop() {
			_, err = Apply(oldBytes, delta)
		}
		require.NoError(b, err)
	})
}

// BenchmarkLoad measures the time to load a document with the dimensions of FleetSpec
// and the memory that it retains.
func BenchmarkLoad(b *testing.B) {
	data := fleetBytes(b)
	before := heapBytes()
	loaded, err := Load(data)
	require.NoError(b, err)
	retained := heapBytes() - before
	b.ReportAllocs()
	for b.Loop() {
		loaded, err = Load(data)
	}
	require.NoError(b, err)
	runtime.KeepAlive(loaded)
	b.ReportMetric(float64(retained), "retained-B")
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
