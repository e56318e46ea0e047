package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/target"
)

// LeafOptions describe one leaf.
type LeafOptions struct {
	Name        string
	Shard       int
	Slots       int
	Connections int
	ColdSlots   int
	// WarmAfter is the number of answers after which a cold leaf is warm.
	WarmAfter int
	// StartWarm skips the first cold start.
	StartWarm bool
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// SlowEvery makes one in that many requests take SlowFactor times as long;
	// zero makes none slow.
	SlowEvery  int
	SlowFactor int
	Seed       uint64
}

// Faults change how a leaf misbehaves.
type Faults struct {
	// Refuse answers every request with this refusal word.
	Refuse string
	// ReportWarm makes the leaf report itself warm while it is cold.
	ReportWarm bool
	// CrossAnswers echoes another request's id.
	CrossAnswers bool
	// Truncate ends each answer half way.
	Truncate bool
	// Poison is a text in a request body that ends the leaf's process.
	Poison string
	// Delay is added to every request.
	Delay time.Duration
	// Leaving makes the leaf report that it is leaving and refuse new work.
	Leaving bool
}

// Record is one request as the leaf saw it.
type Record struct {
	RequestID  string
	Body       string
	Idempotent bool
	Snapshot   string
	Start, End time.Time
	// Ran reports that the work was done and not refused.
	Ran  bool
	Cold bool
}

// Counts are what a leaf counted since it was made, over all incarnations.
type Counts struct {
	Requests, Ran, Refused, Canceled int
	// MaxConcurrent is the greatest number of requests at once.
	MaxConcurrent int
	// MaxCold is the greatest number of requests at once while cold.
	MaxCold int
	// MaxConnections is the greatest number of open connections.
	MaxConnections int
	Crashes        int
}

// Leaf is a stand-in leaf with its own listener.
type Leaf struct {
	options  LeafOptions
	address  string
	server   *http.Server
	mu       sync.Mutex
	rng      *rand.Rand
	listener net.Listener
	faults   Faults
	held     []*Snapshot
	records  []Record
	counts   Counts
	// incarnation counts process starts.
	incarnation int
	running     int
	connections int
	cold        bool
	successes   int
	down        bool
	// cancels holds the cancel functions of the running requests by id.
	cancels map[string]context.CancelFunc
}

// NewLeaf starts a leaf on a loopback port.
func NewLeaf(o LeafOptions, held ...*Snapshot) (*Leaf, error) {
	l := &Leaf{options: o, held: held, rng: rand.New(rand.NewPCG(o.Seed, 1)), cold: !o.StartWarm, incarnation: 1,
		cancels: map[string]context.CancelFunc{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for leaf %q: %w", o.Name, err)
	}
	l.address = listener.Addr().String()
	l.serve(listener)
	return l, nil
}

func (l *Leaf) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathRun, l.handleRun)
	mux.HandleFunc("POST "+target.PathCancel, l.handleCancel)
	mux.HandleFunc("GET "+target.PathReport, l.handleReport)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	l.server = &http.Server{Handler: mux, Protocols: protocols, ConnState: l.connState}
	l.listener = listener
	server := l.server
	go func() { _ = server.Serve(listener) }()
}

// URL returns the base URL of the leaf.
func (l *Leaf) URL() string { return "http://" + l.address }

// Name returns the name of the leaf.
func (l *Leaf) Name() string { return l.options.Name }

// Close ends the leaf.
func (l *Leaf) Close() {
	l.mu.Lock()
	server := l.server
	l.down = true
	l.mu.Unlock()
	_ = server.Close()
}

// Crash ends the leaf's process: its port refuses and its connections reset.
func (l *Leaf) Crash() {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return
	}
	l.down = true
	l.counts.Crashes++
	server := l.server
	l.mu.Unlock()
	_ = server.Close()
}

// Restart starts a crashed leaf again at the same address, cold and with a new
// incarnation.
func (l *Leaf) Restart() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen again for leaf %q: %w", l.options.Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation++
	l.cold = true
	l.successes = 0
	l.down = false
	l.connections = 0
	l.serve(listener)
	return nil
}

// Chill turns the leaf cold without a restart.
func (l *Leaf) Chill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold = true
	l.successes = 0
}

// SetFaults replaces the leaf's faults.
func (l *Leaf) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetHeld replaces the snapshots that the leaf holds, newest first.
func (l *Leaf) SetHeld(held ...*Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
}

// Counts returns what the leaf counted.
func (l *Leaf) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Records returns a copy of the requests seen.
func (l *Leaf) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

func (l *Leaf) connState(_ net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.connections++
		l.counts.MaxConnections = max(l.counts.MaxConnections, l.connections)
	case http.StateClosed, http.StateHijacked:
		l.connections--
	}
}

func (l *Leaf) handleReport(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.writeReport(w.Header())
	l.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// writeReport needs mu.
func (l *Leaf) writeReport(h http.Header) {
	state := target.StateWarm
	switch {
	case l.faults.Leaving:
		state = target.StateLeaving
	case l.cold && !l.faults.ReportWarm:
		state = target.StateCold
	}
	held := make([]target.Held, len(l.held))
	for i, s := range l.held {
		from, to := l.keyRange(s)
		held[i] = target.Held{Snapshot: s.Name, From: from, To: to}
	}
	h.Set(target.HeaderState, string(state))
	h.Set(target.HeaderIncarnation, strconv.Itoa(l.incarnation))
	h.Set(target.HeaderHeld, target.FormatHeld(held))
}

func (l *Leaf) keyRange(s *Snapshot) (from, to uint32) {
	if l.options.Shard >= len(s.Bounds) {
		return 0, 0
	}
	return s.Range(l.options.Shard)
}

func (l *Leaf) handleCancel(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	cancel := l.cancels[r.Header.Get(target.HeaderRequestID)]
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Leaf) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, target.MaxAnswer))
	if err != nil {
		return
	}
	work, refusal := l.admit(r, body)
	if work.crash {
		l.Crash()
		return
	}
	if refusal != "" {
		l.refuse(w, r, refusal)
		return
	}
	end := l.work(r, work.duration)
	l.finish(work.record, end == "")
	if end != "" {
		l.refuse(w, r, end)
		return
	}
	l.answer(w, r, work, body)
}

// admitted is a request that the leaf has begun.
type admitted struct {
	record   int
	snapshot *Snapshot
	duration time.Duration
	faults   Faults
	crash    bool
}

// admit records a request and decides whether it is refused.
func (l *Leaf) admit(r *http.Request, body []byte) (admitted, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	snapshot, found := l.find(r.Header.Get(target.HeaderSnapshot))
	record := Record{
		RequestID:  r.Header.Get(target.HeaderRequestID),
		Body:       string(body),
		Idempotent: r.Header.Get(target.HeaderIdempotent) == "true",
		Start:      time.Now(),
		Cold:       l.cold,
	}
	refusal := l.faults.Refuse
	switch {
	case l.faults.Leaving:
		refusal = "leaving"
	case refusal == "" && !found:
		refusal = "snapshot"
	}
	if refusal != "" {
		l.counts.Refused++
		record.End = record.Start
		l.records = append(l.records, record)
		return admitted{}, refusal
	}
	record.Snapshot = snapshot.Name
	l.records = append(l.records, record)
	l.begin()
	return admitted{
		record:   len(l.records) - 1,
		snapshot: snapshot,
		duration: l.duration(),
		faults:   l.faults,
		crash:    l.faults.Poison != "" && bytes.Contains(body, []byte(l.faults.Poison)),
	}, ""
}

// begin needs mu.
func (l *Leaf) begin() {
	l.running++
	l.counts.MaxConcurrent = max(l.counts.MaxConcurrent, l.running)
	if l.cold {
		l.counts.MaxCold = max(l.counts.MaxCold, l.running)
	}
}

// find needs mu.
func (l *Leaf) find(name string) (*Snapshot, bool) {
	for _, s := range l.held {
		if name == "" || s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// duration needs mu.
func (l *Leaf) duration() time.Duration {
	d := l.options.ServiceTime
	if l.options.SlowEvery > 0 && l.rng.IntN(l.options.SlowEvery) == 0 {
		d *= time.Duration(l.options.SlowFactor)
	}
	return d + l.faults.Delay
}

// work waits out the service time. It returns the refusal word if the caller
// canceled or the deadline passed.
func (l *Leaf) work(r *http.Request, d time.Duration) string {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	id := r.Header.Get(target.HeaderRequestID)
	l.mu.Lock()
	l.cancels[id] = cancel
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.cancels, id)
		l.mu.Unlock()
	}()
	limit := time.Duration(1<<63 - 1)
	if ms, err := strconv.Atoi(r.Header.Get(target.HeaderTimeout)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(min(d, limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		if limit < d {
			return "deadline"
		}
		return ""
	case <-ctx.Done():
		return "canceled"
	}
}

func (l *Leaf) finish(record int, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.records[record].End = time.Now()
	l.records[record].Ran = ran
	if !ran {
		l.counts.Canceled++
		return
	}
	l.counts.Ran++
	l.successes++
	if l.cold && l.successes >= l.options.WarmAfter {
		l.cold = false
	}
}

func (l *Leaf) refuse(w http.ResponseWriter, r *http.Request, word string) {
	l.mu.Lock()
	l.writeReport(w.Header())
	l.mu.Unlock()
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set(target.HeaderRefusal, word)
	if word != "deadline" && word != "canceled" {
		w.Header().Set(target.HeaderRun, "no")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, work admitted, body []byte) {
	var q Query
	_ = json.Unmarshal(body, &q)
	from, to := l.keyRange(work.snapshot)
	answer, err := json.Marshal(work.snapshot.Search(from, to, q))
	if err != nil {
		return
	}
	l.mu.Lock()
	l.writeReport(w.Header())
	l.mu.Unlock()
	id := r.Header.Get(target.HeaderRequestID)
	if work.faults.CrossAnswers {
		id = "other-" + id
	}
	w.Header().Set(target.HeaderRequestID, id)
	w.Header().Set(target.HeaderSnapshot, work.snapshot.Name)
	w.Header().Set(target.HeaderKeyRange, target.FormatRange(from, to))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if work.faults.Truncate {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}
