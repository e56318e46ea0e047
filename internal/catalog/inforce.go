package catalog

import (
	"maps"
	"time"
)

// tableState holds the table in force and the one that is deferred. It is guarded by
// Catalog.mu.
type tableState struct {
	inForce *Table
	// pending is the newest table while it is deferred, and pendingUntil the latest time at
	// which it is put in force.
	pending      *Table
	pendingUntil time.Duration
	// deferUntil is the latest time up to which a table that arrives now may be deferred.
	deferUntil time.Duration
	// warmAt is the end of the cold start of each leaf, by its ID.
	warmAt map[string]time.Duration
}

// DeferTables allows tables that arrive from now on to be deferred up to the given time. A
// table is deferred while the leaves of services that only it uses are in a cold start and the
// services that it no longer uses still have leaves. A table that replaces a deferred one is
// not deferred for longer.
func (c *Catalog) DeferTables(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tables.deferUntil = until
}

// chooseTable decides which table is in force, given the leaves of v, and adds its events.
func (c *Catalog) chooseTable(now time.Duration, v *View, newest Change, events []Event) []Event {
	s := &c.tables
	v.Newest = newest.Table
	if v.Newest == nil || v.Newest == s.inForce {
		v.Table = s.inForce
		s.pending = nil
		return events
	}
	isNew := v.Newest != s.pending
	if s.pending == nil {
		s.pendingUntil = s.deferUntil
	}
	if s.inForce != nil && now < s.pendingUntil && s.shouldDefer(now, v) {
		v.Table = s.inForce
		s.pending = v.Newest
		if isNew {
			events = append(events, Event{Change: newest, Deferred: true})
		}
		return events
	}
	v.Table, s.inForce, s.pending = v.Newest, v.Newest, nil
	return append(events, Event{Change: newest})
}

// shouldDefer reports whether a service that only the newest table uses has a leaf in a cold
// start, while every service that it no longer uses has a usable leaf.
func (s *tableState) shouldDefer(now time.Duration, v *View) bool {
	current, next := s.inForce.services(), v.Newest.services()
	for name := range current {
		if !next[name] && !v.hasUsableLeaf(name) {
			return false
		}
	}
	for name := range next {
		if current[name] {
			continue
		}
		for _, l := range v.Leaves[name] {
			if v.Usable(l) && now < s.warmAt[l.ID] {
				return true
			}
		}
	}
	return false
}

// hasUsableLeaf reports whether a service has a usable leaf.
func (v *View) hasUsableLeaf(service string) bool {
	for _, l := range v.Leaves[service] {
		if v.Usable(l) {
			return true
		}
	}
	return false
}

// Service returns the named service of the table in force, or else of the newest table. If
// both lack it, it returns a Service with only a name.
func (v *View) Service(name string) *Service {
	for _, t := range []*Table{v.Table, v.Newest} {
		if t != nil && t.Services[name] != nil {
			return t.Services[name]
		}
	}
	return &Service{Name: name}
}

// Shards returns the services that are shards of a route in the table in force or the newest one,
// with their positions. If both tables have a service, the one in force decides.
func (v *View) Shards() map[string]ShardPosition {
	positions := map[string]ShardPosition{}
	for _, t := range []*Table{v.Newest, v.Table} {
		if t != nil {
			maps.Copy(positions, t.shards)
		}
	}
	return positions
}

// MaxShards returns the largest number of shards of a route in the table in force or the newest
// one.
func (v *View) MaxShards() int {
	most := 0
	for _, position := range v.Shards() {
		most = max(most, position.Of)
	}
	return most
}

// services returns the names of the services that the table's routes use.
func (t *Table) services() map[string]bool {
	names := map[string]bool{}
	for _, r := range t.Routes {
		for _, shard := range r.Shards {
			names[shard] = true
		}
		for _, s := range r.WeightedServices {
			names[s.Service] = true
		}
	}
	return names
}
