package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/faultproxy"
	"github.com/redwingshelf/redwingshelf/platform/platformtest"
)

// Bounds of tenants, as the users' sites set them.
const (
	revokeWithin = 5 * time.Second
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20
	// learnWithin is the time after which a key that was added is known to all nodes that are
	// not disturbed.
	learnWithin = 5 * time.Second
)

// Kinds of callers of a site with tenants: those of a tenant without limit, of one that sends more
// than its limit, and of one whose key changes.
const (
	steadyCaller = iota
	hotCaller
	changingCaller
	tenantKinds
)

const (
	steadyKey = "steady-key"
	hotKey    = "hot-key"
	hotRate   = 10.0
	hotBurst  = 5.0
)

// tenants are the tenants of a site. A nil value is a site without tenants.
type tenants struct {
	// mu guards the fields below.
	mu sync.Mutex
	// keys are those of the tenant whose key changes, the newest one last.
	keys []string
	// revoked and added are when the store had acknowledged that a key was taken away or added.
	revoked, added map[string]time.Time
}

func newTenants() *tenants {
	return &tenants{keys: []string{"changing-0"}, revoked: map[string]time.Time{}, added: map[string]time.Time{}}
}

// list returns the tenants as the configuration holds them.
func (s *tenants) list() []platformtest.Tenant {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return []platformtest.Tenant{
		{Name: "steady", APIKeys: []string{steadyKey}},
		{Name: "hot", APIKeys: []string{hotKey}, RatePerS: hotRate, Burst: hotBurst},
		{Name: "changing", APIKeys: s.keys[len(s.keys)-1:]},
	}
}

// changeKey replaces the key that changes in the next configuration. The returned function is called
// once the store has acknowledged it.
func (s *tenants) changeKey() (acknowledged func()) {
	if s == nil {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, next := s.keys[len(s.keys)-1], fmt.Sprintf("changing-%d", len(s.keys))
	s.keys = append(s.keys, next)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revoked[old], s.added[next] = time.Now(), time.Now()
	}
}

// nextKey returns the key of a caller's next request, given the one before. A caller goes on with a
// key that was taken away for some time.
func (s *tenants) nextKey(rng *rand.Rand, kind int, before string) string {
	if s == nil {
		return ""
	}
	switch kind {
	case steadyCaller:
		return steadyKey
	case hotCaller:
		return hotKey
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if before == "" || rng.IntN(100) == 0 {
		return s.keys[len(s.keys)-1]
	}
	return before
}

// served reports whether a request with a key has to be served in calm.
func (s *tenants) served(key string) bool { return s == nil || key == steadyKey }

// tenantFaultKinds are the faults of sites with tenants besides faultKinds.
var tenantFaultKinds = []faultKind{
	{"store returns as an older copy", (*injector).returnStore},
	{"store returns as an older copy", (*injector).returnStore},
	{"node cut off", (*injector).cutOffNode},
}

// returnStore has the store come back as an older copy. What was lost is written again soon.
func (inj *injector) returnStore() {
	if !inj.returning.TryLock() {
		return
	}
	defer inj.returning.Unlock()
	copied := inj.site.store.Copy()
	time.Sleep(inj.durationBetween(100, 2500))
	writeAgain := inj.site.store.Return(copied)
	time.Sleep(inj.durationBetween(50, 1500))
	writeAgain()
}

// cutOffNode cuts a node off from the store for longer than a key may be taken to be valid.
func (inj *injector) cutOffNode() {
	n := inj.site.nodes[inj.intN(len(inj.site.nodes))]
	n.storeProxy.SetFaults(faultproxy.Faults{StallToServer: true, StallToClient: true})
	time.Sleep(revokeWithin + inj.durationBetween(0, 1500))
	n.storeProxy.SetFaults(faultproxy.Faults{})
	n.storeProxy.CloseConnections()
}

// holder returns the tenant that holds or has held a key.
func holder(key string) string {
	switch key {
	case steadyKey:
		return "steady"
	case hotKey:
		return "hot"
	}
	return "changing"
}

// checkTenants checks, for a site with tenants, whose requests leaves have run and when.
func (v *verifier) checkTenants() {
	s := v.site.tenants
	if s == nil {
		return
	}
	byID := map[string]exchange{}
	for _, r := range v.exchanges {
		byID[r.id] = r
		if r.status == http.StatusUnauthorized && v.unfairlyRefused(r) {
			v.t.Errorf("request %s with a valid key was refused by %s", r.id, r.node.name)
		}
	}
	var hot []time.Time
	counted := map[string]bool{}
	for _, run := range v.runs {
		r, known := byID[run.Attempt]
		if !known {
			continue
		}
		if run.HasKey || run.Tenant != holder(r.key) {
			v.t.Errorf("request %s of %s ran for tenant %q, with a key: %v", r.id, holder(r.key), run.Tenant, run.HasKey)
		}
		if at, gone := s.revoked[r.key]; gone && r.from.After(at.Add(revokeWithin)) {
			v.t.Errorf("request %s ran although it was sent %v after its key was taken away", r.id, r.from.Sub(at))
		}
		if r.key == hotKey && !counted[r.id] {
			counted[r.id] = true
			hot = append(hot, run.At)
		}
	}
	allowed := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaOverage) + quotaSlack
	for _, end := range hot {
		if n := countWithin(hot, end, quotaWindow); float64(n) > allowed {
			v.t.Errorf("%d requests of a limited tenant ran within %v, allowed %.0f", n, quotaWindow, allowed)
			break
		}
	}
	if len(hot) == 0 {
		v.t.Error("no request of the limited tenant ran")
	}
}

// unfairlyRefused reports whether the key of a request was valid all the while and known for long.
func (v *verifier) unfairlyRefused(r exchange) bool {
	s := v.site.tenants
	_, gone := s.revoked[r.key]
	return !gone && r.from.After(s.added[r.key].Add(learnWithin)) && v.undisturbed(s.added[r.key], r.to)
}

// TestSoakWithTenants runs seeds on a site with tenants, whose keys are taken away and whose limits
// are exceeded during the faults.
func TestSoakWithTenants(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed, newTenants()) })
	}
}
