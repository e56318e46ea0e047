package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems bounds the items of one answer to kv-range.
const pageItems = 500

// storeItem is an item or an event as the platform's store writes it.
type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     int    `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// historyLength is historyS of the deployment.
const historyLength = 20 * time.Second

const (
	// answerDelay is the time that the store takes for an answer.
	answerDelay = 4 * time.Millisecond
	// chunkBytes is the size of the pieces in which an answer is sent over a link.
	chunkBytes = 16 << 10
)

// event is a change in the history.
type event struct {
	storeItem
	at time.Time
}

// store is a sound store of the platform that serves kv-range and kv-watch.
type store struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	items   map[string]storeItem
	history []event
	// forgotten is the revision of the last event that is no longer in the history.
	forgotten uint64
	last      uint64
	changed   chan struct{}
	// linkMbps is the speed of the link of each node, or zero for no bound.
	linkMbps int
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /redwingshelf/kv-range", s.serveRange)
	mux.HandleFunc("GET /redwingshelf/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a value as JSON and returns its revision.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

func (s *store) remove(key string) uint64 { return s.change(storeItem{Key: key, Tombstone: true}) }

func (s *store) change(i storeItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	i.Revision = s.last
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.Created = s.last
		if known, exists := s.items[i.Key]; exists {
			i.Created = known.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, event{i, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.last
}

// value returns the bytes stored under a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := base64.StdEncoding.DecodeString(s.items[key].Value)
	return data
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	last := s.last
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	s.write(w, map[string]any{"items": items, "hasMore": more, "asOf": last})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyLength {
			s.forgotten = s.history[0].Revision
			s.history = s.history[1:]
		}
		events, last, changed, lost := []storeItem{}, s.last, s.changed, after < s.forgotten
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e.storeItem)
			}
		}
		s.mu.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.write(w, map[string]any{"events": events, "asOf": last})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.write(w, map[string]any{"events": events, "asOf": last})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write sends an answer at the speed of the link.
func (s *store) write(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	time.Sleep(answerDelay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	for begin := time.Now(); len(data) > 0; {
		n := min(chunkBytes, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
		if s.linkMbps > 0 {
			_ = http.NewResponseController(w).Flush()
			begin = begin.Add(time.Duration(n) * 8 * time.Microsecond / time.Duration(s.linkMbps))
			time.Sleep(time.Until(begin))
		}
	}
}

// sameEntry reports whether the entry under a key differs from value in its sequence at most.
func (s *store) sameEntry(key string, value map[string]any) bool {
	known := map[string]any{}
	if json.Unmarshal(s.value(key), &known) != nil {
		return false
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	next := map[string]any{}
	if err := json.Unmarshal(data, &next); err != nil {
		panic(err)
	}
	delete(known, "sequence")
	delete(next, "sequence")
	if len(known) != len(next) {
		return false
	}
	for name, v := range next {
		if known[name] != v {
			return false
		}
	}
	return true
}
