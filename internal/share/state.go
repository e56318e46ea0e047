package share

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// State is the share state of one process. It must not be used concurrently;
// see Locked. Times are monotonic and must not decrease between calls.
type State struct {
	opts    Options
	start   time.Duration
	lastNow time.Duration

	doc          *document.Document
	stoppedHosts map[string]bool

	view           *view
	highestKnown   uint64
	released       uint64
	settled        uint64
	viewReplacedAt time.Duration
	// viewConfirmedAt is when the platform last named the view's revision.
	viewConfirmedAt time.Duration
	// unsettledHosts holds hosts of replaced views, and whether they may use shares
	// without contact.
	unsettledHosts map[string]bool
	// contactFree is set while no view that could be in force requires contact.
	contactFree bool

	session      uint32
	sessionStart time.Duration
	attached     bool
	// viewIsCurrent is set once the view was the highest known in this session.
	viewIsCurrent bool
	stopping      bool

	seq           uint32
	sent          [sentRingSize]sentHeartbeat
	nextHeartbeat time.Duration

	peers     map[string]*peer
	takeovers map[string]*takeover

	leaves         map[string]*leaf
	leavesByHash   map[uint64]*leaf
	longestCall    time.Duration
	verdictVersion uint32
	// disputes holds the leaves of which another holder says that they are not warm.
	disputes  map[string]*dispute
	conflicts uint64
}

// view is a host list reduced to what this process needs of it.
type view struct {
	revision uint64
	planner  *placement.Planner
	// members are the hosts of this cell, leaving ones included.
	members map[string]bool
}

// handOverHeartbeatFactor is the number of heartbeats per interval while calls drain.
const handOverHeartbeatFactor = 8

// sentRingSize is the number of heartbeats whose times of sending are kept.
const sentRingSize = 32

// sentHeartbeat is the time at which a heartbeat was sent.
type sentHeartbeat struct {
	seq uint32
	at  time.Duration
}

// New returns the state of a process that starts at now.
func New(opts Options, now time.Duration) (*State, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	return &State{
		opts:           opts,
		start:          now,
		lastNow:        now,
		nextHeartbeat:  now,
		session:        1,
		sessionStart:   now,
		longestCall:    opts.MaxCall,
		unsettledHosts: make(map[string]bool),
		peers:          make(map[string]*peer),
		takeovers:      make(map[string]*takeover),
		leaves:         make(map[string]*leaf),
		verdictVersion: 1,
		disputes:       make(map[string]*dispute),
	}, nil
}

// Tick advances time and returns the heartbeats that are due. It must be called
// several times per heartbeat interval.
func (s *State) Tick(now time.Duration) []Outgoing {
	s.checkLease(now)
	s.applyRules(now)
	if now < s.nextHeartbeat {
		return nil
	}
	s.nextHeartbeat = now + s.heartbeatInterval()
	s.reannounceWarm(now)
	return s.heartbeats(now)
}

// heartbeatInterval is shorter during a hand-over, to pass on leaves as they drain.
func (s *State) heartbeatInterval() time.Duration {
	if s.stopping && len(s.drainingLeaves()) > 0 {
		return s.opts.HeartbeatInterval / handOverHeartbeatFactor
	}
	return s.opts.HeartbeatInterval
}

// Allowed returns what this process may use of a leaf. It must be called
// directly before each send.
func (s *State) Allowed(now time.Duration, leafID string) Allowance {
	s.checkLease(now)
	l, ok := s.leaves[leafID]
	if !ok || !s.attached {
		return Allowance{}
	}
	return l.allowance(now)
}

// TryBegin records the start of a call if the leaf has a free slot, and returns
// the allowance it was decided on.
func (s *State) TryBegin(now time.Duration, leafID string) (Allowance, bool) {
	a := s.Allowed(now, leafID)
	l := s.leaves[leafID]
	if l == nil || l.inUse >= a.Slots {
		return a, false
	}
	l.inUse++
	return a, true
}

// End records that a call of a leaf has ended.
func (s *State) End(leafID string) {
	if l, ok := s.leaves[leafID]; ok && l.inUse > 0 {
		l.inUse--
	}
}

// ReportEnded reports proof that no process of a host is running: its address
// refuses connections. The incarnation is the last one that was known. The
// proof should be repeated with every refused attempt, since it counts for one
// session only. A newer incarnation in a heartbeat needs no report.
func (s *State) ReportEnded(now time.Duration, host string, incarnation uint64) {
	s.checkLease(now)
	p := s.peer(host)
	if p == nil || incarnation < p.incarnation || s.endedInSession(p) {
		return
	}
	p.endedIncarnation = max(p.endedIncarnation, incarnation)
	p.endedAt = now
	s.applyRules(now)
}

// StartHandOver ends the use of all shares for good and passes each to its
// deputy as soon as no call of its leaf is running.
func (s *State) StartHandOver(now time.Duration) {
	s.checkLease(now)
	s.stopping = true
	s.dropAllShares()
	for _, t := range s.takeovers {
		t.startRelease(now)
	}
	s.nextHeartbeat = now
	s.applyRules(now)
}

// applyRules applies every rule that may have become true.
func (s *State) applyRules(now time.Duration) {
	if s.view == nil {
		return
	}
	s.evaluateFences(now)
	s.updateAttached(now)
	s.updateReleased(now)
	s.updateSettled(now)
	s.returnTaken(now)
	s.startShares(now)
}
