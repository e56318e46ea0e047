package share

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// Allowance is what this process may use of one leaf.
type Allowance struct {
	// Slots is the number of calls that may run at the same time.
	Slots int
	// Connections is the number of connections that may be open.
	Connections int
	// HandlesCold is set for the one process that may send to a cold leaf.
	HandlesCold bool
	// CallUntil is the time by which a call sent now must have ended; it bounds
	// the deadline that the leaf is given.
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
	// heldSlots is the number of slots that this process may use now.
	heldSlots int
	// stable is set when no host can use the share under another view, save
	// its owner and deputy.
	stable bool
}

// connections returns the allowance that goes with the role.
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

	// sums over the held shares
	slots       int
	warmSlots   int
	connections int

	ownVerdict      Verdict
	firstVerdict    Verdict // by the process that holds the first share
	otherVerdict    Verdict // by another one
	rejectedVerdict Verdict // the told mark that this process found wrong
}

func newLeaf(l placement.Leaf, maxCall time.Duration) *leaf {
	return &leaf{id: l.ID, hash: l.Hash(), maxCall: maxCall, shares: make([]share, len(l.Shares))}
}

// held returns the number of slots that may be used, warm or cold.
func (l *leaf) held() int { return l.slots }

// sum recomputes the sums over the held shares.
func (l *leaf) sum() {
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

// handlesCold reports whether the first share, which comes with the permit for
// a cold leaf, is held.
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

// sameLayout decides whether a share has the same hosts as before.
type sameLayout func(id string, i int, old, next placement.Share) bool

// sameHosts compares the owner and deputy of a share.
func sameHosts(_ string, _ int, old, next placement.Share) bool {
	return old.Owner == next.Owner && old.Deputy == next.Deputy
}

// compareWithPrevious returns the comparison for a change from the previous view. The
// previous view is evaluated with the document in force. If it was not current
// in this session, another view may have replaced it without this process.
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

// rebuildShares computes the shares anew after a change of the view or the document.
// Shares that this process held and still has stay in use without a gap.
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
			l.sum()
			s.leaves[id] = l
		}
	}
	s.resendVerdicts()
}

// rebuildLeaf carries the state of a leaf over to its new shares.
func (s *State) rebuildLeaf(l, old *leaf, placed placement.Leaf, same sameLayout) {
	if old != nil {
		l.inUse = old.inUse
		l.ownVerdict, l.firstVerdict, l.otherVerdict, l.rejectedVerdict = old.ownVerdict, old.firstVerdict, old.otherVerdict, old.rejectedVerdict
	}
	for i, p := range placed.Shares {
		sh := share{Share: p, role: s.roleIn(p), stable: s.isSettled()}
		if old != nil && i < len(old.shares) {
			before := &old.shares[i]
			sh.stable = sh.stable || (before.stable && same(l.id, i, before.Share, p))
			if mayKeep(before, &sh) {
				sh.heldSlots = p.Slots
				if !sh.stable {
					sh.heldSlots = min(before.heldSlots, p.Slots)
				}
			}
		}
		l.shares[i] = sh
	}
	l.sum()
}

// mayKeep reports whether the user of a share before may go on using it: as its
// owner, or as the deputy of the same owner.
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

// maxCalls returns the longest leaf call of each service.
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
