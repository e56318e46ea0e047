package relay

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordBytes is the size of a record in a part.
const recordBytes = 16

// record is a record as two big-endian numbers, which compare in the same order as its bytes.
type record struct{ high, low uint64 }

// mergeTopK returns the k greatest records of the parts in descending order. An incomplete
// record at the end of a part is ignored.
func mergeTopK(parts [][]byte, k int) []byte {
	n := 0
	for _, part := range parts {
		n += len(part) / recordBytes
	}
	records := make([]record, 0, n)
	for _, part := range parts {
		for ; len(part) >= recordBytes; part = part[recordBytes:] {
			records = append(records, record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[8:])})
		}
	}
	slices.SortFunc(records, func(a, b record) int {
		if c := cmp.Compare(b.high, a.high); c != 0 {
			return c
		}
		return cmp.Compare(b.low, a.low)
	})
	records = records[:min(len(records), max(k, 0))]
	body := make([]byte, 0, len(records)*recordBytes)
	for _, r := range records {
		body = binary.BigEndian.AppendUint64(body, r.high)
		body = binary.BigEndian.AppendUint64(body, r.low)
	}
	return body
}
