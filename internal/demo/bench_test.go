package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/entry"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
	"github.com/redwingshelf/redwingshelf/internal/standin"
	"github.com/redwingshelf/redwingshelf/internal/target"
)

const (
	benchCustomer = "bench"
	benchService  = "search"
	// scatterLeaves is the number of leaf calls of a query at the intended fleet size.
	scatterLeaves = 490
	// scatterQueries is the number of concurrent queries.
	scatterQueries = 2
	// warmupQueries is the number of queries that warm up every leaf.
	warmupQueries = 100
)

// fullCoverage is the coverage header of an answer with full coverage.
var fullCoverage = fmt.Sprintf("%d/%d", standin.KeySpace, standin.KeySpace)

// benchDocument returns a document with one service whose shards have one leaf each.
func benchDocument(tb testing.TB, leaves, perInstance, slots int) *document.Document {
	tb.Helper()
	doc, err := document.Generate(document.Spec{
		Revision:    1,
		DataCentres: []document.DataCentre{{Name: "north", Region: "north"}},
		Deployments: []document.DeploymentSpec{{
			Customer: benchCustomer,
			Services: []document.ServiceSpec{{
				Name:              benchService,
				Instances:         leaves / perInstance,
				LeavesPerInstance: perInstance,
				Shards:            leaves,
				Policy:            document.Policy{DeadlineMS: 10_000},
				Limits:            document.LeafLimits{Slots: slots, Connections: 25},
			}},
		}},
	})
	require.NoError(tb, err)
	doc.Normalize()
	return doc
}

func startBench(b *testing.B, doc *document.Document, nodes int) (*Site, map[string]string) {
	b.Helper()
	urls := startLeafProcess(b, doc)
	site, err := Start(context.Background(), Options{Document: doc, Nodes: nodes, Targets: urls})
	require.NoError(b, err)
	b.Cleanup(func() { _ = site.Close() })
	return site, urls
}

// postSearch sends one search, fails the benchmark unless it gets status 200, and
// returns the coverage header of the answer.
func postSearch(b *testing.B, client *http.Client, url string, header http.Header) (coverage string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(searchBody()))
	if err != nil {
		b.Error(err)
		return ""
	}
	request.Header = header
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v: %s", response.StatusCode, err, body)
	}
	return response.Header.Get(entry.HeaderCoverage)
}

func searchURL(address string) string {
	return fmt.Sprintf("http://%s/v1/customers/%s/services/%s/search", address, benchCustomer, benchService)
}

// remoteHost returns a node that holds no share of the only leaf.
func remoteHost(b *testing.B, s *Site) *Host {
	for _, h := range s.nodes {
		if len(h.node.Status().Leaves) == 0 {
			return h
		}
	}
	require.FailNow(b, "every node holds the leaf")
	return nil
}

// BenchmarkAddedLatency measures the latency that a node adds to a call of a leaf
// whose holder is another node, compared with direct calls in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	site, urls := startBench(b, benchDocument(b, 1, 1, 1), 2)
	url := searchURL(remoteHost(b, site).Address())
	client := &http.Client{Transport: &http.Transport{}}
	direct := http.Header{target.HeaderRequestID: {"direct"}, target.HeaderIdempotent: {"true"}}
	histograms := map[string]*hdrhistogram.Histogram{}
	measure := func(name string, exchange func()) {
		if histograms[name] == nil {
			histograms[name] = hdrhistogram.New(1, int64(time.Minute), 3)
		}
		begin := time.Now()
		exchange()
		_ = histograms[name].RecordValue(time.Since(begin).Nanoseconds())
	}
	for b.Loop() {
		for _, leaf := range urls {
			measure("direct", func() { postSearch(b, client, leaf+target.PathRun, direct) })
		}
		measure("node", func() { postSearch(b, client, url, http.Header{}) })
	}
	for _, quantile := range []float64{50, 99} {
		micros := func(name string) float64 {
			return float64(histograms[name].ValueAtQuantile(quantile)) / float64(time.Microsecond)
		}
		b.ReportMetric(micros("direct"), fmt.Sprintf("direct-p%g-µs", quantile))
		b.ReportMetric(micros("node"), fmt.Sprintf("node-p%g-µs", quantile))
		b.ReportMetric(micros("node")-micros("direct"), fmt.Sprintf("added-p%g-µs", quantile))
	}
}

// cpuTime returns the processor time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCalls reports leaf calls per elapsed time and per processor time of this
// process.
func reportCalls(b *testing.B, calls int, cpu, elapsed time.Duration) {
	b.ReportMetric(float64(calls)/elapsed.Seconds(), "calls/s")
	b.ReportMetric(float64(calls)/cpu.Seconds(), "calls/core-s")
	b.ReportMetric(float64(cpu.Microseconds())/float64(calls), "cpu-µs/call")
}

// runParallel runs b.N exchanges on scatterQueries goroutines.
func runParallel(b *testing.B, exchange func()) (cpu, elapsed time.Duration) {
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	begin, before := time.Now(), cpuTime(b)
	b.ResetTimer()
	var wg sync.WaitGroup
	for range scatterQueries {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				exchange()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	return cpuTime(b) - before, time.Since(begin)
}

// BenchmarkScatter measures queries of 490 leaves through six nodes. The
// processor time is that of the nodes and the client; the leaves run in a process
// of their own. A leaf of one slot has one holder, a leaf of two has two.
func BenchmarkScatter(b *testing.B) {
	for _, slots := range []int{1, 2} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) { benchScatter(b, slots) })
	}
}

func benchScatter(b *testing.B, slots int) {
	site, _ := startBench(b, benchDocument(b, scatterLeaves, 5, slots), 6)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: scatterQueries}}
	var next, partial atomic.Int64
	addresses := site.Addresses()
	exchange := func() {
		address := addresses[int(next.Add(1))%len(addresses)]
		if postSearch(b, client, searchURL(address), http.Header{}) != fullCoverage {
			partial.Add(1)
		}
	}
	for range warmupQueries {
		exchange()
	}
	partial.Store(0)
	cpu, elapsed := runParallel(b, exchange)
	reportCalls(b, b.N*scatterLeaves, cpu, elapsed)
	b.ReportMetric(float64(partial.Load())/float64(b.N), "partial/op")
}

// BenchmarkLeafCalls measures the same leaf calls without nodes, which is the lower
// bound that the client of the target contract sets.
func BenchmarkLeafCalls(b *testing.B) {
	urls := startLeafProcess(b, benchDocument(b, scatterLeaves, 5, 2))
	var callers []*target.HTTP
	for _, url := range urls {
		caller, err := target.NewHTTP(url, 25, memlimit.New(0))
		require.NoError(b, err)
		defer caller.Close()
		callers = append(callers, caller)
	}
	body := []byte(searchBody())
	var next, lost atomic.Int64
	cpu, elapsed := runParallel(b, func() {
		var wg sync.WaitGroup
		for _, caller := range callers {
			wg.Go(func() {
				id := fmt.Sprint(next.Add(1))
				request := &target.Request{ID: id, Idempotent: true, Deadline: time.Now().Add(time.Minute), Body: body}
				if _, err := caller.Call(context.Background(), request); err != nil {
					lost.Add(1)
				}
			})
		}
		wg.Wait()
	})
	reportCalls(b, b.N*scatterLeaves, cpu, elapsed)
	b.ReportMetric(float64(lost.Load()), "lost-calls")
}

// BenchmarkIdleNode measures the memory of nodes that have served each service
// once, as the slope between one and seven nodes.
func BenchmarkIdleNode(b *testing.B) {
	for _, c := range []struct {
		name string
		doc  *document.Document
	}{
		{"adom", loadExample(b, "adom")},
		{"4700 leaves", fleetDocument(b)},
	} {
		b.Run(c.name, func(b *testing.B) {
			urls := startLeafProcess(b, c.doc)
			for b.Loop() {
				const few, many = 1, 7
				first, second := siteMemory(b, c.doc, urls, few), siteMemory(b, c.doc, urls, many)
				slope := func(a, b uint64) float64 { return (float64(b) - float64(a)) / (many - few) }
				b.ReportMetric(slope(first.HeapAlloc, second.HeapAlloc)/1024, "heap-KB/node")
				b.ReportMetric(slope(first.StackInuse, second.StackInuse)/1024, "stack-KB/node")
			}
		})
	}
}

func fleetDocument(b *testing.B) *document.Document {
	doc, err := document.Generate(document.FleetSpec())
	require.NoError(b, err)
	doc.Normalize()
	return doc
}

func siteMemory(b *testing.B, doc *document.Document, urls map[string]string, nodes int) runtime.MemStats {
	site, err := Start(context.Background(), Options{Document: doc, Nodes: nodes, Targets: urls})
	require.NoError(b, err)
	defer func() { require.NoError(b, site.Close()) }()
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
