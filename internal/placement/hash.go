package placement

import (
	"hash/fnv"
	"math"
)

// The salts make the rankings of cells and of the hosts for each share independent.
const (
	saltCell   uint64 = 0x9e3779b97f4a7c15
	saltShare0 uint64 = 0xc2b2ae3d27d4eb4f
	saltShare1 uint64 = 0x165667b19e3779f9
)

var shareSalts = [maxShares]uint64{saltShare0, saltShare1}

// hashString returns the 64-bit FNV-1a hash of s, which is stable across
// processes and releases.
func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// score returns the weighted rendezvous score of a node, given by its hash, for a
// key. The probability that a node has the highest score is proportional to its
// weight.
func score(key, node, salt uint64, weight float64) float64 {
	h := mix(mix(key^salt) + node)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
