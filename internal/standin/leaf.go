package standin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/target"
)

// LeafOptions describe one leaf.
type LeafOptions struct {
	Name  string
	Shard int
	// Slots is the number of concurrent requests above which service times grow in
	// proportion, so that a leaf serves at most Slots/ServiceTime requests per second.
	// Zero sets no bound.
	Slots       int
	Connections int
	ColdSlots   int
	// WarmAfter is the number of successful requests after which a cold leaf is warm.
	WarmAfter int
	// StartWarm makes the first incarnation of the leaf start warm.
	StartWarm bool
	// FallTime is how long a cold leaf refuses all requests after it fell over because
	// it received more than ColdSlots concurrent requests. Zero lets a cold leaf accept
	// any number.
	FallTime time.Duration
	// ServiceTime is the time that one request takes, or the median of that time if
	// ServiceSigma is set.
	ServiceTime time.Duration
	// ServiceSigma is the standard deviation of the logarithm of the service
	// time. Zero makes the service time constant.
	ServiceSigma float64
	// SlowEvery makes on average one in that many requests take SlowFactor times as
	// long; zero makes none slow.
	SlowEvery  int
	SlowFactor int
	// ConnectTime is added to the time of the first answer on each connection.
	ConnectTime time.Duration
	// MaxRecords bounds the number of records kept; zero keeps all.
	MaxRecords int
	Seed       uint64
}

// Faults describes how a leaf misbehaves.
type Faults struct {
	// Refuse, if set, is the reason with which every request is refused.
	Refuse string
	// ReportWarm makes the leaf report itself warm while it is cold.
	ReportWarm bool
	// CrossAnswers makes the leaf answer each request with the result for the previous
	// one and with another request ID.
	CrossAnswers bool
	// Truncate cuts off the second half of each answer.
	Truncate bool
	// Poison, if set, is a text that crashes the leaf if it occurs in a request body.
	Poison string
	// RestartAfter is the time after which a leaf that a poison request crashed
	// restarts; zero leaves it down.
	RestartAfter time.Duration
	// Delay is added to the service time of every request.
	Delay time.Duration
	// Leaving makes the leaf report that it is leaving and refuse new work.
	Leaving bool
}

// Leaf is a stand-in leaf with its own listener.
type Leaf struct {
	options LeafOptions
	address string

	// mu guards the fields below.
	mu     sync.Mutex
	server *http.Server
	rng    *rand.Rand
	faults Faults
	// lastBody is the body of the last request that was admitted.
	lastBody []byte
	held     []*Snapshot
	heldText string
	recorder recorder
	counts   Counts
	// incarnation counts process starts.
	incarnation int
	running     int
	connections int
	cold        bool
	successes   int
	// refuseAllUntil is the end of the time in which a leaf that fell over refuses all
	// requests.
	refuseAllUntil time.Time
	down           bool
	closed         bool
	// restart is the timer of a pending restart.
	restart *time.Timer
	// cancels holds the cancel functions of the running requests by request ID.
	cancels map[string]context.CancelFunc
}

// NewLeaf starts a leaf on a loopback port.
func NewLeaf(o LeafOptions, held ...*Snapshot) (*Leaf, error) {
	l := &Leaf{
		options:     o,
		rng:         rand.New(rand.NewPCG(o.Seed, 1)),
		recorder:    newRecorder(o.MaxRecords),
		cold:        !o.StartWarm,
		incarnation: 1,
		cancels:     map[string]context.CancelFunc{},
	}
	l.SetHeld(held...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for leaf %q: %w", o.Name, err)
	}
	l.address = listener.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve(listener)
	return l, nil
}

// serve starts a server on a listener. The caller must hold mu.
func (l *Leaf) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathRun, l.handleRun)
	mux.HandleFunc("POST "+target.PathCancel, l.handleCancel)
	mux.HandleFunc("GET "+target.PathReport, l.handleReport)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ConnState: l.connState(l.incarnation)}
	l.server = server
	if l.options.ConnectTime > 0 {
		listener = &slowListener{Listener: listener, delay: l.options.ConnectTime}
	}
	go func() { _ = server.Serve(listener) }()
}

// URL returns the base URL of the leaf.
func (l *Leaf) URL() string { return "http://" + l.address }

// Name returns the name of the leaf.
func (l *Leaf) Name() string { return l.options.Name }

// Close stops the leaf permanently.
func (l *Leaf) Close() {
	l.mu.Lock()
	server := l.server
	l.closed = true
	l.down = true
	if l.restart != nil {
		l.restart.Stop()
	}
	l.mu.Unlock()
	_ = server.Close()
}

// Crash simulates a crash of the leaf's process: its port refuses connections and the
// open ones are closed.
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

// CrashFor crashes the leaf and restarts it after d.
func (l *Leaf) CrashFor(d time.Duration) {
	l.Crash()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.restart = time.AfterFunc(d, func() { _ = l.Restart() })
	}
}

// Restart starts a crashed leaf again at the same address. It is cold and has a new
// incarnation.
func (l *Leaf) Restart() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen again for leaf %q: %w", l.options.Name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return listener.Close()
	}
	l.incarnation++
	l.cold = true
	l.successes = 0
	l.refuseAllUntil = time.Time{}
	l.down = false
	l.connections = 0
	l.serve(listener)
	return nil
}

// MakeCold makes the leaf cold without a restart.
func (l *Leaf) MakeCold() {
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
	l.heldText = l.formatHeld()
}

// Counts returns the leaf's counters.
func (l *Leaf) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Records returns copies of the latest requests received, the oldest first. MaxRecords
// bounds their number.
func (l *Leaf) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorder.all()
}

// Runs returns how often each non-idempotent request ran, by the request ID that the
// leaf received.
func (l *Leaf) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.recorder.runs)
}

// connState returns a callback that counts the open connections of one incarnation.
func (l *Leaf) connState(incarnation int) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.incarnation != incarnation {
			return
		}
		switch state {
		case http.StateNew:
			l.connections++
			l.counts.MaxConnections = max(l.counts.MaxConnections, l.connections)
		case http.StateClosed, http.StateHijacked:
			l.connections--
		}
	}
}
