package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// helperBackoff is how long a helper is skipped after a failed gather.
	helperBackoff = 2 * time.Second
	// overdueGrace is how long a gather may be overdue before its helper counts as
	// unresponsive, provided that the helper has answered nothing since it was sent.
	overdueGrace = 50 * time.Millisecond
)

// Helper is a peer that gathers answers for other nodes.
type Helper struct {
	Name    string
	Address string
}

// helpers is the set of peers that gather answers for this node, because they have more
// processor time and a faster network link, or connections to leaves.
type helpers struct {
	client GatherClient
	next   atomic.Uint32
	// mu guards the fields below.
	mu   sync.Mutex
	list []Helper
	// minShards is the smallest number of shards for which a gather is delegated.
	minShards int
	states    map[string]*helperState
}

// helperState is the health of one helper, as observed by calls to it.
type helperState struct {
	backoffUntil time.Time
	// answered is when the helper last answered.
	answered time.Time
	inFlight map[*delegation]struct{}
}

// delegation is a gather that a helper has not answered yet.
type delegation struct {
	sent time.Time
	// due is when the answer has to be sent, even if it is partial.
	due time.Time
}

func newHelpers(g GatherClient) helpers {
	return helpers{client: g, states: map[string]*helperState{}}
}

// set replaces the helpers and the smallest number of shards for which a gather is
// delegated. It keeps the state of helpers that remain.
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

// pick returns the next helper, in round-robin order, for a gather from a number of shards.
// It skips helpers that have failed recently or are unresponsive. It returns false if the
// gather is too small or no helper is available.
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

// unresponsive reports whether an answer is overdue and the helper has answered nothing since
// it was requested.
func (s *helperState) unresponsive(now time.Time) bool {
	for d := range s.inFlight {
		if now.Sub(d.due) > overdueGrace && !s.answered.After(d.sent) {
			return true
		}
	}
	return false
}

// begin records that a gather is delegated to a helper.
func (s *helpers) begin(helper Helper, now, due time.Time) *delegation {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &delegation{sent: now, due: due}
	if state := s.states[helper.Name]; state != nil {
		state.inFlight[d] = struct{}{}
	}
	return d
}

// end records that a helper has answered, or that its answer is no longer awaited.
func (s *helpers) end(helper Helper, d *delegation, now time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[helper.Name]
	if state == nil {
		return
	}
	delete(state.inFlight, d)
	if answered {
		state.answered = now
	}
}

func (s *helpers) recordFailure(helper Helper, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[helper.Name]; state != nil {
		state.backoffUntil = now.Add(helperBackoff)
	}
}
