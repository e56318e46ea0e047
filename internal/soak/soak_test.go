package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

var (
	seedCount          = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed          = flag.Uint64("soak.seed", 2, "first seed")
	faultDuration      = flag.Duration("soak.length", 8*time.Second, "time in which faults are injected, for each seed")
	nodesPerDataCentre = flag.Int("soak.nodes", 2, "nodes in each data centre")
	logDir             = flag.String("soak.logs", "", "directory for the logs of seeds that fail")
)

// regressionSeeds maps seeds that have failed before to the cause.
var regressionSeeds = map[uint64]string{
	1: "SIGHUP ended a process that was stopping",
}

func TestSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed, nil) })
	}
}

// TestSoakSeedsThatFailed runs the seeds that have failed before.
func TestSoakSeedsThatFailed(t *testing.T) {
	for seed, cause := range regressionSeeds {
		t.Run(fmt.Sprintf("seed %d: %s", seed, cause), func(t *testing.T) { runSeed(t, seed, nil) })
	}
}

// runSeed runs a site under load and faults, and then checks what callers and leaves
// saw.
func runSeed(t *testing.T, seed uint64, tenants *tenants) {
	s := newSite(t, *nodesPerDataCentre, tenants)
	begin := time.Now()
	inj := &injector{site: s, rng: rand.New(rand.NewPCG(seed, 0)), drained: map[string]time.Time{}, kinds: faultKinds}
	if tenants != nil {
		inj.kinds = append(slices.Clone(faultKinds), tenantFaultKinds...)
	}
	faults, endFaults := context.WithTimeout(context.Background(), *faultDuration)
	defer endFaults()
	traffic, endTraffic := context.WithCancel(context.Background())
	c := startCallers(traffic, s, min(4*len(s.nodes), maxCallers), seed)
	inj.failRequests()
	inj.run(faults, 3)
	healed := time.Now()
	time.Sleep(settleTime)
	inj.plannedWork()
	endTraffic()
	c.wg.Wait()
	for _, failure := range c.failures {
		t.Error(failure)
	}
	v := &verifier{t: t, site: s, injector: inj, exchanges: c.completed, runs: s.journal.Runs(), arrivals: s.journal.Arrivals()}
	v.checkAtMostOnce()
	v.checkRefusals()
	v.checkStops()
	v.checkRepeats()
	v.checkColdLeaves()
	v.checkDrains()
	v.checkTakenOut()
	v.checkRecovery(healed.Add(settleTime))
	v.checkNewestConfiguration()
	v.checkTenants()
	t.Logf("seed %d: %d requests, %d runs, %d faults", seed, len(c.completed), len(v.runs), len(s.faults))
	if t.Failed() {
		t.Logf("faults:\n%s", s.describeFaults(begin))
		if *logDir != "" {
			file := filepath.Join(*logDir, fmt.Sprintf("seed-%d.log", seed))
			if err := os.WriteFile(file, []byte(s.logs(4<<20)), 0o600); err != nil {
				t.Error(err)
			}
		}
	}
}

// verifier checks what callers and leaves saw.
type verifier struct {
	t         *testing.T
	site      *site
	injector  *injector
	exchanges []exchange
	runs      []platformtest.Run
	arrivals  []platformtest.Run
}

// checkAtMostOnce checks that no request that is not idempotent ran twice.
func (v *verifier) checkAtMostOnce() {
	once := map[string]bool{}
	for _, r := range v.exchanges {
		once[r.id] = r.path == "/once/x"
	}
	count := map[string]int{}
	for _, r := range v.runs {
		if once[r.Attempt] {
			count[r.Attempt]++
		}
	}
	for id, n := range count {
		if n > 1 {
			v.t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// promises are the statuses that promise that a request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkRefusals checks that no refused request has run.
func (v *verifier) checkRefusals() {
	ran := map[string]bool{}
	for _, r := range v.runs {
		ran[r.Attempt] = true
	}
	for _, r := range v.exchanges {
		if slices.Contains(promises, r.status) && ran[r.id] {
			v.t.Errorf("request %s to %s was refused with %d and has run", r.id, r.path, r.status)
		}
	}
}

// checkStops checks that a planned stop cuts off no request that a leaf has run.
func (v *verifier) checkStops() {
	ran := map[string]bool{}
	for _, r := range v.runs {
		ran[r.Attempt] = true
	}
	for _, s := range v.injector.stops {
		for _, r := range v.exchanges {
			if r.node == s.node && r.err != nil && ran[r.id] && r.to.After(s.from) && r.from.Before(s.to) {
				v.t.Errorf("request %s ran and was cut off by the stop of %s: %v", r.id, s.node.name, r.err)
			}
		}
	}
}

// checkRepeats checks, for each service, the bound on arrivals of a request after its
// first. The bound on the repeats of a window follows from the greatest number of first
// arrivals in that window, in the window half a window earlier and in the window before.
func (v *verifier) checkRepeats() {
	arrived := map[string][]time.Time{}
	repeated := map[string][]time.Time{}
	seen := map[string]bool{}
	for _, r := range v.arrivals {
		key := r.Service + "/" + r.Attempt
		if seen[key] {
			repeated[r.Service] = append(repeated[r.Service], r.At)
		} else {
			arrived[r.Service] = append(arrived[r.Service], r.At)
		}
		seen[key] = true
	}
	for service, list := range repeated {
		for _, end := range list {
			extra := countWithin(list, end, repeatWindow)
			first := max(countWithin(arrived[service], end, repeatWindow),
				countWithin(arrived[service], end.Add(-repeatWindow/2), repeatWindow),
				countWithin(arrived[service], end.Add(-repeatWindow), repeatWindow))
			if bound := repeatRatio*float64(first) + repeatSlack; float64(extra) > bound {
				v.t.Errorf("service %s got %d repeats where %.0f are allowed", service, extra, bound)
				return
			}
		}
	}
}

// countWithin counts the times in the span that ends at end.
func countWithin(list []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range list {
		if !at.After(end) && at.After(end.Add(-span)) {
			n++
		}
	}
	return n
}

// checkColdLeaves checks the bound on the requests that a cold leaf gets in a second.
func (v *verifier) checkColdLeaves() {
	cold := map[string][]time.Time{}
	for _, r := range v.arrivals {
		if r.Cold {
			cold[r.Leaf] = append(cold[r.Leaf], r.At)
		}
	}
	for leaf, list := range cold {
		for _, end := range list {
			if n := countWithin(list, end, time.Second); n > coldSlack {
				v.t.Errorf("cold leaf %s got %d requests in a second", leaf, n)
				break
			}
		}
	}
}

// checkDrains checks that a leaf gets no new request once drainWithin has passed since it
// began to drain. It ignores spans with faults for which undisturbed does not hold.
func (v *verifier) checkDrains() {
	for _, r := range v.arrivals {
		at, drained := v.injector.drained[r.Leaf]
		if drained && r.At.After(at.Add(drainWithin)) && v.undisturbed(at, r.At) {
			v.t.Errorf("leaf %s got request %s %v after it began to drain", r.Leaf, r.Attempt, r.At.Sub(at))
		}
	}
}

// checkTakenOut checks that a data centre gets no new request once takeOutWithin has
// passed since it was taken out, until it is returned. It ignores spans with faults for
// which undisturbed does not hold.
func (v *verifier) checkTakenOut() {
	for _, span := range v.injector.out {
		for _, r := range v.arrivals {
			if r.Zone == span.dataCentre && r.At.After(span.from.Add(takeOutWithin)) && r.At.Before(span.to) && v.undisturbed(span.from, r.At) {
				v.t.Errorf("leaf %s in %s got request %s %v after the data centre was taken out", r.Leaf, r.Zone, r.Attempt, r.At.Sub(span.from))
			}
		}
	}
}

// undisturbed reports whether all faults from settleTime before from until to are
// harmless: leaves that drain, crash or misbehave, data centres taken out and new
// configurations.
func (v *verifier) undisturbed(from, to time.Time) bool {
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	for _, f := range v.site.faults {
		harmless := f.kind == "leaf drained" || f.kind == "data centre taken out" || f.kind == "new configuration" || f.kind == "four new configurations" ||
			f.kind == "leaf misbehaves" || f.kind == "leaf crashes"
		if !harmless && f.from.Before(to) && f.to.After(from.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// checkRecovery checks that at least 97% of the requests that are sent once all faults
// have ended are answered with status 200.
func (v *verifier) checkRecovery(from time.Time) {
	all, answered := 0, 0
	for _, r := range v.exchanges {
		if r.from.Before(from) {
			continue
		}
		if !v.site.tenants.served(r.key) {
			continue
		}
		all++
		if r.status == http.StatusOK {
			answered++
		}
	}
	if all == 0 || float64(answered) < 0.97*float64(all) {
		v.t.Errorf("%d of %d requests were answered after all faults had ended", answered, all)
	}
}

// checkNewestConfiguration checks that each node serves the newest configuration
// at the end.
func (v *verifier) checkNewestConfiguration() {
	for _, n := range v.site.nodes {
		for path, want := range map[string]int{
			fmt.Sprintf("/v%d/x", v.site.version):   http.StatusOK,
			fmt.Sprintf("/v%d/x", v.site.version-1): http.StatusNotFound,
		} {
			request, err := http.NewRequest(http.MethodGet, "http://"+n.front()+path, nil)
			if err != nil {
				v.t.Fatal(err)
			}
			request.Host = "soak.example"
			request.Header.Set(platformtest.HeaderAttempt, "probe"+n.name+path)
			request.Header.Set(platformtest.HeaderDeadline, "1000")
			request.Header.Set(platformtest.HeaderKey, steadyKey)
			response, err := opsClient.Do(request)
			if err != nil {
				v.t.Errorf("node %s does not answer: %v", n.name, err)
				continue
			}
			if _, err := drain(response); err != nil || response.StatusCode != want {
				v.t.Errorf("node %s answers %s with %d instead of %d (%v)", n.name, path, response.StatusCode, want, err)
			}
		}
	}
}
