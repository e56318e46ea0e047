package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/hostlist"
)

// Platform is a stand-in for the platform's configuration service and host list. The
// tier only reads from it.
type Platform struct {
	server   *http.Server
	listener net.Listener
	// mu guards the fields below.
	mu      sync.Mutex
	values  map[string]value
	stale   map[string]value
	changed chan struct{}
	down    bool
	reads   int
}

type value struct {
	revision uint64
	body     []byte
}

// Paths of the platform's service.
const (
	PathConfig = "/config"
	PathHosts  = "/hosts"
)

// HeaderRevision is the header that carries the revision of a value.
const HeaderRevision = "X-Revision"

// NewPlatform starts a stand-in platform on a loopback port.
func NewPlatform() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	p := &Platform{listener: listener, values: map[string]value{}, stale: map[string]value{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathConfig, p.handle)
	mux.HandleFunc("GET "+PathHosts, p.handle)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// SetDocument publishes a document under a revision.
func (p *Platform) SetDocument(revision uint64, body []byte) {
	p.set(PathConfig, value{revision: revision, body: body})
}

// SetHosts publishes a host list.
func (p *Platform) SetHosts(list hostlist.List) {
	p.set(PathHosts, value{revision: list.Revision, body: list.Encode()})
}

func (p *Platform) set(path string, v value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[path] = v
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes all reads fail until it is called with false.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale makes the platform serve the values published until now, whatever is
// published later, until it is called with false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = map[string]value{}
	if stale {
		for path, v := range p.values {
			p.stale[path] = v
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns the number of reads so far, including watches that still wait.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) get(path string) (v value, changed chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, isStale := p.stale[path]
	if !isStale {
		v = p.values[path]
	}
	return v, p.changed, p.down
}

func (p *Platform) handle(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	seconds, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	for {
		v, changed, down := p.get(r.URL.Path)
		switch {
		case down:
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		case v.body != nil && v.revision > after:
			w.Header().Set(HeaderRevision, strconv.FormatUint(v.revision, 10))
			_, _ = w.Write(v.body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
