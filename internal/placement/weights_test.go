package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
)

// fullyFree is the percentage of free processor time or free sessions of an idle
// host. The test limits the used part so that the free part stays above zero.
const fullyFree = 100.0

// loadWeights returns W_i = sum(W) * C_i * S_i / sum(C * S) for free processor
// time C and free session capacity S.
func loadWeights(total float64, c, s []float64) []float64 {
	sum := 0.0
	for i := range c {
		sum += c[i] * s[i]
	}
	weights := make([]float64, len(c))
	for i := range c {
		weights[i] = total * c[i] * s[i] / sum
	}
	return weights
}

// slotSpread returns the coefficient of variation of the slots per host, and the
// ratio of the maximum to the mean.
func slotSpread(hosts []Host, table *Table) (spread, greatest float64) {
	squares := 0.0
	for _, load := range ownedSlots(hosts, table) {
		squares += (load - 1) * (load - 1)
		greatest = max(greatest, load)
	}
	return math.Sqrt(squares / float64(len(hosts))), greatest
}

// movedShares returns the fraction of shares that have different owners in a and b.
func movedShares(a, b *Table) float64 {
	moved, total := 0, 0
	for i, leaf := range a.Leaves {
		for j, s := range leaf.Shares {
			total++
			moved += count(b.Leaves[i].Shares[j].Owner != s.Owner)
		}
	}
	return float64(moved) / float64(total)
}

// TestLoadWeightsMoveShares compares weights that are recomputed from measured load
// with static capacity weights: recomputed weights move shares although no host
// changes.
func TestLoadWeightsMoveShares(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 11))
	doc := services(1567, document.LeafLimits{Slots: 2, Connections: 25}, "")
	for _, size := range []int{6, 600} {
		hosts := fleet(size, 6)
		static := plan(t, hosts, doc)
		loaded := append([]Host(nil), hosts...)
		c, s := make([]float64, size), make([]float64, size)
		for i, share := range ownedSlots(hosts, static) {
			c[i] = fullyFree - min(90, 40*share*(0.9+0.2*rng.Float64()))
			s[i] = fullyFree - min(90, 50*share*(0.9+0.2*rng.Float64()))
		}
		for i, w := range loadWeights(float64(size), c, s) {
			loaded[i].Weight = w
		}
		adaptive := plan(t, loaded, doc)
		moved := movedShares(static, adaptive)
		spread, greatest := slotSpread(hosts, static)
		spreadByLoad, greatestByLoad := slotSpread(hosts, adaptive)
		t.Logf("%d hosts: spread static %.3f (greatest %.2f), by load %.3f (greatest %.2f)", size, spread, greatest, spreadByLoad, greatestByLoad)
		t.Logf("moved by one change of weights %.3f, by the loss of a host %.3f", moved, movedShares(static, plan(t, hosts[1:], doc)))
		require.Positive(t, moved)
	}
}

// ownedSlots returns the ratio of the slots of every host to the mean.
func ownedSlots(hosts []Host, table *Table) []float64 {
	index := make(map[string]int)
	for i, h := range hosts {
		index[h.Name] = i
	}
	owned := make([]float64, len(hosts))
	total := 0.0
	for _, leaf := range table.Leaves {
		for _, s := range leaf.Shares {
			owned[index[s.Owner]] += float64(s.Slots)
			total += float64(s.Slots)
		}
	}
	for i := range owned {
		owned[i] *= float64(len(hosts)) / total
	}
	return owned
}
