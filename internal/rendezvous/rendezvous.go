// Package rendezvous computes the weights of rendezvous hashing, which are the same on all
// nodes.
package rendezvous

import "hash/fnv"

// Weight returns a 64-bit hash of parts, which depends on their order. It is stable across
// processes and releases.
func Weight(parts ...string) uint64 {
	h := fnv.New64a()
	for i, p := range parts {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(p))
	}
	// FNV mixes the last bytes poorly, so the finalizer of MurmurHash3 is applied.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
