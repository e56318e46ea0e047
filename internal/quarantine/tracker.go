package quarantine

import "time"

// Options configures a Tracker.
type Options struct {
	// QuarantinePeriod is how long a content stays suspect or quarantined. After it,
	// a quarantined content is suspect for another such period.
	QuarantinePeriod time.Duration
	// ClearedPeriod is how long the record of a cleared content is kept.
	ClearedPeriod time.Duration
	// StagingPeriod is how long after a target's death all contents are staged that
	// are not known to have completed.
	StagingPeriod time.Duration
	// PermitTimeout is how long the deciding host waits for the end of a trial
	// before it may grant another permit for the same content.
	PermitTimeout time.Duration
	// MaxRecords is the maximum number of contents that are tracked.
	MaxRecords int
	// MaxCompleted is the minimum number of completed contents that are remembered;
	// at most twice as many are.
	MaxCompleted int
}

// DefaultOptions returns the options for a small host.
func DefaultOptions() Options {
	return Options{
		QuarantinePeriod: 24 * time.Hour,
		ClearedPeriod:    10 * time.Minute,
		StagingPeriod:    10 * time.Second,
		PermitTimeout:    30 * time.Second,
		MaxRecords:       4096,
		MaxCompleted:     4096,
	}
}

// Verdict is the decision on a request at its entry.
type Verdict uint8

// The verdicts of Admit.
const (
	// Pass sends the request to all its targets.
	Pass Verdict = iota
	// Stage sends the request to the StageTarget first, and to its other targets
	// once it has completed there.
	Stage
	// Trial requests a permit from the deciding host, and then stages the request
	// with a target of the permit's shard as the first.
	Trial
	// Refuse answers with the error kind Quarantined.
	Refuse
)

// Tracker holds a host's records of the contents that may crash targets.
type Tracker struct {
	options   Options
	records   map[Fingerprint]*record
	completed recentSet[Fingerprint]
	// stagingUntil is when contents that are not known to have completed are no
	// longer staged.
	stagingUntil time.Duration
}

// NewTracker returns an empty Tracker.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options:   options,
		records:   make(map[Fingerprint]*record),
		completed: newRecentSet[Fingerprint](options.MaxCompleted),
	}
}

// Admit decides on a request at its entry. isolated is set if the entry has not
// recently heard from one of the live hosts, so that it may lack records.
func (t *Tracker) Admit(now time.Duration, fingerprint Fingerprint, isolated bool) Verdict {
	if r := t.lookup(now, fingerprint); r != nil {
		switch r.State {
		case Quarantined:
			return Refuse
		case Suspect:
			return Trial
		case Cleared:
			return Pass
		}
	}
	if (isolated || now < t.stagingUntil) && !t.completed.has(fingerprint) {
		return Stage
	}
	return Pass
}

// Completed records that a content has completed on all targets of its request.
func (t *Tracker) Completed(fingerprint Fingerprint) { t.completed.add(fingerprint) }

// Died records that a target of shard died, or lost its connection, while it was
// running the given contents. It returns the records to send to all hosts. Queued
// sends of these contents must not be carried out; MaySend refuses them from now on.
// The answers to their requests must be delayed until the hosts have acknowledged the
// records or SettleLimit has passed, so that a resent request reaches hosts that have
// the records.
func (t *Tracker) Died(now time.Duration, shard string, running []Fingerprint) []Record {
	t.stagingUntil = max(t.stagingUntil, now+t.options.StagingPeriod)
	records := make([]Record, 0, len(running))
	for _, fingerprint := range running {
		t.completed.remove(fingerprint)
		r := t.markSuspect(now, fingerprint, shard)
		r.Deaths++
		t.resetExpiry(now, r)
		records = append(records, r.message(now))
	}
	return records
}

// markSuspect returns the record of a content that a target was running when it
// died. A cleared content becomes suspect again; a quarantined one stays quarantined.
func (t *Tracker) markSuspect(now time.Duration, fingerprint Fingerprint, shard string) *record {
	r := t.lookup(now, fingerprint)
	if r == nil {
		r = &record{Record: Record{Fingerprint: fingerprint, State: Suspect, Shard: shard}}
		t.insert(now, r)
		return r
	}
	if r.State == Cleared {
		renewed := Record{Fingerprint: fingerprint, Epoch: r.Epoch + 1, State: Suspect, Shard: shard}
		r.merge(&renewed)
	}
	return r
}

// Merge merges a record of another host and reports whether it changed anything.
func (t *Tracker) Merge(now time.Duration, other Record) bool {
	if other.State < Suspect || other.State > Quarantined || other.Remaining <= 0 {
		return false
	}
	remaining := min(other.Remaining, 2*t.options.QuarantinePeriod)
	if other.State == Suspect {
		diedAt := now - (t.options.QuarantinePeriod - remaining)
		t.stagingUntil = max(t.stagingUntil, diedAt+t.options.StagingPeriod)
	}
	r := t.lookup(now, other.Fingerprint)
	if r == nil {
		r = &record{Record: other, expiresAt: now + remaining}
		t.insert(now, r)
		t.completed.remove(other.Fingerprint)
		return true
	}
	if !r.merge(&other) {
		return false
	}
	r.expiresAt = max(r.expiresAt, now+remaining)
	t.completed.remove(other.Fingerprint)
	return true
}

// Known returns the record of a content, if there is one. It is attached to each
// request for the content between hosts, and to each refusal, so that it also
// reaches a host that has missed an update.
func (t *Tracker) Known(now time.Duration, fingerprint Fingerprint) (Record, bool) {
	r := t.lookup(now, fingerprint)
	if r == nil {
		return Record{}, false
	}
	return r.message(now), true
}

// Release clears a content at an operator's request and returns the record to send
// to all hosts.
func (t *Tracker) Release(now time.Duration, fingerprint Fingerprint) (Record, bool) {
	r := t.lookup(now, fingerprint)
	if r == nil {
		return Record{}, false
	}
	released := Record{Fingerprint: fingerprint, Epoch: r.Epoch + 1, State: Cleared}
	r.merge(&released)
	r.expiresAt = now + t.options.ClearedPeriod
	return r.message(now), true
}

// Records returns up to limit records for a host that has just started.
func (t *Tracker) Records(now time.Duration, limit int) []Record {
	records := make([]Record, 0, min(limit, len(t.records)))
	for _, r := range t.records {
		if len(records) == limit {
			break
		}
		if t.lookup(now, r.Fingerprint) != nil {
			records = append(records, r.message(now))
		}
	}
	return records
}

// lookup returns the record of a content, or nil if there is none that has not
// expired. It makes a content whose quarantine has ended suspect again.
func (t *Tracker) lookup(now time.Duration, fingerprint Fingerprint) *record {
	r := t.records[fingerprint]
	if r == nil || now >= r.expiresAt {
		return nil
	}
	if r.State == Quarantined && r.expiresAt-now <= t.options.QuarantinePeriod {
		renewed := Record{Fingerprint: fingerprint, Epoch: r.Epoch + 1, State: Suspect, Shard: r.Shard}
		r.merge(&renewed)
	}
	return r
}

// resetExpiry restarts the lifetime of a record. That of a quarantined content
// includes a second period in which the content is suspect.
func (t *Tracker) resetExpiry(now time.Duration, r *record) {
	switch r.State {
	case Cleared:
		r.expiresAt = now + t.options.ClearedPeriod
	case Quarantined:
		r.expiresAt = now + 2*t.options.QuarantinePeriod
	default:
		r.expiresAt = now + t.options.QuarantinePeriod
	}
}

// insert adds a new record. If the Tracker is full, it evicts another one; records
// of suspect and cleared contents are evicted in preference to those of quarantined
// contents.
func (t *Tracker) insert(now time.Duration, r *record) {
	if len(t.records) >= t.options.MaxRecords && t.records[r.Fingerprint] == nil {
		evict(t.records, t.options.MaxRecords, func(r *record) bool { return now >= r.expiresAt }, (*record).evictedBefore)
	}
	t.records[r.Fingerprint] = r
}

// evictedBefore reports whether r is evicted in preference to other.
func (r *record) evictedBefore(other *record) bool {
	if (r.State == Quarantined) != (other.State == Quarantined) {
		return other.State == Quarantined
	}
	return r.expiresAt < other.expiresAt
}

// message returns the record in the form in which it is sent at the time now.
func (r *record) message(now time.Duration) Record {
	m := r.Record
	m.Remaining = r.expiresAt - now
	return m
}
