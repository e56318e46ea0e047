// Package standin holds small stand-ins for the systems around the tier: leaves
// that serve an index, and the platform's configuration service and host list.
// Tests and the demo use them.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
)

// KeySpace is the size of the key space that the shards of an index divide.
const KeySpace = 1 << 16

// Entry is one indexed record.
type Entry struct {
	ID   string
	Key  uint32
	Text string
}

// Snapshot is one version of an index with its partitioning into shards.
type Snapshot struct {
	Name    string
	Entries []Entry
	// Bounds holds the start of each shard's key range, ascending from zero.
	Bounds []uint32
}

// NewSnapshot returns an index of n entries in equal shards.
func NewSnapshot(name string, n, shards int) *Snapshot {
	s := &Snapshot{Name: name}
	for i := range n {
		id := fmt.Sprintf("entry-%05d", i)
		s.Entries = append(s.Entries, Entry{ID: id, Key: key(id), Text: name + " text of " + id})
	}
	sort.Slice(s.Entries, func(i, j int) bool { return s.Entries[i].Key < s.Entries[j].Key })
	for i := range shards {
		s.Bounds = append(s.Bounds, uint32(i*KeySpace/shards))
	}
	return s
}

func key(id string) uint32 {
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
	for _, e := range s.Entries {
		if e.Key < from || e.Key >= to || !strings.Contains(e.Text, q.Text) {
			continue
		}
		body, _ := json.Marshal(e.Text)
		found.Hits = append(found.Hits, Hit{ID: e.ID, Score: 1 / float64(1+e.Key), Body: body})
		if q.Limit > 0 && len(found.Hits) >= q.Limit {
			break
		}
	}
	return found
}
