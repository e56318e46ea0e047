package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// helperBackoff is how long a peer that failed gets no gathers.
	helperBackoff = 2 * time.Second
	// overdueGrace is the time after a gathered answer was due at which a peer that has
	// answered nothing since is taken to be silent.
	overdueGrace = 50 * time.Millisecond
)

// Helper is a peer that gathers for others.
type Helper struct {
	Name    string
	Address string
}

// helpers is the set of peers that gather for this node, because they have more
// processor time and a faster link, or connections to leaves.
type helpers struct {
	gatherer Gatherer
	next     atomic.Uint32
	// mu guards the fields below.
	mu   sync.Mutex
	list []Helper
	// minShards is the number of shards from which a helper gathers.
	minShards int
	states    map[string]*helperState
}

// helperState is what calls have shown of one helper.
type helperState struct {
	backoffUntil time.Time
	// lastAnswer is when the last answer came.
	lastAnswer time.Time
	inFlight   map[*delegation]struct{}
}

// delegation is a gather that a helper has not answered.
type delegation struct {
	sent time.Time
	// due is when the answer has to be sent, if need be in part.
	due time.Time
}

func newHelpers(g Gatherer) helpers {
	return helpers{gatherer: g, states: map[string]*helperState{}}
}

// set takes the helpers, and the number of shards from which they gather. What is known of
// those that stay is kept.
func (s *helpers) set(list []Helper, minShards int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list, s.minShards = list, minShards
	states := make(map[string]*helperState, len(list))
	for _, helper := range list {
		states[helper.Name] = s.states[helper.Name]
		if states[helper.Name] == nil {
			states[helper.Name] = &helperState{inFlight: map[*delegation]struct{}{}}
		}
	}
	s.states = states
}

// pick returns the helper whose turn it is for a gather of some shards.
func (s *helpers) pick(now time.Time, shards int) (Helper, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shards == 0 || shards < s.minShards {
		return Helper{}, false
	}
	for range s.list {
		helper := s.list[int(s.next.Add(1))%len(s.list)]
		if state := s.states[helper.Name]; now.After(state.backoffUntil) && !state.unresponsive(now) {
			return helper, true
		}
	}
	return Helper{}, false
}

// unresponsive reports whether an answer is overdue and none has come since it was asked for.
func (s *helperState) unresponsive(now time.Time) bool {
	for d := range s.inFlight {
		if now.Sub(d.due) > overdueGrace && !s.lastAnswer.After(d.sent) {
			return true
		}
	}
	return false
}

// begin notes that a helper is asked for an answer.
func (s *helpers) begin(helper Helper, now, due time.Time) *delegation {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &delegation{sent: now, due: due}
	if state := s.states[helper.Name]; state != nil {
		state.inFlight[d] = struct{}{}
	}
	return d
}

// end notes that a helper has answered, or that nobody waits for its answer any more.
func (s *helpers) end(helper Helper, d *delegation, now time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[helper.Name]
	if state == nil {
		return
	}
	delete(state.inFlight, d)
	if answered {
		state.lastAnswer = now
	}
}

func (s *helpers) recordFailure(helper Helper, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[helper.Name]; state != nil {
		state.backoffUntil = now.Add(helperBackoff)
	}
}
