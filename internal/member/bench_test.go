package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// eventInterval is the mean time between 17 failures and 830 restarts a day.
const eventInterval = 24 * time.Hour / (17 + 830)

// BenchmarkFleet runs a fleet for ten virtual minutes without and ten with a count of the
// bytes sent. It reports, per node, the bytes sent in the first minute, in which all nodes
// start, the bytes and messages per second after that, the processor time, which includes
// the test harness, the memory, and the time until all others know that a node is leaving. In
// churn mode a node restarts every 102 s, whatever the size of the fleet, and every 50th
// restart is a failure that other nodes must detect.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48, 96, 600} {
		for _, mode := range []string{"idle", "churn"} {
			b.Run(fmt.Sprintf("nodes=%d/%s", size, mode), func(b *testing.B) {
				for range b.N {
					runFleet(b, size, mode == "churn")
				}
			})
		}
	}
}

func runFleet(b *testing.B, size int, churn bool) {
	const duration = 10 * time.Minute
	heap := heapBytes()
	f := newFleet(size, 1)
	f.measure = true
	f.run(time.Minute)
	f.measure = false
	heap = heapBytes() - heap
	sent := func() (bytes, messages int) {
		for _, n := range f.nodes {
			bytes += n.sent
			messages += n.messages
		}
		return bytes, messages
	}
	started, _ := sent()
	b.ReportMetric(float64(started)/float64(size), "startB/node")
	from := f.now
	processor := f.runTimed(duration, churn)
	processorSeconds := float64(size) * (f.now - from).Seconds()
	f.measure = true
	from = f.now
	bytes, messages := sent()
	f.runTimed(duration, churn)
	bytesAfter, messagesAfter := sent()
	seconds := float64(size) * (f.now - from).Seconds()
	leavingNode := f.nodes[size/2]
	leavingNode.list.SetLeaving()
	spread := f.timeUntil(time.Minute, f.allSee(leavingNode, Leaving))
	b.ReportMetric(float64(spread.Milliseconds()), "ms-to-all")
	b.ReportMetric(float64(bytesAfter-bytes)/seconds, "B/node/s")
	b.ReportMetric(float64(messagesAfter-messages)/seconds, "msgs/node/s")
	b.ReportMetric(float64(processor.Nanoseconds())/processorSeconds, "ns/node/s")
	b.ReportMetric(float64(heap)/float64(size), "heapB/node")
}

// runTimed runs the fleet for a virtual time and returns the real time that it took. In churn
// mode it restarts a node at each event.
func (f *fleet) runTimed(d time.Duration, churn bool) time.Duration {
	start := time.Now()
	if !churn {
		f.run(d)
		return time.Since(start)
	}
	for i := 0; time.Duration(i)*eventInterval < d; i++ {
		n := f.nodes[2+f.rng.IntN(len(f.nodes)-2)]
		f.stop(n)
		if i%50 == 0 {
			f.run(30 * time.Second)
		}
		f.start(n)
		f.run(min(eventInterval, d))
	}
	return time.Since(start)
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func newSettledFleet(size int) *fleet {
	f := newFleet(size, 1)
	f.timeToConverge(time.Minute)
	f.run(time.Minute)
	return f
}

// BenchmarkTickAlone measures a node that receives no messages, so that all other members
// become dead in its view.
func BenchmarkTickAlone(b *testing.B) {
	for _, size := range []int{6, 96, 600} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newSettledFleet(size)
			l := f.nodes[0].list
			b.ReportAllocs()
			now := f.now
			for b.Loop() {
				now += TickInterval
				l.Tick(now)
			}
		})
	}
}

func BenchmarkPingEncoding(b *testing.B) {
	f := newSettledFleet(6)
	ping := &Ping{Self: f.nodes[0].list.Self(), Updates: f.nodes[1].list.Members()}
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := msgpack.Marshal(ping)
		require.NoError(b, err)
		require.NoError(b, msgpack.Unmarshal(encoded, new(Ping)))
	}
}

func BenchmarkReceivePing(b *testing.B) {
	for _, size := range []int{6, 96, 600} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newSettledFleet(size)
			peer := f.nodes[1].list.Self()
			b.ReportAllocs()
			for b.Loop() {
				f.nodes[0].list.Receive(f.now, peer.Address, &Ping{Self: peer})
			}
		})
	}
}
