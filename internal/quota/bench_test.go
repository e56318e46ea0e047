package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

func fleetNodes(n int) (nodes []Node) {
	for i := range n {
		nodes = append(nodes, Node{Name: fmt.Sprintf("host-%d/0a1b2c3d", i), Address: fmt.Sprintf("10.0.%d.%d:7740", i/250, i%250), DataCentre: fmt.Sprintf("dc-%d", i%5), Capacity: 80})
	}
	return nodes
}

// BenchmarkAllotments measures one interval of a fleet at one grantor.
func BenchmarkAllotments(b *testing.B) {
	for _, nodes := range []int{80, 600} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			p, now := NewPot(0), time.Duration(0)
			for b.Loop() {
				now += AllotInterval
				for i := range nodes {
					p.Add(now, &Allotment{Process: fmt.Sprint("host-", i), Sequence: uint64(now), Slots: 0xffff, Span: AllotInterval, Share: 1 / float64(2*nodes)})
				}
			}
		})
	}
}

// BenchmarkGrant measures a credit, with the memory of a bucket for each tenant.
func BenchmarkGrant(b *testing.B) {
	for _, tenants := range []int{82, 5000} {
		b.Run(fmt.Sprintf("%d tenants", tenants), func(b *testing.B) {
			limits := make([]Limit, tenants)
			for i := range limits {
				limits[i] = Limit{Tenant: fmt.Sprint("tenant-", i), Rate: 1e6, Burst: 1e6}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := NewPot(0)
			for i := range limits {
				p.bucket(0, limits[i])
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			p.Add(time.Second, &Allotment{Process: "a", Sequence: 1, Slots: ^Slots(0), Span: AllotInterval, Share: 1})
			i := 0
			for b.Loop() {
				p.Grant(time.Second, limits[i%tenants])
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tenants), "B/tenant")
		})
	}
}

// BenchmarkRing measures the assignment of slots after a change of the fleet.
func BenchmarkRing(b *testing.B) {
	for _, n := range []int{80, 600} {
		nodes := fleetNodes(n)
		b.Run(fmt.Sprintf("%d nodes", n), func(b *testing.B) {
			for b.Loop() {
				NewRing(nodes)
			}
		})
	}
	payload, err := wire.Encode(&Allotment{Process: fleetNodes(1)[0].Name, Sequence: 100000, Slots: 0xffff0000ffff, Span: AllotInterval, Share: 1.0 / 1200})
	if err != nil {
		b.Fatal(err)
	}
	b.Logf("an allotment has %d bytes, and a header of %d", len(payload), wire.HeaderSize)
}
