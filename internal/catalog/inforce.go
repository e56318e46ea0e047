package catalog

import "time"

// tableState is which table is in force. Catalog.mu guards it.
type tableState struct {
	inForce *Table
	// waiting is the newest table while it is not in force, and waitUntil when it
	// is in force at the latest.
	waiting   *Table
	waitUntil time.Duration
	// mayWait is how long a table that arrives now may wait.
	mayWait time.Duration
	// warmAt is when the cold start of each leaf ends.
	warmAt map[string]time.Duration
}

// LetTablesWait allows tables that arrive from now on to wait until a time for the
// leaves of services that only they name, while those are in a cold start and the
// services that they give up still serve. A table that follows a waiting one does not wait
// longer.
func (c *Catalog) LetTablesWait(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tables.mayWait = until
}

// chooseTable decides which table is in force with the leaves of v, and returns the
// events of that.
func (c *Catalog) chooseTable(now time.Duration, v *View, newest Change, events []Event) []Event {
	s := &c.tables
	v.Newest = newest.Table
	if v.Newest == nil || v.Newest == s.inForce {
		v.Table = s.inForce
		s.waiting = nil
		return events
	}
	isNews := v.Newest != s.waiting
	if s.waiting == nil {
		s.waitUntil = s.mayWait
	}
	if s.inForce != nil && now < s.waitUntil && s.shouldWait(now, v) {
		v.Table = s.inForce
		s.waiting = v.Newest
		if isNews {
			events = append(events, Event{Change: newest, Waits: true})
		}
		return events
	}
	v.Table, s.inForce, s.waiting = v.Newest, v.Newest, nil
	return append(events, Event{Change: newest})
}

// shouldWait reports whether a service that only the newest table names has a leaf in a
// cold start, while every service that it no longer names has a leaf.
func (s *tableState) shouldWait(now time.Duration, v *View) bool {
	known, named := s.inForce.services(), v.Newest.services()
	for name := range known {
		if !named[name] && !v.serves(name) {
			return false
		}
	}
	for name := range named {
		if known[name] {
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

// serves reports whether a service has a leaf that may be used.
func (v *View) serves(service string) bool {
	for _, l := range v.Leaves[service] {
		if v.Usable(l) {
			return true
		}
	}
	return false
}

// Service returns the named service of the table in force, or else of the newest one; an
// empty one if both lack it.
func (v *View) Service(name string) *Service {
	for _, t := range []*Table{v.Table, v.Newest} {
		if t != nil && t.Services[name] != nil {
			return t.Services[name]
		}
	}
	return &Service{Name: name}
}

// Gathered returns the names of the services that are shards of a route in either table.
func (v *View) Gathered() map[string]bool {
	names := map[string]bool{}
	for _, t := range []*Table{v.Table, v.Newest} {
		if t == nil {
			continue
		}
		for _, r := range t.Routes {
			for _, shard := range r.Shards {
				names[shard] = true
			}
		}
	}
	return names
}

// services returns the names of the services that the routes use.
func (t *Table) services() map[string]bool {
	names := map[string]bool{}
	for _, r := range t.Routes {
		for _, shard := range r.Shards {
			names[shard] = true
		}
		for _, b := range r.Backends {
			names[b.Service] = true
		}
	}
	return names
}
