package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of a range read or an event of a watch.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: linearizable reads and watches, one revision counter.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	oldest   uint64
	era      uint64
	changed  chan struct{}
	server   *http.Server
	address  string
}

func startStore(address string, firstRevision, era uint64) (*store, error) {
	s := &store{items: map[string]item{}, revision: firstRevision, oldest: firstRevision, era: era, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a value and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

func (s *store) remove(key string) time.Time { return s.change(item{Key: key, Tombstone: true}) }

func (s *store) change(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.Created = s.revision
		if known, ok := s.items[i.Key]; ok {
			i.Created = known.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var answer map[string]any
	switch r.URL.Path {
	case "/redwingshelf/kv-range":
		answer = s.rangeOf(q.Get("prefix"), q.Get("after"))
	case "/redwingshelf/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		answer = s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if answer == nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) rangeOf(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	return map[string]any{"items": items, "hasMore": more, "asOf": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) map[string]any {
	timer := time.NewTimer(min(wait, 30*time.Second))
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		gone, asOf, changed := after < s.oldest || after > s.revision, s.revision, s.changed
		s.mu.Unlock()
		if gone {
			return nil
		}
		answer := map[string]any{"events": events, "asOf": asOf}
		if len(events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}
