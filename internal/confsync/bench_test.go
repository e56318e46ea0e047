package confsync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const benchDocumentBytes = 470 << 10

// benchTag gives the delta between two revisions a size of about 200 bytes.
var benchTag = strings.Repeat("a", 200)

// BenchmarkSpread publishes a document of 470 KB every 72 s, which is 1,200 times a
// day. It reports the bytes and CPU time per node and second, the reads per second of
// the whole fleet, how long a change takes to reach all nodes and how long a restarted
// node takes to become ready.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48, 96} {
		for _, mode := range []string{"idle", "delta", "full"} {
			b.Run(fmt.Sprintf("nodes=%d/%s", size, mode), func(b *testing.B) {
				for range b.N {
					benchmarkSpread(b, size, mode)
				}
			})
		}
	}
}

func benchmarkSpread(b *testing.B, size int, mode string) {
	const changes, interval = 10, 72 * time.Second
	f := newFleet(size, 1)
	f.publish(document(1, benchTag, benchDocumentBytes))
	f.startAll()
	f.converge(1, time.Minute)
	sent := func() (total int) {
		for _, n := range f.nodes {
			if mode == "full" {
				n.syncer.history.differ = noDiffer{}
			}
			total += n.bytesSent
		}
		return total
	}
	before, readsBefore, from, cpu := sent(), len(f.reads), f.now, time.Now()
	var slowest time.Duration
	for revision := uint64(2); revision < 2+changes; revision++ {
		end := f.now + interval
		if mode != "idle" {
			f.publish(document(revision, benchTag, benchDocumentBytes))
			slowest = max(slowest, f.converge(revision, interval))
		}
		f.run(end - f.now)
	}
	seconds := (f.now - from).Seconds()
	perNode := float64(size) * seconds
	b.ReportMetric(float64(sent()-before)/perNode, "B/node/s")
	b.ReportMetric(float64(time.Since(cpu).Nanoseconds())/perNode, "ns/node/s")
	b.ReportMetric(float64(len(f.reads)-readsBefore)/seconds, "reads/s")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-to-all")
	f.start(f.nodes[size/2])
	restart := f.converge(f.revision(), time.Minute)
	b.ReportMetric(float64(restart.Milliseconds()), "ms-restart")
}

func benchSyncer(size int) (*Syncer, []Peer) {
	var peers []Peer
	for i := range size {
		name := fmt.Sprintf("h%d", i)
		peers = append(peers, Peer{Name: name, Address: name, DataCentre: fmt.Sprintf("dc%d", i%5), Ready: true})
	}
	opts := Options{Blob: "config", Self: peers[0], Check: check, Differ: headDiffer{}, FleetSize: size}
	s := New(opts, 0, rand.New(rand.NewPCG(1, 1)))
	s.MembersChanged(0, peers[1:])
	s.tryAccept(0, document(1, "a", benchDocumentBytes), Identity{}, ServiceSource)
	s.ready = true
	return s, peers[1:]
}

func BenchmarkTick(b *testing.B) {
	for _, size := range []int{6, 96, 600} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			s, _ := benchSyncer(size)
			b.ReportAllocs()
			for i := range b.N {
				s.Tick(time.Duration(i) * TickInterval)
			}
		})
	}
}

func BenchmarkMembersChanged(b *testing.B) {
	for _, size := range []int{6, 96, 600} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			s, peers := benchSyncer(size)
			b.ReportAllocs()
			for range b.N {
				s.MembersChanged(time.Minute, peers)
			}
		})
	}
}

func BenchmarkReceiveAnnounce(b *testing.B) {
	s, peers := benchSyncer(600)
	msg := s.announce(0, Identity{}, false)
	b.ReportAllocs()
	for range b.N {
		s.Receive(time.Minute, peers[7].Address, msg)
	}
}
