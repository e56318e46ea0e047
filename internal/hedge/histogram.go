package hedge

import (
	"math"
	"time"
)

const (
	// minLatency is the upper bound of the first bucket.
	minLatency = 50 * time.Microsecond
	// bucketsPerOctave is the number of buckets for each doubling of latency.
	bucketsPerOctave = 8
	// octaves covers latencies up to 52 s.
	octaves    = 20
	numBuckets = octaves * bucketsPerOctave
	// halveAt is the number of samples at which all counts are halved.
	halveAt = 8192
)

// histogram counts latencies in exponentially growing buckets. Counts are halved regularly,
// so that old samples lose weight.
type histogram struct {
	counts [numBuckets]float32
	total  float32
}

func (h *histogram) observe(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	if h.total < halveAt {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// quantile returns the q-quantile of the samples, or zero if there are none.
func (h *histogram) quantile(q float64) time.Duration {
	rest := float32(q) * h.total
	for i, n := range h.counts {
		if n > 0 && rest <= n {
			return lowerBound(float64(i) + float64(rest/n))
		}
		rest -= n
	}
	return 0
}

func bucketOf(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	octave := math.Log2(float64(d) / float64(minLatency))
	return min(int(octave*bucketsPerOctave), numBuckets-1)
}

// lowerBound returns the latency at a fractional bucket index.
func lowerBound(i float64) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(i/bucketsPerOctave))
}
