// Package standin provides small stand-ins for the systems around the tier: leaves
// that serve an index, and the platform's configuration service and host list.
// Tests, the demo and load experiments use them.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
)

// KeySpace is the size of the key space that the shards of an index divide.
const KeySpace = 1 << 16

// maxCachedAnswers bounds the number of encoded answers that one snapshot caches.
const maxCachedAnswers = 4096

// Entry is one indexed record.
type Entry struct {
	ID   string
	Key  uint32
	Text string
}

// Snapshot is one version of an index and its partitioning into shards. Its entries
// are ordered by key.
type Snapshot struct {
	Name    string
	Entries []Entry
	// Bounds holds the start of each shard's key range, ascending from zero.
	Bounds []uint32

	// mu guards answers.
	mu      sync.RWMutex
	answers map[searchKey][]byte
}

// searchKey identifies a search of one key range.
type searchKey struct {
	from, to uint32
	query    string
}

// NewSnapshot returns an index of n entries whose shards have key ranges of equal size.
func NewSnapshot(name string, n, shards int) *Snapshot {
	bounds := make([]uint32, shards)
	for i := range bounds {
		bounds[i] = uint32(i * KeySpace / shards)
	}
	return NewPartitionedSnapshot(name, n, bounds)
}

// NewPartitionedSnapshot returns an index of n entries whose shards' key ranges start at
// the given bounds.
func NewPartitionedSnapshot(name string, n int, bounds []uint32) *Snapshot {
	s := &Snapshot{Name: name, Bounds: bounds, answers: map[searchKey][]byte{}}
	for i := range n {
		id := fmt.Sprintf("entry-%05d", i)
		s.Entries = append(s.Entries, Entry{ID: id, Key: Key(id), Text: EntryText(name, id)})
	}
	sort.Slice(s.Entries, func(i, j int) bool { return s.Entries[i].Key < s.Entries[j].Key })
	return s
}

// UnequalBounds returns random starts of key ranges, drawn from a seed, so that shards
// differ in size.
func UnequalBounds(shards int, seed uint64) []uint32 {
	rng := rand.New(rand.NewPCG(seed, 2))
	starts := map[uint32]bool{0: true}
	for len(starts) < shards {
		starts[rng.Uint32N(KeySpace)] = true
	}
	bounds := make([]uint32, 0, shards)
	for start := range starts {
		bounds = append(bounds, start)
	}
	slices.Sort(bounds)
	return bounds
}

// EntryText returns the text of an entry in a snapshot.
func EntryText(snapshot, id string) string { return snapshot + " text of " + id }

// Key returns the key of an entry.
func Key(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return (h.Sum32() * 2654435761) >> 16
}

// Range returns the key range of one shard.
func (s *Snapshot) Range(shard int) (from, to uint32) {
	from = s.Bounds[shard]
	if shard+1 < len(s.Bounds) {
		return from, s.Bounds[shard+1]
	}
	return from, KeySpace
}

// Hit is one match in a leaf's answer.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Hits is the body of a leaf's answer.
type Hits struct {
	Hits []Hit `json:"hits"`
}

// Query is the body of a caller's search.
type Query struct {
	Text  string `json:"text"`
	Limit int    `json:"limit"`
}

// Search returns the matches of a query in one key range.
func (s *Snapshot) Search(from, to uint32, q Query) Hits {
	found := Hits{Hits: []Hit{}}
	first := sort.Search(len(s.Entries), func(i int) bool { return s.Entries[i].Key >= from })
	for _, e := range s.Entries[first:] {
		if e.Key >= to || q.Limit > 0 && len(found.Hits) >= q.Limit {
			break
		}
		if !strings.Contains(e.Text, q.Text) {
			continue
		}
		body, _ := json.Marshal(e.Text)
		found.Hits = append(found.Hits, Hit{ID: e.ID, Score: 1 / float64(1+e.Key), Body: body})
	}
	return found
}

// Answer returns the encoded result of a search with the given request body.
// Answers are cached, so that a repeated search is cheap.
func (s *Snapshot) Answer(from, to uint32, body []byte) []byte {
	k := searchKey{from: from, to: to, query: string(body)}
	s.mu.RLock()
	answer, found := s.answers[k]
	s.mu.RUnlock()
	if found {
		return answer
	}
	var q Query
	_ = json.Unmarshal(body, &q)
	answer, _ = json.Marshal(s.Search(from, to, q))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers != nil && len(s.answers) < maxCachedAnswers {
		s.answers[k] = answer
	}
	return answer
}
