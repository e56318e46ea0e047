package snapshot

import (
	"math"
	"time"
)

// DefaultHoldTTL is the age at which what is known of a leaf is no longer used.
const DefaultHoldTTL = 20 * time.Second

// refreshAge is the age at which a leaf is asked for its hold list again, if no
// answer of it has told.
const refreshAge = 5 * time.Second

// trialAge is the age at which a leaf that did not hold a snapshot is tried on
// it again, where no other leaf covers its part.
const trialAge = time.Second

// maxRefreshScan bounds the leaves that one call of NextRefresh looks at.
const maxRefreshScan = 8

// maxHolds bounds the snapshots that are remembered per leaf.
const maxHolds = 8

// Held is one snapshot that a leaf holds.
type Held struct {
	ID ID
	// Range is the part of the key space that the leaf covers in this
	// snapshot; the zero Range when unknown.
	Range Range
}

// Report is what one answer, refusal or hold list says about a leaf.
type Report struct {
	Leaf        string
	Incarnation string
	// Answered is the snapshot that the answer used; zero in a refusal.
	Answered Held
	// Refused is the snapshot that the leaf said it does not hold, if any.
	Refused ID
	// Held lists the snapshots that the leaf holds, the newest first, with their
	// ranges where known. A nil list says nothing about the snapshots held.
	Held []Held
}

// leafState is what is known of one leaf.
type leafState struct {
	incarnation string
	// replaced is the incarnation before this one; its late reports are ignored.
	replaced string
	learnt   time.Duration
	// asked is when the leaf was last chosen for a refresh.
	asked time.Duration
	holds []Held
}

// never is long before any time that a caller passes in.
const never = math.MinInt64 / 2 * time.Nanosecond

// Inventory is what an entry knows of the leaves of one service. Its methods
// must be called under one lock.
type Inventory struct {
	ttl    time.Duration
	leaves map[string]*leafState
	// cursor is the position of the next leaf to refresh.
	cursor cursor
	// scratch is reused by every plan.
	scratch planner
}

// NewInventory returns an empty Knowledge that uses reports up to the age ttl.
func NewInventory(ttl time.Duration) *Inventory {
	return &Inventory{ttl: ttl, leaves: make(map[string]*leafState)}
}

// Observe records a report. A new incarnation of the leaf discards what was
// known of the one before, and late reports of the replaced one are ignored.
func (k *Inventory) Observe(now time.Duration, r Report) {
	leaf := k.leaves[r.Leaf]
	if leaf == nil {
		leaf = &leafState{learnt: never}
		k.leaves[r.Leaf] = leaf
	}
	if leaf.learnt == never {
		leaf.incarnation = r.Incarnation
	}
	if r.Incarnation != leaf.incarnation {
		if r.Incarnation == leaf.replaced {
			return
		}
		*leaf = leafState{incarnation: r.Incarnation, replaced: leaf.incarnation, asked: leaf.asked}
	}
	leaf.learnt = now
	if r.Held != nil {
		leaf.replaceHolds(r.Held)
	}
	if !r.Answered.ID.IsZero() {
		leaf.addHold(r.Answered)
	}
	if !r.Refused.IsZero() {
		leaf.dropHold(r.Refused)
	}
}

// cursor is a position in the leaves of a service's shards.
type cursor struct {
	shard int
	leaf  int
}

// NextRefresh returns a leaf to ask for its hold list, beside any query, if one
// has not told for some time. Without it a leaf that serves no query is not
// known to have taken over a new snapshot.
func (k *Inventory) NextRefresh(now time.Duration, shards []Shard) (Choice, bool) {
	for range maxRefreshScan {
		shard, leaf, ok := k.advance(shards)
		if !ok {
			continue
		}
		state := k.leaves[leaf]
		if state != nil && now-max(state.learnt, state.asked) < refreshAge {
			continue
		}
		if state == nil {
			state = &leafState{learnt: never}
			k.leaves[leaf] = state
		}
		state.asked = now
		return Choice{Leaf: leaf, Shard: shards[shard].Name, index: shard}, true
	}
	return Choice{}, false
}

// advance moves the cursor and returns the leaf it was at, if there is one.
func (k *Inventory) advance(shards []Shard) (shard int, leaf string, ok bool) {
	if k.cursor.shard >= len(shards) {
		k.cursor = cursor{}
	}
	if k.cursor.shard >= len(shards) {
		return 0, "", false
	}
	leaves := shards[k.cursor.shard].Leaves
	if k.cursor.leaf >= len(leaves) {
		k.cursor = cursor{shard: k.cursor.shard + 1}
		return 0, "", false
	}
	shard = k.cursor.shard
	leaf = leaves[k.cursor.leaf]
	k.cursor.leaf++
	return shard, leaf, true
}

// Retain forgets every leaf that keep does not accept.
func (k *Inventory) Retain(keep func(leaf string) bool) {
	for name := range k.leaves {
		if !keep(name) {
			delete(k.leaves, name)
		}
	}
}

// Holds returns the snapshots that a leaf is known to hold, and false when
// nothing of it is known or what is known has aged.
func (k *Inventory) Holds(now time.Duration, leaf string) ([]Held, bool) {
	state := k.fresh(now, leaf)
	if state == nil {
		return nil, false
	}
	return append([]Held(nil), state.holds...), true
}

// fresh returns what is known of a leaf, or nil when it has aged.
func (k *Inventory) fresh(now time.Duration, leaf string) *leafState {
	state := k.leaves[leaf]
	if state == nil || state.learnt == never || now-state.learnt > k.ttl {
		return nil
	}
	return state
}

// replaceHolds takes over a hold list and keeps the ranges already known where
// the list has none.
func (l *leafState) replaceHolds(list []Held) {
	if len(list) > maxHolds {
		list = list[:maxHolds]
	}
	if l.holdsExactly(list) {
		return
	}
	holds := make([]Held, 0, len(list))
	for _, held := range list {
		if !held.Range.Valid() {
			held.Range = l.knownRange(held.ID)
		}
		holds = append(holds, held)
	}
	l.holds = holds
}

// knownRange returns the range of a snapshot, zero if it is not known.
func (l *leafState) knownRange(id ID) Range {
	if known := l.find(id); known != nil {
		return known.Range
	}
	return Range{}
}

// holdsExactly reports whether the list adds nothing to what is known.
func (l *leafState) holdsExactly(list []Held) bool {
	if len(list) != len(l.holds) {
		return false
	}
	for i, held := range list {
		known := l.holds[i]
		if held.ID != known.ID || held.Range.Valid() && held.Range != known.Range {
			return false
		}
	}
	return true
}

// addHold records one snapshot and its range.
func (l *leafState) addHold(held Held) {
	if known := l.find(held.ID); known != nil {
		if held.Range.Valid() {
			known.Range = held.Range
		}
		return
	}
	if !held.Range.Valid() {
		held.Range = Range{}
	}
	if len(l.holds) == maxHolds {
		l.holds = l.holds[:maxHolds-1]
	}
	l.holds = append([]Held{held}, l.holds...)
}

// dropHold removes a snapshot that the leaf does not hold.
func (l *leafState) dropHold(id ID) {
	for i := range l.holds {
		if l.holds[i].ID.Same(id) {
			l.holds = append(l.holds[:i:i], l.holds[i+1:]...)
			return
		}
	}
}

// find returns the entry of id, or nil.
func (l *leafState) find(id ID) *Held {
	for i := range l.holds {
		if l.holds[i].ID.Same(id) {
			return &l.holds[i]
		}
	}
	return nil
}
