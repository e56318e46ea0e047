package snapshot

import (
	"math"
	"time"
)

// DefaultHoldTTL is the age of a leaf's last report after which the state of the
// leaf is no longer used.
const DefaultHoldTTL = 20 * time.Second

// refreshAge is the age of a leaf's last report from which the leaf is queried for
// its held snapshots again.
const refreshAge = 5 * time.Second

// speculationAge is the age of a leaf's last report from which the leaf is called
// again for a snapshot that it did not hold, if no other leaf of its shard is known
// to hold that snapshot.
const speculationAge = time.Second

// maxRefreshScan is the greatest number of cursor steps in one call of NextRefresh.
const maxRefreshScan = 8

// maxHeldPerLeaf is the greatest number of held snapshots that are recorded per leaf.
const maxHeldPerLeaf = 8

// Held is one snapshot that a leaf holds.
type Held struct {
	ID ID
	// Range is the part of the key space that the leaf covers in this
	// snapshot; zero if unknown.
	Range Range
}

// Report is what one answer, refusal or list of held snapshots says about a leaf.
type Report struct {
	Leaf        string
	Incarnation string
	// Answered is the snapshot that the answer used; zero in a refusal.
	Answered Held
	// Refused is the snapshot that the leaf refused because it does not hold it;
	// zero if there is none.
	Refused ID
	// HeldSnapshots lists the snapshots that the leaf holds, the newest first, with their
	// ranges if known. A nil list means that the report has no such list.
	HeldSnapshots []Held
}

// leafState is the recorded state of one leaf.
type leafState struct {
	incarnation string
	// replaced is the previous incarnation, whose late reports are ignored.
	replaced string
	// lastReport is the time of the last report, or never.
	lastReport time.Duration
	// lastRefresh is the time at which the leaf was last chosen for a refresh.
	lastRefresh time.Duration
	snapshots   []Held
}

// never is a time long before any time that a caller passes in.
const never = math.MinInt64 / 2 * time.Nanosecond

// Inventory records which snapshots the leaves of one service hold, as far as an
// entry knows. The caller must serialize its methods with a lock.
type Inventory struct {
	ttl    time.Duration
	leaves map[string]*leafState
	// cursor is the position of the next leaf that NextRefresh considers.
	cursor cursor
	// scratch holds buffers that are reused by every plan.
	scratch planner
}

// NewInventory returns an empty Inventory that uses reports up to an age of ttl.
func NewInventory(ttl time.Duration) *Inventory {
	return &Inventory{ttl: ttl, leaves: make(map[string]*leafState)}
}

// Observe records a report. The first report of a new incarnation discards the
// state of the previous one, whose late reports are ignored.
func (inv *Inventory) Observe(now time.Duration, r Report) {
	leaf := inv.leaves[r.Leaf]
	if leaf == nil {
		leaf = &leafState{lastReport: never}
		inv.leaves[r.Leaf] = leaf
	}
	if leaf.lastReport == never {
		leaf.incarnation = r.Incarnation
	}
	if r.Incarnation != leaf.incarnation {
		if r.Incarnation == leaf.replaced {
			return
		}
		*leaf = leafState{incarnation: r.Incarnation, replaced: leaf.incarnation, lastRefresh: leaf.lastRefresh}
	}
	leaf.lastReport = now
	if r.HeldSnapshots != nil {
		leaf.replaceHeld(r.HeldSnapshots)
	}
	if !r.Answered.ID.IsZero() {
		leaf.addHeld(r.Answered)
	}
	if !r.Refused.IsZero() {
		leaf.removeHeld(r.Refused)
	}
}

// cursor is a position in the leaves of a service's shards.
type cursor struct {
	shard int
	leaf  int
}

// NextRefresh returns a leaf to query for its held snapshots independently of any
// user query, and false if no leaf that it considered is due. A leaf is due if it
// has no state, or if refreshAge has passed both since its last report and since it
// was last chosen. Without refreshes, an entry would not learn that a leaf that
// serves no queries has loaded a new snapshot.
func (inv *Inventory) NextRefresh(now time.Duration, shards []Shard) (Choice, bool) {
	for range maxRefreshScan {
		shard, leaf, ok := inv.advance(shards)
		if !ok {
			continue
		}
		state := inv.leaves[leaf]
		if state != nil && now-max(state.lastReport, state.lastRefresh) < refreshAge {
			continue
		}
		if state == nil {
			state = &leafState{lastReport: never}
			inv.leaves[leaf] = state
		}
		state.lastRefresh = now
		return Choice{Leaf: leaf, Shard: shards[shard].Name, index: shard}, true
	}
	return Choice{}, false
}

// advance moves the cursor by one step and returns the leaf at the previous position,
// or false if there was none.
func (inv *Inventory) advance(shards []Shard) (shard int, leaf string, ok bool) {
	if inv.cursor.shard >= len(shards) {
		inv.cursor = cursor{}
	}
	if inv.cursor.shard >= len(shards) {
		return 0, "", false
	}
	leaves := shards[inv.cursor.shard].Leaves
	if inv.cursor.leaf >= len(leaves) {
		inv.cursor = cursor{shard: inv.cursor.shard + 1}
		return 0, "", false
	}
	shard = inv.cursor.shard
	leaf = leaves[inv.cursor.leaf]
	inv.cursor.leaf++
	return shard, leaf, true
}

// Retain removes the state of every leaf for which keep returns false.
func (inv *Inventory) Retain(keep func(leaf string) bool) {
	for name := range inv.leaves {
		if !keep(name) {
			delete(inv.leaves, name)
		}
	}
}

// HeldBy returns the snapshots that a leaf is known to hold, and false if the leaf has
// no state or its state has expired.
func (inv *Inventory) HeldBy(now time.Duration, leaf string) ([]Held, bool) {
	state := inv.fresh(now, leaf)
	if state == nil {
		return nil, false
	}
	return append([]Held(nil), state.snapshots...), true
}

// fresh returns the state of a leaf, or nil if there is none or it has expired.
func (inv *Inventory) fresh(now time.Duration, leaf string) *leafState {
	state := inv.leaves[leaf]
	if state == nil || state.lastReport == never || now-state.lastReport > inv.ttl {
		return nil
	}
	return state
}

// replaceHeld replaces the held snapshots by a list of at most maxHeldPerLeaf. It
// keeps the known ranges of snapshots for which the list has none.
func (l *leafState) replaceHeld(list []Held) {
	if len(list) > maxHeldPerLeaf {
		list = list[:maxHeldPerLeaf]
	}
	if l.heldUnchanged(list) {
		return
	}
	snapshots := make([]Held, 0, len(list))
	for _, held := range list {
		if !held.Range.Valid() {
			held.Range = l.knownRange(held.ID)
		}
		snapshots = append(snapshots, held)
	}
	l.snapshots = snapshots
}

// knownRange returns the range of a snapshot, or zero if it is unknown.
func (l *leafState) knownRange(id ID) Range {
	if known := l.find(id); known != nil {
		return known.Range
	}
	return Range{}
}

// heldUnchanged reports whether the list would not change the held snapshots and
// their ranges.
func (l *leafState) heldUnchanged(list []Held) bool {
	if len(list) != len(l.snapshots) {
		return false
	}
	for i, held := range list {
		known := l.snapshots[i]
		if held.ID != known.ID || held.Range.Valid() && held.Range != known.Range {
			return false
		}
	}
	return true
}

// addHeld records that the leaf holds a snapshot, and its range if known.
func (l *leafState) addHeld(held Held) {
	if known := l.find(held.ID); known != nil {
		if held.Range.Valid() {
			known.Range = held.Range
		}
		return
	}
	if !held.Range.Valid() {
		held.Range = Range{}
	}
	if len(l.snapshots) == maxHeldPerLeaf {
		l.snapshots = l.snapshots[:maxHeldPerLeaf-1]
	}
	l.snapshots = append([]Held{held}, l.snapshots...)
}

// removeHeld removes a snapshot that the leaf does not hold.
func (l *leafState) removeHeld(id ID) {
	for i := range l.snapshots {
		if l.snapshots[i].ID.Same(id) {
			l.snapshots = append(l.snapshots[:i:i], l.snapshots[i+1:]...)
			return
		}
	}
}

// find returns the held snapshot with the given ID, or nil.
func (l *leafState) find(id ID) *Held {
	for i := range l.snapshots {
		if l.snapshots[i].ID.Same(id) {
			return &l.snapshots[i]
		}
	}
	return nil
}
