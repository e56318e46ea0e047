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

// Delegation describes the gatherers to which a node delegates gathers, or parts of them.
type Delegation struct {
	// Groups are the groups that the node uses. A gatherer uses its own group only.
	Groups []GatherGroup
	// Alive holds the names of the members that are alive, of which this node is one if it is
	// a gatherer.
	Alive map[string]bool
	// Self is the name of this node if it is a gatherer; otherwise it is empty.
	Self string
	// MinShards is the smallest number of shards for which a node that is not a gatherer
	// delegates a gather.
	MinShards int
}

// Helpers returns the number of live peers that gather for the node.
func (d *Delegation) Helpers() int {
	n := 0
	for _, g := range d.Groups {
		for _, m := range g.Members {
			if m.Name != d.Self && d.Alive[m.Name] {
				n++
			}
		}
	}
	return n
}

// helpers is the set of peers that gather answers for this node, because they have more
// processor time and a faster network link, or connections to leaves, or because gathers are
// divided among the members of a group.
type helpers struct {
	client GatherClient
	next   atomic.Uint32
	// mu guards the fields below.
	mu         sync.Mutex
	delegation Delegation
	states     map[string]*helperState
}

// helperState is the health of one helper, as observed by calls to it.
type helperState struct {
	backoffUntil time.Time
	// answered is when the helper last answered.
	answered time.Time
	inFlight map[*delegation]struct{}
	// lacking is the number of shards that lacked a leaf in the last part, and lackingAt when
	// the helper has told it.
	lacking   int
	lackingAt time.Time
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

// set replaces the delegation. It keeps the state of helpers that remain.
func (s *helpers) set(d Delegation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delegation = d
	states := map[string]*helperState{}
	for _, g := range d.Groups {
		for _, helper := range g.Members {
			states[helper.Name] = s.states[helper.Name]
			if states[helper.Name] == nil {
				states[helper.Name] = &helperState{inFlight: map[*delegation]struct{}{}}
			}
		}
	}
	s.states = states
}

// plan returns the nodes that gather the parts of a gather from a number of shards; nil stands for
// this node. The plan is empty if this node gathers all of it. It skips helpers that have failed
// recently or are unresponsive.
func (s *helpers) plan(now time.Time, shards int) []*Helper {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &s.delegation
	if d.Self == "" && shards < d.MinShards {
		return nil
	}
	for range d.Groups {
		next := s.next.Add(1)
		g := &d.Groups[int(next)%len(d.Groups)]
		parts := g.parts(shards)
		if d.Self != "" && parts == 1 {
			return nil
		}
		if plan := s.assign(now, g, parts, int(next)); plan != nil {
			return plan
		}
	}
	return nil
}

// assign returns the members of a group that gather the parts of a gather, or nil if this node
// gathers all of them or no member is available. A part goes to the member that owns its shards,
// or else to the next one that is available. A gather that is not divided goes to the members in
// turn.
func (s *helpers) assign(now time.Time, g *GatherGroup, parts, turn int) []*Helper {
	plan := make([]*Helper, parts)
	assigned := false
	for part := range plan {
		first := part
		if parts == 1 {
			first = turn
		}
		found := false
		for i := range g.Members {
			m := &g.Members[(first+i)%len(g.Members)]
			if m.Name == s.delegation.Self {
				found = true
				break
			}
			if s.available(now, m.Name) {
				plan[part], found, assigned = m, true, true
				break
			}
		}
		if !found {
			return nil
		}
	}
	if !assigned {
		return nil
	}
	return plan
}

func (s *helpers) available(now time.Time, name string) bool {
	state := s.states[name]
	return s.delegation.Alive[name] && now.After(state.backoffUntil) && !state.unresponsive(now)
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
func (s *helpers) begin(helper *Helper, now, due time.Time) *delegation {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &delegation{sent: now, due: due}
	if state := s.states[helper.Name]; state != nil {
		state.inFlight[d] = struct{}{}
	}
	return d
}

// end records that a helper has answered, or that its answer is no longer awaited.
func (s *helpers) end(helper *Helper, d *delegation, now time.Time, answered bool) {
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

func (s *helpers) recordFailure(helper *Helper, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[helper.Name]; state != nil {
		state.backoffUntil = now.Add(helperBackoff)
	}
}

// setLacking records the number of shards of a part for which the helper lacked a leaf.
func (s *helpers) setLacking(helper *Helper, now time.Time, shards int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[helper.Name]; state != nil {
		state.lacking, state.lackingAt = shards, now
	}
}

// lacking returns the number of shards for which the helper has lately lacked a leaf.
func (s *helpers) lacking(helper *Helper, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.states[helper.Name]; state != nil && now.Sub(state.lackingAt) < lackingTTL {
		return state.lacking
	}
	return 0
}
