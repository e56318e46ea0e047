package share

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// State is the share state of one process. It must not be used concurrently;
// see Locked. Times are monotonic and must not decrease between calls.
type State struct {
	opts  Options
	start time.Duration
	// lastNow is the time of the previous method call.
	lastNow time.Duration

	doc          *document.Document
	stoppedHosts map[string]bool

	view *view
	// highestKnown, released and settled are as in Heartbeat.
	highestKnown uint64
	released     uint64
	settled      uint64
	// viewReplacedAt is the time at which view came into force.
	viewReplacedAt time.Duration
	// viewConfirmedAt is the time at which the host list was last read with the
	// view's revision.
	viewConfirmedAt time.Duration
	// unsettled holds the hosts that may still use a lower revision. The value
	// states whether the host may use shares without contact under it.
	unsettled map[string]bool
	// contactFree is set while no view that may be in force requires contact.
	contactFree bool

	session      uint32
	sessionStart time.Duration
	attached     bool
	// viewIsCurrent is set once the view has had the highest known revision while
	// the process was attached in this session.
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
	// disputes holds, by leaf ID, the leaves that another holder has reported as
	// not warm.
	disputes  map[string]*dispute
	conflicts uint64
}

// view is the part of a host list that this process uses.
type view struct {
	revision uint64
	planner  *placement.Planner
	// members are the hosts of this cell, including leaving hosts.
	members map[string]bool
}

// handOverHeartbeatFactor is the number of heartbeats per HeartbeatInterval while
// calls drain during a hand-over.
const handOverHeartbeatFactor = 8

// sentRingSize is the number of heartbeats whose send times are kept.
const sentRingSize = 32

// sentHeartbeat is the sequence number and send time of a heartbeat.
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
		unsettled:      make(map[string]bool),
		peers:          make(map[string]*peer),
		takeovers:      make(map[string]*takeover),
		leaves:         make(map[string]*leaf),
		verdictVersion: 1,
		disputes:       make(map[string]*dispute),
	}, nil
}

// Tick applies the rules that depend on time and returns the heartbeats that are
// due. It must be called several times per heartbeat interval.
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

// heartbeatInterval returns the current interval. It is shorter during a hand-over,
// so that each leaf passes to its deputy soon after it has drained.
func (s *State) heartbeatInterval() time.Duration {
	if s.stopping && len(s.drainingLeaves()) > 0 {
		return s.opts.HeartbeatInterval / handOverHeartbeatFactor
	}
	return s.opts.HeartbeatInterval
}

// Allowed returns what this process may use of a leaf. The result holds only for
// calls that are sent immediately.
func (s *State) Allowed(now time.Duration, leafID string) Allowance {
	s.checkLease(now)
	l, ok := s.leaves[leafID]
	if !ok || !s.attached {
		return Allowance{}
	}
	return l.allowance(now)
}

// TryBegin records the start of a call if the leaf has a free slot. It returns the
// allowance on which the decision was based and whether the call may be sent.
func (s *State) TryBegin(now time.Duration, leafID string) (Allowance, bool) {
	a := s.Allowed(now, leafID)
	l := s.leaves[leafID]
	if l == nil || l.inUse >= a.Slots {
		return a, false
	}
	l.inUse++
	return a, true
}

// End records the end of a call to a leaf.
func (s *State) End(leafID string) {
	if l, ok := s.leaves[leafID]; ok && l.inUse > 0 {
		l.inUse--
	}
}

// ReportEnded records proof that no process of a host is running, namely that its
// address refuses connections. The incarnation is the last known one of the host.
// The caller should report every refused attempt, since the proof is valid for
// one session only. The end of a process that a heartbeat with a newer incarnation
// reveals need not be reported.
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

// StartHandOver permanently ends the use of all shares and passes each share to its
// deputy as soon as its leaf has no calls of this process in flight.
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

// applyRules updates the state after an event or a change of time.
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
