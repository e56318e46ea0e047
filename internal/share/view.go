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

// maxContactFree is the greatest number of hosts that use their shares without
// contact. Silence never moves a share between them.
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

// contactFree reports whether members use their shares without contact.
func (v *view) contactFree() bool { return len(v.members) <= maxContactFree }

// SetView takes a host list. Revisions below the one in force are ignored. Every
// list that is read should be passed on, also if it repeats the revision.
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

// checkRepeated refuses other hosts under the revision in force.
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

// replaceView narrows contacts to hosts of both views, and remembers the hosts
// that may still act on the previous one.
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

// hostsOfFormerCells returns the hosts of other cells that owned leaves in previous
// which belong to this cell in next.
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

// addUnsettled adds a host that may act on a lower revision.
func (s *State) addUnsettled(name string, contactFree bool) {
	if s.peer(name) == nil {
		return
	}
	s.unsettledHosts[name] = s.unsettledHosts[name] || contactFree
}

// isSettled reports that the view has replaced all lower ones.
func (s *State) isSettled() bool {
	return s.view != nil && s.settled == s.view.revision
}

// updateSettled finds out whether the view in force has replaced all lower ones: each
// host that could act on a lower one has released it or is gone.
func (s *State) updateSettled(now time.Duration) {
	if s.isSettled() || !(s.settledByPeer() || s.allReleased(now)) {
		return
	}
	s.settled = s.view.revision
	clear(s.unsettledHosts)
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

// settledByPeer reports that a peer has found the view settled.
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

// updateReleased records that no call of a lost share is running any more.
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

// drained reports that the running calls of a leaf fit in the held slots, or
// that all calls begun by since must have ended.
func (s *State) drained(l *leaf, since, now time.Duration) bool {
	return l.inUse <= l.held() || now >= since+l.maxCall+s.opts.Margin
}

// SetDocument takes a document. Documents must not go back.
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
