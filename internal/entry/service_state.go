package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/snapshot"
	"github.com/redwingshelf/redwingshelf/internal/wire"
)

// serviceState is what this entry knows of the leaves of one service.
type serviceState struct {
	// mu guards the fields below.
	mu     sync.Mutex
	know   *snapshot.Knowledge
	index  *document.Index
	shards []snapshot.Shard
}

// serviceStates holds the state of every service, each under its own lock.
type serviceStates struct {
	start time.Time
	all   sync.Map
}

func (s *serviceStates) now() time.Duration { return time.Since(s.start) }

// get returns the state of a service, brought up to the document of index.
func (s *serviceStates) get(service *document.ServiceEntry, index *document.Index) *serviceState {
	key := service.Customer + "/" + service.Name
	value, found := s.all.Load(key)
	if !found {
		value, _ = s.all.LoadOrStore(key, &serviceState{know: snapshot.NewKnowledge(snapshot.DefaultHoldTTL)})
	}
	state := value.(*serviceState)
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.index != index {
		state.load(service, index)
	}
	return state
}

// load needs mu.
func (s *serviceState) load(service *document.ServiceEntry, index *document.Index) {
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
	s.know.Retain(func(leaf string) bool { return known[leaf] })
}

// observe needs mu. It records what a leaf has said of itself.
func (s *serviceState) observe(now time.Duration, r *wire.LeafResult) {
	if r.Incarnation == "" {
		return
	}
	report := newReport(r.Leaf, r.Incarnation, r.Held)
	if r.Kind == "" {
		report.Answered = snapshot.Held{
			ID:    snapshotID(r.Snapshot),
			Range: snapshot.Range{From: r.From, To: r.To},
		}
	}
	s.know.Observe(now, report)
}

func newReport(leaf, incarnation string, held []wire.HeldSnapshot) snapshot.Report {
	report := snapshot.Report{Leaf: leaf, Incarnation: incarnation, Holds: []snapshot.ID{}}
	for _, h := range held {
		report.Holds = append(report.Holds, snapshotID(h.Snapshot))
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
