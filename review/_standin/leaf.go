package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a leaf writes its entry.
	heartbeat = 1200 * time.Millisecond
	// silence is the time without a beat after which the platform removes an entry.
	silence = 3 * heartbeat
	// recordBytes is the size of a record of a part.
	recordBytes = 16
	// recordsPerPart gives parts of about 1,000 bytes.
	recordsPerPart = 62
)

// leafOptions describe a leaf.
type leafOptions struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// parts is set for a leaf of a shard, which answers records.
	parts bool
	// fail returns the status of the leaf's own failure of a request that it has run, or zero.
	fail func(attempt string) int
}

// leaf is one process of a service.
type leaf struct {
	leafOptions
	store   *store
	log     *record
	address string
	born    int64
	// mu guards the fields below.
	mu       sync.Mutex
	server   *http.Server
	sequence int
	waiting  int
	running  chan struct{}
	// down is set while the process has crashed.
	down    bool
	stopped chan struct{}
}

func startLeaf(o leafOptions, s *store, log *record) (*leaf, error) {
	l := &leaf{leafOptions: o, store: s, log: log}
	return l, l.start("127.0.0.1:0")
}

// start starts a process of the leaf at an address.
func (l *leaf) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.address, l.born, l.sequence, l.down = listener.Addr().String(), time.Now().UnixMilli(), 0, false
	l.running, l.stopped, l.waiting = make(chan struct{}, l.slots), make(chan struct{}), 0
	l.server = &http.Server{Handler: l, IdleTimeout: 30 * time.Second}
	server, stopped := l.server, l.stopped
	l.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	l.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				l.beat()
			case <-stopped:
				return
			}
		}
	}()
	return nil
}

// beat writes the leaf's entry. A beat that would change only the sequence is not an event.
func (l *leaf) beat() {
	l.mu.Lock()
	l.sequence++
	entry := map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots,
		"state": "ready", "warmupLeftMs": 0, "sequence": l.sequence, "born": l.born,
	}
	down := l.down
	l.mu.Unlock()
	if !down && !l.store.sameEntry("servers/"+l.id, entry) {
		l.store.put("servers/"+l.id, entry)
		l.log.addf("leaf %s of %s writes its entry", l.id, l.service)
	}
}

// crash ends the leaf's process without a report. The platform removes its entry after a silence.
func (l *leaf) crash() {
	l.mu.Lock()
	l.down = true
	server := l.server
	close(l.stopped)
	l.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(silence, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.down {
			l.store.remove("servers/" + l.id)
		}
	})
}

// ServeHTTP implements http.Handler.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	header := w.Header()
	header["Date"] = nil
	if attempt != "" {
		header.Set("Attempt-Id", attempt)
	}
	header.Set("Keep-Alive", "timeout=30")
	switch {
	case r.URL.Path == "/health":
		header.Set("Instance-Id", l.id)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != l.id:
		header.Set("Instance-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !l.enter(r) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	running := l.running
	l.mu.Unlock()
	defer func() { <-running }()
	l.log.run(attempt, l.id, l.service, r.Method, r.URL.RequestURI(), len(body))
	select {
	case <-time.After(l.work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	status, answer := http.StatusOK, l.answer(attempt)
	if l.fail != nil {
		if s := l.fail(attempt); s != 0 {
			status, answer = s, []byte("failed\n")
		}
	}
	l.log.answered(attempt, l.id, status)
	header.Set("Response-Stamp", stamp(l.service, attempt, status))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// enter takes a slot, waiting in the queue until the deadline of the request.
func (l *leaf) enter(r *http.Request) bool {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 10000
	}
	l.mu.Lock()
	running := l.running
	if l.waiting >= l.queue {
		l.mu.Unlock()
		return false
	}
	l.waiting++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
	}()
	select {
	case running <- struct{}{}:
		return true
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
	}
	return false
}

func (l *leaf) answer(attempt string) []byte {
	if !l.parts {
		return []byte(fmt.Sprintf("answer of %s to %s\n", l.service, attempt))
	}
	var body []byte
	for i := range recordsPerPart {
		sum := sha256.Sum256([]byte(fmt.Sprint(l.service, "/", attempt, "/", i)))
		body = append(body, sum[:recordBytes]...)
	}
	return body
}

// stamp returns a service's signature of an answer.
func stamp(service, attempt string, status int) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(service, "/", attempt, "/", status)))
	return fmt.Sprintf("%s.%x", service, sum[:6])
}
