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

// item is an item of the store, or an event of a watch.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store: ranges, single keys and watches over one history.
type store struct {
	address  string
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("store: %v", err)
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// put writes a value as JSON and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		unable("store: %v", err)
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
		i.Created = i.Revision
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

const pageItems = 500

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch strings.TrimPrefix(r.URL.Path, "/redwingshelf/") {
	case "kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(i)
	case "kv-range":
		_ = json.NewEncoder(w).Encode(s.page(q.Get("prefix"), q.Get("after")))
	case "kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		a := s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		if a == nil {
			w.WriteHeader(http.StatusGone)
			return
		}
		_ = json.NewEncoder(w).Encode(a)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) page(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	return map[string]any{"items": found, "hasMore": more, "asOf": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) map[string]any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, asOf, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > asOf {
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

// route and service are parts of the operator's configuration.
type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"prefix"`
	Kind            string   `json:"kind"`
	TimeoutMS       int      `json:"timeoutMs"`
	TargetLatencyMS int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	MaxAttempts     int      `json:"maxAttempts"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	TopK            int      `json:"topK,omitempty"`
	MinCoverage     float64  `json:"minCoverage,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// limits are those of the small deployments.
func limits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

func newService(name string, maxConns int) service {
	return service{Name: name, HealthPath: "/health", MaxConns: maxConns, Protocol: "h1", WarmupS: 3}
}
