package catalog

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lapseHoldTime is how long a leaf is kept whose entry is missing right after an outage
	// of the history. Leaves that are running write their entries again within 2 s.
	lapseHoldTime = 2300 * time.Millisecond
	// maxTombstones bounds the number of tombstones.
	maxTombstones = 8192
)

// View is one state of the catalog. It is immutable.
type View struct {
	// AsOf is the revision up to which the view is complete.
	AsOf uint64
	// Table is the table in force, or nil until the first one is known. Newest is the one
	// with the highest version. It is not in force while it is deferred.
	Table  *Table
	Newest *Table
	// Leaves are the leaves by service, and TakenOut the data centres that are taken out.
	Leaves   map[string][]*Leaf
	TakenOut map[string]bool
}

// Usable reports whether new requests may be sent to a leaf.
func (v *View) Usable(l *Leaf) bool { return !l.Draining && !v.TakenOut[l.DataCentre] }

// Event describes the effect of a change on the catalog, for logs.
type Event struct {
	Change Change
	// Ignored is the reason why the change had no effect. It is empty if it had one.
	Ignored string
	// Deferred is set for a table that is deferred until its leaves are warm.
	Deferred bool
}

// Catalog applies changes and publishes Views. It is safe for concurrent use.
type Catalog struct {
	view atomic.Pointer[View]
	// mu guards the fields below.
	mu   sync.Mutex
	asOf uint64
	// entries are the current entries by key, and tombstones the revisions of removals.
	entries    map[string]Change
	tombstones map[string]tombstone
	// sequence counts the changes that had an effect, and changedAt is its value at the
	// last one of each key.
	sequence  uint64
	changedAt map[string]uint64
	// forgotten is the sequence up to which removals may be missing in changedAt.
	forgotten uint64
	// changed is closed when the next view is published.
	changed chan struct{}
	// lapsed are the keys of held leaves and until when each is held. Leaves whose
	// entries are removed before holdUntil are held.
	lapsed    map[string]time.Duration
	holdUntil time.Duration
	tables    tableState
	// newest is the change of the newest table.
	newest Change
	// eraHoldUntil is until when entries are held that the first snapshot of a new era lacked.
	eraHoldUntil time.Duration
	// changedServices are the services whose leaves have changed since the last view, and
	// takenOutChanged is set if the data centres that are taken out have.
	changedServices map[string]bool
	takenOutChanged bool
}

// tombstone is what is kept of a removed entry.
type tombstone struct {
	revision uint64
	// leaf is the leaf that the entry described, or nil.
	leaf *Leaf
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{
		entries: map[string]Change{}, tombstones: map[string]tombstone{}, lapsed: map[string]time.Duration{},
		changedAt: map[string]uint64{}, changed: make(chan struct{}), changedServices: map[string]bool{},
		tables: tableState{warmAt: map[string]time.Duration{}},
	}
	c.view.Store(new(View))
	c.publish(0, nil)
	return c
}

// View returns the current view.
func (c *Catalog) View() *View { return c.view.Load() }

// HoldLapsed makes the catalog keep leaves whose entries are removed within lapseHoldTime from
// now, until that time has passed. Draining leaves are not kept. HoldLapsed is called when the
// history is reachable again after an outage in which entries may have lapsed.
func (c *Catalog) HoldLapsed(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdUntil = now + lapseHoldTime
}

// Apply applies an update. It reports false if changes between the catalog and the update are
// missing.
func (c *Catalog) Apply(now time.Duration, u *Update) ([]Event, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.From > c.asOf {
		return nil, false
	}
	var events []Event
	for i := range u.Changes {
		events = c.apply(now, u.Changes[i], events)
	}
	c.asOf = max(c.asOf, u.AsOf)
	return c.publish(now, events), true
}

// Replace applies a snapshot. Entries that it lacks are removed unless they changed after it.
func (c *Catalog) Replace(now time.Duration, s *Snapshot) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	if laterEra(s.AsOf, c.asOf) && c.asOf > 0 && !s.Partial {
		c.beginEra(now)
	}
	var events []Event
	present := make(map[string]bool, len(s.Entries)+len(s.LeftOut))
	for _, key := range s.LeftOut {
		present[key] = true
	}
	for i := range s.Entries {
		present[s.Entries[i].Key] = true
		events = c.apply(now, s.Entries[i], events)
	}
	for key, known := range c.entries {
		if !present[key] && known.Revision <= s.AsOf {
			events = c.applyMissing(now, Change{Key: key, Revision: s.AsOf}, events)
		}
	}
	if !s.Partial {
		c.asOf = max(c.asOf, s.AsOf)
	}
	return c.publish(now, events)
}

// beginEra is called before the first snapshot of a new era is applied. The history has come back as
// an older copy: what was written after the copy is written again within lapseHoldTime, or is gone.
func (c *Catalog) beginEra(now time.Duration) {
	c.holdUntil = max(c.holdUntil, now+lapseHoldTime)
	c.eraHoldUntil = now + lapseHoldTime
}

// applyMissing applies the removal of an entry that a snapshot lacks. At the begin of an era, data
// centres stay taken out for some time.
func (c *Catalog) applyMissing(now time.Duration, removal Change, events []Event) []Event {
	known := c.entries[removal.Key]
	if known.TakenOut == "" || now >= c.eraHoldUntil {
		return c.apply(now, removal, events)
	}
	c.hold(removal, c.eraHoldUntil)
	return append(events, Event{Change: removal, Ignored: "data centre stays taken out after the return of the history"})
}

// hold keeps an entry that was removed until a time. The entry gets the revision of its removal.
func (c *Catalog) hold(removal Change, until time.Duration) {
	if c.isLapsed(removal.Key) {
		return
	}
	known := c.entries[removal.Key]
	known.Revision = removal.Revision
	c.entries[removal.Key] = known
	c.lapsed[removal.Key] = until
}

// Expire removes the held leaves whose time has passed, and puts a deferred table in force if
// it is due.
func (c *Catalog) Expire(now time.Duration) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []Event
	for key, until := range c.lapsed {
		if now < until {
			continue
		}
		events = append(events, Event{Change: Change{Key: key, Revision: c.entries[key].Revision}})
		c.remove(key, c.entries[key].Revision)
	}
	if events == nil && c.tables.pending == nil {
		return nil
	}
	return c.publish(now, events)
}

// Merge applies changes from another node's catalog. With them the catalog is complete up to asOf,
// or as before if it is zero.
func (c *Catalog) Merge(now time.Duration, changes []Change, asOf uint64) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []Event
	for i := range changes {
		events = c.apply(now, changes[i], events)
	}
	c.asOf = max(c.asOf, asOf)
	return c.publish(now, events)
}

// Watch returns the sequence number of the last change that had an effect, and a channel that
// is closed when the next view is published.
func (c *Catalog) Watch() (sequence uint64, next <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence, c.changed
}

// Since returns the changes after a sequence number, or all entries if it is zero, in the order
// in which they had an effect and at most limit of them. It returns nil if removals after that
// number may have been forgotten.
func (c *Catalog) Since(after uint64, limit int) *Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.forgotten && after > 0 {
		return nil
	}
	var keys []string
	for key, at := range c.changedAt {
		if at <= after {
			continue
		}
		if _, exists := c.entries[key]; exists || after > 0 {
			keys = append(keys, key)
		}
	}
	return c.page(keys, limit)
}

// Difference returns at most limit of the entries that another catalog lacks which is complete up
// to a revision.
func (c *Catalog) Difference(asOf uint64, limit int) *Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer, older []string
	for key, entry := range c.entries {
		if entry.Revision > asOf {
			newer = append(newer, key)
		} else {
			older = append(older, key)
		}
	}
	p := c.page(newer, limit)
	p.LeftOut = append(older, newer[len(p.Changes):]...)
	return p
}

// page returns the first changes of keys, and sorts them.
func (c *Catalog) page(keys []string, limit int) *Page {
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(c.changedAt[a], c.changedAt[b]) })
	p := &Page{Sequence: c.sequence, AsOf: c.asOf}
	if len(keys) > limit {
		p.More, p.Sequence = true, c.changedAt[keys[limit-1]]
		keys = keys[:limit]
	}
	for _, key := range keys {
		if e, exists := c.entries[key]; exists {
			p.Changes = append(p.Changes, e)
		} else {
			p.Changes = append(p.Changes, Change{Key: key, Revision: c.tombstones[key].revision})
		}
	}
	return p
}

// NewestTable returns the change of the newest table. It is the zero value if there is none.
func (c *Catalog) NewestTable() Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// recordChange counts a change of a key that had an effect.
func (c *Catalog) recordChange(key string) {
	c.sequence++
	c.changedAt[key] = c.sequence
}

func (c *Catalog) apply(now time.Duration, change Change, events []Event) []Event {
	known, exists := c.entries[change.Key]
	if change.Leaf != nil {
		// A peer of another release may pass on an entry that this one rejects.
		if err := change.Leaf.Validate(); err != nil {
			events = append(events, Event{Change: change, Ignored: err.Error()})
			change.Leaf = nil
		} else if known.Leaf != nil && change.Revision > known.Revision && change.Leaf.lacksStart(known.Leaf) {
			events = append(events, Event{Change: change, Ignored: "the start time that the leaf has stated before is missing"})
			change.Leaf = nil
		}
	}
	removal := change.Table == nil && change.Leaf == nil && change.TakenOut == ""
	removed := c.tombstones[change.Key]
	// A higher version is newer, also if it comes from a peer that has not heard of a new era.
	newerTable := change.Table != nil && known.Table != nil && change.Table.Version > known.Table.Version
	if !newerTable && (exists && change.Revision < known.Revision || change.Revision <= removed.revision) {
		return events
	}
	if isOldCopy(change, removed) {
		return append(events, Event{Change: change, Ignored: "entry of a copy of the history from before the leaf was removed"})
	}
	// A held entry carries the revision of its removal. A node that received the entry from
	// another node still applies the removal.
	if exists && !newerTable && change.Revision == known.Revision && (!removal || c.isLapsed(change.Key)) {
		return events
	}
	if removal {
		return c.applyRemoval(now, change, known, exists, events)
	}
	if change.Table != nil {
		if exists && known.Table != nil && change.Table.Version < known.Table.Version {
			return append(events, Event{Change: change, Ignored: "lower version than that of the known table"})
		}
		if err := change.Table.Prepare(); err != nil {
			return append(events, Event{Change: change, Ignored: err.Error()})
		}
	}
	if change.Leaf != nil && exists && known.Leaf != nil && change.Leaf.olderThan(known.Leaf) {
		known.Revision = change.Revision
		c.entries[change.Key] = known
		return append(events, Event{Change: change, Ignored: "older than the known entry of the leaf"})
	}
	c.markChanged(known)
	c.markChanged(change)
	c.entries[change.Key] = change
	delete(c.lapsed, change.Key)
	delete(c.tombstones, change.Key)
	c.recordChange(change.Key)
	if change.Table != nil {
		c.newest = change
		// chooseTable adds the event.
		return events
	}
	if change.Leaf != nil {
		c.tables.warmAt[change.Leaf.ID] = now + change.Leaf.WarmupLeft
	}
	return append(events, Event{Change: change})
}

// isOldCopy reports whether a change of a new era has the entry of a leaf that was removed in an
// earlier one. The leaf itself would have written a later entry.
func isOldCopy(change Change, removed tombstone) bool {
	if change.Leaf == nil || removed.leaf == nil || !laterEra(change.Revision, removed.revision) {
		return false
	}
	return change.Leaf.Started == removed.leaf.Started && change.Leaf.Sequence <= removed.leaf.Sequence ||
		change.Leaf.olderThan(removed.leaf)
}

func (c *Catalog) isLapsed(key string) bool {
	_, lapsed := c.lapsed[key]
	return lapsed
}

func (c *Catalog) applyRemoval(now time.Duration, change, known Change, exists bool, events []Event) []Event {
	if !exists {
		c.addTombstone(change.Key, tombstone{revision: change.Revision, leaf: c.tombstones[change.Key].leaf})
		return events
	}
	if known.Table != nil {
		return append(events, Event{Change: change, Ignored: "the last known table is kept"})
	}
	if known.Leaf != nil && !known.Leaf.Draining && now < c.holdUntil {
		c.hold(change, c.holdUntil)
		return append(events, Event{Change: change, Ignored: "leaf is held after an outage"})
	}
	c.remove(change.Key, change.Revision)
	return append(events, Event{Change: change})
}

func (c *Catalog) remove(key string, revision uint64) {
	l := c.entries[key].Leaf
	if l != nil {
		delete(c.tables.warmAt, l.ID)
	}
	c.markChanged(c.entries[key])
	delete(c.entries, key)
	delete(c.lapsed, key)
	c.addTombstone(key, tombstone{revision: revision, leaf: l})
	c.recordChange(key)
}

// addTombstone keeps a removal, so that an older entry that arrives late is not restored.
func (c *Catalog) addTombstone(key string, t tombstone) {
	if len(c.tombstones) >= maxTombstones {
		clear(c.tombstones)
		c.forgotten = c.sequence
		for known := range c.changedAt {
			if _, exists := c.entries[known]; !exists {
				delete(c.changedAt, known)
			}
		}
	}
	c.tombstones[key] = t
}

// markChanged records which part of the view an entry belongs to that is added or removed.
func (c *Catalog) markChanged(entry Change) {
	if entry.Leaf != nil {
		c.changedServices[entry.Leaf.Service] = true
	}
	c.takenOutChanged = c.takenOutChanged || entry.TakenOut != ""
}

// publish builds and publishes a new view. The leaves of services that have not changed are those
// of the view before. It adds an event if that changes the state of a table.
func (c *Catalog) publish(now time.Duration, events []Event) []Event {
	close(c.changed)
	c.changed = make(chan struct{})
	before := c.view.Load()
	v := &View{AsOf: c.asOf, Leaves: before.Leaves, TakenOut: before.TakenOut}
	if len(c.changedServices) > 0 || v.Leaves == nil {
		v.Leaves = c.leavesByService(before.Leaves)
		clear(c.changedServices)
	}
	if c.takenOutChanged || v.TakenOut == nil {
		v.TakenOut = map[string]bool{}
		for _, e := range c.entries {
			if e.TakenOut != "" {
				v.TakenOut[e.TakenOut] = true
			}
		}
		c.takenOutChanged = false
	}
	events = c.chooseTable(now, v, c.newest, events)
	c.view.Store(v)
	return events
}

// leavesByService returns the leaves of all services, given those of the view before.
func (c *Catalog) leavesByService(before map[string][]*Leaf) map[string][]*Leaf {
	leaves := make(map[string][]*Leaf, len(before)+len(c.changedServices))
	for service, list := range before {
		if !c.changedServices[service] {
			leaves[service] = list
		}
	}
	for _, e := range c.entries {
		if e.Leaf != nil && c.changedServices[e.Leaf.Service] {
			leaves[e.Leaf.Service] = append(leaves[e.Leaf.Service], e.Leaf)
		}
	}
	return leaves
}
