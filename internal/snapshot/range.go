package snapshot

import "math/bits"

// KeySpace is the number of keys that the shards of a snapshot cover together.
const KeySpace = 1 << 16

const (
	wordBits  = 64
	wordCount = KeySpace / wordBits
)

// Range is the half-open range [From, To) of the key space. The zero value is
// empty and means an unknown range.
type Range struct {
	From uint32
	To   uint32
}

// Valid reports whether r is not empty and lies within the key space.
func (r Range) Valid() bool { return r.From < r.To && r.To <= KeySpace }

// Contains reports whether all of other lies in r.
func (r Range) Contains(other Range) bool { return r.From <= other.From && other.To <= r.To }

// RangeSet is the exact union of key ranges, stored as a bitmap. The zero value is
// an empty set that is ready to use.
type RangeSet struct {
	words [wordCount]uint64
	count uint32
}

// Count returns the number of keys in the set.
func (s *RangeSet) Count() uint32 { return s.count }

// Full reports whether the set contains the whole key space.
func (s *RangeSet) Full() bool { return s.count == KeySpace }

// Reset empties the set.
func (s *RangeSet) Reset() { *s = RangeSet{} }

// Add adds r and returns the number of keys that were not in the set before.
// An invalid range adds nothing.
func (s *RangeSet) Add(r Range) uint32 {
	if !r.Valid() {
		return 0
	}
	added := 0
	last := (r.To - 1) / wordBits
	for w := r.From / wordBits; w <= last; w++ {
		mask := wordMask(r, w)
		added += bits.OnesCount64(mask &^ s.words[w])
		s.words[w] |= mask
	}
	s.count += uint32(added)
	return uint32(added)
}

// Contains reports whether every key of a valid range r is in the set.
func (s *RangeSet) Contains(r Range) bool {
	if !r.Valid() {
		return false
	}
	last := (r.To - 1) / wordBits
	for w := r.From / wordBits; w <= last; w++ {
		mask := wordMask(r, w)
		if s.words[w]&mask != mask {
			return false
		}
	}
	return true
}

// Gaps returns the ranges that are not in the set, in order.
func (s *RangeSet) Gaps() []Range {
	var gaps []Range
	key := uint32(0)
	for key < KeySpace {
		from := s.next(key, false)
		if from == KeySpace {
			break
		}
		key = s.next(from, true)
		gaps = append(gaps, Range{From: from, To: key})
	}
	return gaps
}

// next returns the first key at or after from that is in the set (if present is
// true) or not in it (if present is false), or KeySpace if there is none.
func (s *RangeSet) next(from uint32, present bool) uint32 {
	for key := from; key < KeySpace; {
		word := s.words[key/wordBits]
		if !present {
			word = ^word
		}
		word >>= key % wordBits
		if word != 0 {
			return key + uint32(bits.TrailingZeros64(word))
		}
		key = (key/wordBits + 1) * wordBits
	}
	return KeySpace
}

// wordMask returns the bits of word w that r covers.
func wordMask(r Range, w uint32) uint64 {
	mask := ^uint64(0)
	if start := w * wordBits; r.From > start {
		mask <<= r.From - start
	}
	if end := (w + 1) * wordBits; r.To < end {
		mask &= ^uint64(0) >> (end - r.To)
	}
	return mask
}
