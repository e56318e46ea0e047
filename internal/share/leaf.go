package share

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// Allowance is what this process may use of one leaf.
type Allowance struct {
	// Slots is the number of calls that may be in flight at the same time.
	Slots int
	// Connections is the number of connections that may be open.
	Connections int
	// HandlesCold is set for the only process that may call the leaf while it is
	// cold.
	HandlesCold bool
	// CallUntil is the time by which a call sent now must have ended. It bounds
	// the deadline that is sent to the leaf.
	CallUntil time.Duration
}

// role is the relation of this process to a share.
type role uint8

const (
	roleNone role = iota
	roleOwner
	roleDeputy
)

// share is the state of one share of a leaf.
type share struct {
	placement.Share
	role role
	// heldSlots is the number of the share's slots that this process may use now.
	heldSlots int
	// stable is set when no host other than the owner and the deputy can use
	// the share under another view.
	stable bool
}

// connections returns the number of connections that the process may open in
// its role.
func (sh *share) connections() int {
	switch {
	case sh.heldSlots == 0:
		return 0
	case sh.role == roleDeputy:
		return sh.DeputyConnections
	}
	return sh.Connections
}

// leaf is the state of one leaf.
type leaf struct {
	id      string
	hash    uint64
	maxCall time.Duration
	shares  []share
	inUse   int

	// Sums over the held shares.
	slots       int
	warmSlots   int
	connections int

	ownVerdict      Verdict
	firstVerdict    Verdict // of the process that holds the first share
	otherVerdict    Verdict // of another process
	rejectedVerdict Verdict // the firstVerdict that this process found to be wrong
}

func newLeaf(l placement.Leaf, maxCall time.Duration) *leaf {
	return &leaf{id: l.ID, hash: l.Hash(), maxCall: maxCall, shares: make([]share, len(l.Shares))}
}

// held returns the number of slots that are held, whether the leaf is warm or not.
func (l *leaf) held() int { return l.slots }

// updateSums recomputes the sums over the held shares.
func (l *leaf) updateSums() {
	l.slots, l.warmSlots, l.connections = 0, 0, 0
	for i := range l.shares {
		sh := &l.shares[i]
		l.slots += sh.heldSlots
		l.connections += sh.connections()
		if i > 0 {
			l.warmSlots += sh.heldSlots
		}
	}
}

// handlesCold reports whether this process holds the first share, which carries
// the permit to call the leaf while it is cold.
func (l *leaf) handlesCold() bool { return l.slots > l.warmSlots }

func (l *leaf) allowance(now time.Duration) Allowance {
	if l.slots == 0 || (!l.handlesCold() && !l.isReportedWarm()) {
		return Allowance{}
	}
	return Allowance{
		Slots:       l.slots,
		Connections: l.connections,
		HandlesCold: l.handlesCold(),
		CallUntil:   now + l.maxCall,
	}
}

// sameLayout reports whether share i of the leaf id has the same hosts as before.
type sameLayout func(id string, i int, old, next placement.Share) bool

// sameHosts compares the owner and deputy of a share.
func sameHosts(_ string, _ int, old, next placement.Share) bool {
	return old.Owner == next.Owner && old.Deputy == next.Deputy
}

// compareWithPrevious returns a function that compares a share with its assignment
// under the previous view and the document in force. No share compares equal if
// the previous view was not current in this session, since another view may have
// replaced it unnoticed by this process.
func (s *State) compareWithPrevious(previous *view) sameLayout {
	if previous == nil || s.doc == nil || !s.viewIsCurrent {
		return func(string, int, placement.Share, placement.Share) bool { return false }
	}
	before := previous.planner.PlanCell(s.doc, s.opts.Cell)
	return func(id string, i int, _, next placement.Share) bool {
		l, ok := before.Leaf(id)
		return ok && i < len(l.Shares) && l.Shares[i] == next
	}
}

// rebuildShares recomputes the shares after a change of the view or the document.
// Shares that this process held and is still assigned stay in use without
// interruption. Leaves without shares are kept while they have calls in flight.
func (s *State) rebuildShares(sameShare sameLayout) {
	if s.doc == nil || s.view == nil {
		return
	}
	old := s.leaves
	table := s.view.planner.PlanCell(s.doc, s.opts.Cell)
	maxCalls := s.maxCalls()
	s.leaves = make(map[string]*leaf, len(table.Leaves))
	s.leavesByHash = make(map[uint64]*leaf, len(table.Leaves))
	s.longestCall = s.opts.MaxCall
	for _, placed := range table.Leaves {
		l := newLeaf(placed, maxCalls[placed.Service])
		s.rebuildLeaf(l, old[placed.ID], placed, sameShare)
		s.leaves[l.id] = l
		s.leavesByHash[l.hash] = l
		s.longestCall = max(s.longestCall, l.maxCall)
	}
	for id, l := range old {
		if s.leaves[id] == nil && l.inUse > 0 {
			l.shares = nil
			l.updateSums()
			s.leaves[id] = l
		}
	}
	s.resendVerdicts()
}

// rebuildLeaf fills in the new shares of a leaf and carries over its state.
func (s *State) rebuildLeaf(l, old *leaf, placed placement.Leaf, sameShare sameLayout) {
	if old != nil {
		l.inUse = old.inUse
		l.ownVerdict, l.firstVerdict, l.otherVerdict, l.rejectedVerdict = old.ownVerdict, old.firstVerdict, old.otherVerdict, old.rejectedVerdict
	}
	for i, p := range placed.Shares {
		sh := share{Share: p, role: s.roleIn(p), stable: s.isSettled()}
		if old != nil && i < len(old.shares) {
			before := &old.shares[i]
			sh.stable = sh.stable || (before.stable && sameShare(l.id, i, before.Share, p))
			if mayKeep(before, &sh) {
				sh.heldSlots = p.Slots
				if !sh.stable {
					sh.heldSlots = min(before.heldSlots, p.Slots)
				}
			}
		}
		l.shares[i] = sh
	}
	l.updateSums()
}

// mayKeep reports whether a process that held a share may continue to use it: as
// its owner, or as the deputy of the same owner.
func mayKeep(before, next *share) bool {
	if before.heldSlots == 0 {
		return false
	}
	if next.role == roleOwner {
		return true
	}
	return next.role == roleDeputy && before.role == roleDeputy && before.Owner == next.Owner
}

func (s *State) roleIn(p placement.Share) role {
	switch s.opts.Host {
	case p.Owner:
		return roleOwner
	case p.Deputy:
		return roleDeputy
	}
	return roleNone
}

// maxCalls returns the longest duration of a leaf call by service ID.
func (s *State) maxCalls() map[string]time.Duration {
	calls := make(map[string]time.Duration)
	for _, d := range s.doc.Deployments {
		for _, service := range d.Services {
			deadline := service.Policy.Deadline()
			if deadline <= 0 {
				deadline = s.opts.MaxCall
			}
			calls[placement.ServiceID(d.Customer, service.Name)] = deadline
		}
	}
	return calls
}
