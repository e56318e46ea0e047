package entry

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/budget"
	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/hedge"
	"github.com/redwingshelf/redwingshelf/internal/replica"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// utilizationWeight is the weight of a new sample in the utilization of a service.
	utilizationWeight = 0.02
	// coldPenalty is added to the cost of a leaf that is not known to be warm.
	coldPenalty = float64(time.Hour)
	// coldProbeFraction is the fraction of plans that prefer a leaf in its cold
	// start, so that it becomes warm.
	coldProbeFraction = 0.1
	// baseRetriesPerSecond is the rate of retries that is granted regardless of
	// traffic, for services with little of it.
	baseRetriesPerSecond = 1
)

// endpoint is a leaf that is called through one holder.
type endpoint struct {
	leaf string
	host string
}

// serviceState is this entry's view of one service and its leaves.
type serviceState struct {
	// mu guards the fields below.
	mu          sync.Mutex
	snapshots   *snapshot.Inventory
	index       *document.Index
	shards      []snapshot.Shard
	policy      document.Policy
	hedges      *hedge.Service
	retryBudget *budget.Budget
	endpoints   map[endpoint]*replica.Stats
	warm        map[string]bool
	// utilization is the moving average of the fraction of slots in use, 0 to 1.
	utilization float64
}

// serviceStates holds the state of every service, each under its own lock.
type serviceStates struct {
	start     time.Time
	byService sync.Map
}

func (s *serviceStates) now() time.Duration { return time.Since(s.start) }

// get returns the state of a service, updated to the document of index.
func (s *serviceStates) get(service *document.ServiceEntry, index *document.Index) *serviceState {
	key := service.Customer + "/" + service.Name
	value, found := s.byService.Load(key)
	if !found {
		value, _ = s.byService.LoadOrStore(key, newServiceState())
	}
	state := value.(*serviceState)
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.index != index {
		state.applyDocument(s.now(), service, index)
	}
	return state
}

func newServiceState() *serviceState {
	return &serviceState{
		snapshots: snapshot.NewInventory(snapshot.DefaultHoldTTL),
		endpoints: map[endpoint]*replica.Stats{},
		warm:      map[string]bool{},
	}
}

// applyDocument updates the state to the document of index. s.mu must be held.
func (s *serviceState) applyDocument(now time.Duration, service *document.ServiceEntry, index *document.Index) {
	s.index = index
	s.shards = make([]snapshot.Shard, len(service.Shards))
	known := map[string]bool{}
	for i, shard := range service.Shards {
		s.shards[i].Name = shard.Name
		for _, id := range shard.Replicas {
			name := index.Leaf(id).Name
			s.shards[i].Leaves = append(s.shards[i].Leaves, name)
			known[name] = true
		}
	}
	s.snapshots.Retain(func(leaf string) bool { return known[leaf] })
	for e := range s.endpoints {
		if !known[e.leaf] {
			delete(s.endpoints, e)
			delete(s.warm, e.leaf)
		}
	}
	s.applyPolicy(now, service)
}

// applyPolicy applies the service's policy. It replaces the hedge and retry
// budgets only if their settings have changed. s.mu must be held.
func (s *serviceState) applyPolicy(now time.Duration, service *document.ServiceEntry) {
	policy := service.Policy
	same := s.policy.Hedge == policy.Hedge && s.policy.HedgeBudget == policy.HedgeBudget &&
		s.policy.Retry == policy.Retry && s.policy.RetryBudget == policy.RetryBudget
	s.policy = policy
	if same && s.hedges != nil {
		return
	}
	s.hedges = hedge.New(now, hedge.Config{
		Off:       policy.Hedge == document.HedgeOff,
		Budget:    policy.HedgeBudget,
		MaxHedges: maxHedges(service),
	})
	s.retryBudget = budget.New(now, budget.Config{
		Ratio:     policy.RetryBudget,
		PerSecond: baseRetriesPerSecond,
		Unbounded: policy.Retry == document.RetryUnbounded,
	})
}

// maxHedges returns the greatest number of hedges of one leaf call: one less than
// the number of replicas of the shard with the fewest, but at least one and at
// most the default.
func maxHedges(service *document.ServiceEntry) int {
	fewest := hedge.DefaultMaxHedges + 1
	for _, shard := range service.Shards {
		fewest = min(fewest, len(shard.Replicas))
	}
	return max(fewest-1, 1)
}

// stats returns the statistics of a leaf at a host, creating them if there are
// none. s.mu must be held.
func (s *serviceState) stats(leaf, host string) *replica.Stats {
	key := endpoint{leaf: leaf, host: host}
	stats := s.endpoints[key]
	if stats == nil {
		stats = &replica.Stats{}
		s.endpoints[key] = stats
	}
	return stats
}

// cost returns the function that prefers the leaves with the shortest expected
// time. s.mu must be held when that function is called.
func (s *serviceState) cost(now time.Duration, router Router, index *document.Index, bias hostBias) snapshot.CostFunc {
	probe := rand.Float64() < coldProbeFraction
	return func(leaf string) (float64, bool) {
		entry := index.Leaf(index.LeafID(leaf))
		if entry == nil || !entry.AcceptsWork() {
			return 0, false
		}
		host, expected, found := s.pickHolder(now, router, leaf, nil, bias)
		if !found {
			return 0, false
		}
		if s.warm[leaf] {
			return expected, true
		}
		if probe && s.stats(leaf, host.Name).Outstanding() < entry.Service.Limits.ColdSlots {
			return rand.Float64(), true
		}
		return expected + coldPenalty, true
	}
}

// observeResult records the state of a leaf that is reported in a result. s.mu
// must be held.
func (s *serviceState) observeResult(now time.Duration, r *wire.LeafResult) {
	if r.Incarnation == "" {
		return
	}
	report := newReport(r.Leaf, r.Incarnation, r.Held)
	if r.Kind == "" {
		report.Answered = snapshot.Held{
			ID:    snapshotID(r.Snapshot),
			Range: snapshot.Range{From: r.From, To: r.To},
		}
		s.warm[r.Leaf] = r.Warm
		s.utilization += utilizationWeight * (float64(r.Busy)/100 - s.utilization)
	}
	s.snapshots.Observe(now, report)
}

func newReport(leaf, incarnation string, held []wire.HeldSnapshot) snapshot.Report {
	report := snapshot.Report{Leaf: leaf, Incarnation: incarnation, HeldSnapshots: make([]snapshot.Held, len(held))}
	for i, h := range held {
		report.HeldSnapshots[i] = snapshot.Held{
			ID:    snapshotID(h.Snapshot),
			Range: snapshot.Range{From: h.From, To: h.To},
		}
	}
	return report
}

// snapshotID returns the identity of a snapshot whose name starts with its
// sequence number, such as "17-autumn".
func snapshotID(name string) snapshot.ID {
	digits, _, _ := strings.Cut(name, "-")
	sequence, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		sequence = 0
	}
	return snapshot.ID{Sequence: sequence, Name: name}
}
