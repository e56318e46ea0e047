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
	last  time.Duration

	doc     *document.Document
	stopped map[string]bool

	view       *view
	known      uint64
	released   uint64
	settled    uint64
	replacedAt time.Duration
	// confirmedAt is when the platform last named the view's revision.
	confirmedAt time.Duration
	// unsettled holds hosts of replaced views, and whether they may use shares
	// without contact.
	unsettled map[string]bool
	// contactFree is set while no view that could be in force requires contact.
	contactFree bool

	session      uint32
	sessionStart time.Duration
	attached     bool
	// current is set once the view was the highest known in this session.
	current  bool
	stopping bool

	seq      uint32
	sent     [sentRing]sentBeat
	nextBeat time.Duration

	peers map[string]*peer
	taken map[string]*takeover

	leaves      map[string]*leaf
	byHash      map[uint64]*leaf
	longestCall time.Duration
	markVersion uint32
	// doubts holds the leaves of which another holder says that they are not warm.
	doubts    map[string]*doubt
	conflicts uint64
}

// view is a host list reduced to what this process needs of it.
type view struct {
	revision uint64
	planner  *placement.Planner
	// members are the hosts of this cell, leaving ones included.
	members map[string]bool
}

// handOverSpeedUp is the number of heartbeats per interval while calls drain.
const handOverSpeedUp = 8

// sentRing is the number of heartbeats whose times of sending are kept.
const sentRing = 32

// sentBeat is the time at which a heartbeat was sent.
type sentBeat struct {
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
		opts:         opts,
		start:        now,
		last:         now,
		nextBeat:     now,
		session:      1,
		sessionStart: now,
		longestCall:  opts.MaxCall,
		unsettled:    make(map[string]bool),
		peers:        make(map[string]*peer),
		taken:        make(map[string]*takeover),
		leaves:       make(map[string]*leaf),
		markVersion:  1,
		doubts:       make(map[string]*doubt),
	}, nil
}

// Tick advances time and returns the heartbeats that are due. It must be called
// several times per heartbeat interval.
func (s *State) Tick(now time.Duration) []Outgoing {
	s.observe(now)
	s.advance(now)
	if now < s.nextBeat {
		return nil
	}
	s.nextBeat = now + s.beatInterval()
	s.reaffirm(now)
	return s.beats(now)
}

// beatInterval is shorter during a hand-over, to pass on leaves as they drain.
func (s *State) beatInterval() time.Duration {
	if s.stopping && len(s.drainingLeaves()) > 0 {
		return s.opts.BeatInterval / handOverSpeedUp
	}
	return s.opts.BeatInterval
}

// Allowed returns what this process may use of a leaf. It must be called
// directly before each send.
func (s *State) Allowed(now time.Duration, leafID string) Allowance {
	s.observe(now)
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
	s.observe(now)
	p := s.peer(host)
	if p == nil || incarnation < p.incarnation || s.endedInSession(p) {
		return
	}
	p.endedIncarnation = max(p.endedIncarnation, incarnation)
	p.endedAt = now
	s.advance(now)
}

// StartHandOver ends the use of all shares for good and passes each to its
// deputy as soon as no call of its leaf is running.
func (s *State) StartHandOver(now time.Duration) {
	s.observe(now)
	s.stopping = true
	s.dropAll()
	for _, t := range s.taken {
		t.startRelease(now)
	}
	s.nextBeat = now
	s.advance(now)
}

// advance applies every rule that may have become true.
func (s *State) advance(now time.Duration) {
	if s.view == nil {
		return
	}
	s.evaluateFences(now)
	s.attach(now)
	s.release(now)
	s.settle(now)
	s.returnTaken(now)
	s.updateLeaves(now)
}
