package share

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/document"
	"github.com/redwingshelf/redwingshelf/internal/placement"
)

// View is one revision of the platform's host list.
type View struct {
	Revision uint64
	Hosts    []placement.Host
}

// maxContactFree is the largest number of hosts in a cell that use their
// shares without contact. With so few hosts, silence never moves a share.
const maxContactFree = 2

func newView(v View, cell string) (*view, error) {
	planner, err := placement.NewPlanner(v.Hosts)
	if err != nil {
		return nil, fmt.Errorf("host list revision %d: %w", v.Revision, err)
	}
	members := make(map[string]bool)
	for _, h := range v.Hosts {
		if h.Cell == cell {
			members[h.Name] = true
		}
	}
	return &view{revision: v.Revision, planner: planner, members: members}, nil
}

// contactFree reports whether the members may use their shares without contact.
func (v *view) contactFree() bool { return len(v.members) <= maxContactFree }

// SetView applies a host list. Revisions below the one in force are ignored. The
// caller should pass every list that it reads, including lists with the revision
// in force, since those confirm it.
func (s *State) SetView(now time.Duration, v View) error {
	s.checkLease(now)
	next, err := newView(v, s.opts.Cell)
	if err != nil {
		return err
	}
	if s.view != nil && v.Revision <= s.view.revision {
		return s.checkRepeated(now, next)
	}
	s.highestKnown = max(s.highestKnown, v.Revision)
	previous := s.view
	s.replaceView(previous, next)
	s.view = next
	s.viewReplacedAt = now
	s.viewConfirmedAt = now
	s.nextHeartbeat = now
	s.rebuildShares(s.compareWithPrevious(previous))
	s.checkLease(now)
	s.applyRules(now)
	return nil
}

// checkRepeated confirms the view in force if next has the same revision, and
// returns an error if next has other hosts under that revision.
func (s *State) checkRepeated(now time.Duration, next *view) error {
	if next.revision < s.view.revision {
		return nil
	}
	if !slices.Equal(next.planner.Hosts(), s.view.planner.Hosts()) {
		return fmt.Errorf("host list revision %d differs from the one in force", next.revision)
	}
	s.viewConfirmedAt = now
	return nil
}

// replaceView limits contact to hosts that belong to both views, and records the
// hosts that may still use the previous one as unsettled.
func (s *State) replaceView(previous, next *view) {
	s.contactFree = next.contactFree() && (previous == nil || s.contactFree)
	for name := range next.members {
		if p := s.peer(name); p != nil && previous == nil {
			p.contact = true
		}
	}
	for _, p := range s.peers {
		p.contact = p.contact && next.members[p.name]
	}
	for _, p := range s.peers {
		if p.incarnation > 0 && !next.members[p.name] && p.released < next.revision {
			s.addUnsettled(p.name, false)
		}
	}
	if previous == nil {
		return
	}
	for name := range previous.members {
		s.addUnsettled(name, previous.contactFree())
	}
	for _, name := range s.hostsOfFormerCells(previous, next) {
		s.addUnsettled(name, true)
	}
}

// hostsOfFormerCells returns the hosts of the cells, as of previous, from which leaves
// move to this cell with next.
func (s *State) hostsOfFormerCells(previous, next *view) []string {
	if s.doc == nil {
		return nil
	}
	before := previous.planner.PlanCell(s.doc, s.opts.Cell)
	formerCells := make(map[string]bool)
	var allCells *placement.Table
	for _, l := range next.planner.PlanCell(s.doc, s.opts.Cell).Leaves {
		if _, ok := before.Leaf(l.ID); ok {
			continue
		}
		if allCells == nil {
			allCells = previous.planner.Plan(s.doc)
		}
		if old, ok := allCells.Leaf(l.ID); ok {
			formerCells[old.Cell] = true
		}
	}
	var names []string
	for _, h := range previous.planner.Hosts() {
		if formerCells[h.Cell] {
			names = append(names, h.Name)
		}
	}
	return names
}

// addUnsettled records another host that may still use a lower revision.
func (s *State) addUnsettled(name string, contactFree bool) {
	if s.peer(name) == nil {
		return
	}
	s.unsettled[name] = s.unsettled[name] || contactFree
}

// isSettled reports whether the view in force has replaced all lower ones at every
// host.
func (s *State) isSettled() bool {
	return s.view != nil && s.settled == s.view.revision
}

// updateSettled marks the view in force as settled once a peer has, or once each
// host that may use a lower one has released it or is gone.
func (s *State) updateSettled(now time.Duration) {
	if s.isSettled() || !(s.settledByPeer() || s.allReleased(now)) {
		return
	}
	s.settled = s.view.revision
	clear(s.unsettled)
	s.contactFree = s.view.contactFree()
	for _, p := range s.peers {
		p.contact = s.view.members[p.name]
	}
	for _, l := range s.leaves {
		for i := range l.shares {
			l.shares[i].stable = true
		}
	}
}

// settledByPeer reports whether a peer has marked the view as settled.
func (s *State) settledByPeer() bool {
	for _, p := range s.peers {
		if p.settled == s.view.revision {
			return true
		}
	}
	return false
}

func (s *State) allReleased(now time.Duration) bool {
	if !s.attached || s.highestKnown > s.view.revision || s.released < s.view.revision {
		return false
	}
	for _, p := range s.peers {
		if s.mayBeMember(p) && p.released < s.view.revision && !s.gone(p, now, s.longestCall) {
			return false
		}
	}
	return true
}

// updateReleased records the view's revision as released once no call on a lost
// share is in flight.
func (s *State) updateReleased(now time.Duration) {
	if s.released == s.view.revision || now < s.predecessorEnd() {
		return
	}
	for _, l := range s.leaves {
		if !s.drained(l, s.viewReplacedAt, now) {
			return
		}
	}
	s.released = s.view.revision
	s.nextHeartbeat = now
}

// drained reports whether the calls in flight to a leaf fit in the held slots, or
// all calls that began by since must have ended.
func (s *State) drained(l *leaf, since, now time.Duration) bool {
	return l.inUse <= l.held() || now >= since+l.maxCall+s.opts.Margin
}

// SetDocument applies a document. Its revision must not be lower than that of the
// previous one.
func (s *State) SetDocument(now time.Duration, doc *document.Document) {
	s.checkLease(now)
	s.doc = doc
	s.stoppedHosts = make(map[string]bool, len(doc.StoppedHosts))
	for _, name := range doc.StoppedHosts {
		s.stoppedHosts[name] = true
	}
	if s.stoppedHosts[s.opts.Host] && s.attached {
		s.endSession(now)
	}
	if s.view == nil {
		return
	}
	s.rebuildShares(sameHosts)
	s.applyRules(now)
}
