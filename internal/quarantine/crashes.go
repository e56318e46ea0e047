package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quarantineThreshold is the number of consecutive process ends in one service at
	// which a content is quarantined: it is refused, except for trials.
	quarantineThreshold = 2
	// trialSpacing is the minimum time between two trials of any contents. A harmless
	// content that ran beside one that crashes targets must not run beside it again in
	// its own trial.
	trialSpacing = 400 * time.Millisecond
	// simultaneousEnds is the time within which the ends of different targets may have one cause.
	simultaneousEnds = time.Second
	// maxEnds bounds the ends that are recorded for a content, and maxServices the
	// services whose last answer is recorded.
	maxEnds     = 32
	maxServices = 256
	// maxAnswered is the number of contents and services whose answers this host remembers at least.
	maxAnswered = 4096
	// maxMessageRecords bounds the records in one message.
	maxMessageRecords = 64
)

// trialBackoff holds the delays before the next trial, by the number of trials so far; the
// last one repeats. The delay starts at the last end, or when a trial was last granted or
// returned. soleCauseBackoff takes its place if the content is the sole cause of its ends. Its first delay is
// left out if moreover the records may lack earlier ends.
var (
	trialBackoff     = []time.Duration{500 * time.Millisecond, 8 * time.Second, 90 * time.Second, 10 * time.Minute}
	soleCauseBackoff = []time.Duration{500 * time.Millisecond, 10 * time.Minute}
)

// ProcessEnd is the end of a target's process while a content that was sent to it was not
// answered.
type ProcessEnd struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	// ID identifies the observation across all hosts.
	ID      uint64
	Service string
	// Target identifies the target whose process ended.
	Target string
	// Received is when the request was received. Ended is when its call ended, which is the end
	// of the target or earlier. EndedBy is the latest time at which the target can have ended.
	// In a message, they are the times elapsed since then.
	Received, Ended, EndedBy time.Duration
	// Sent is when the request was sent to the target, or Received if that is not known. In a
	// message, it is the time elapsed since then.
	Sent time.Duration
}

// Clearance is an answer of a service that clears a content of earlier ends in that service.
type Clearance struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Age is the time since the answer.
	Age time.Duration
}

// distantPast is before all other times, including those before a host's start that it
// learns from other hosts.
const distantPast = time.Duration(-1 << 62)

// distantFuture is after all other times.
const distantFuture = time.Duration(1<<63 - 1)

// CrashRecord is the crash record of one content as hosts exchange it.
type CrashRecord struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint Fingerprint
	Ends        []ProcessEnd
	Clearances  []Clearance
	// Trials is the number of trials since the last clearance that lifted the quarantine,
	// and TrialAge the time since a trial was last granted or returned.
	Trials   uint8
	TrialAge time.Duration
}

// CrashOptions configure Crashes.
type CrashOptions struct {
	// TTL is how long the record of a content is kept after its last update.
	TTL time.Duration
	// MaxRecords is the maximum number of contents that are recorded.
	MaxRecords int
	// IDBase is a random number after which this host's observation IDs start, so that they
	// differ from those of other hosts.
	IDBase uint64
	// AfterLoss is set if hosts have kept records before this host started. If no other host has them
	// any more, they are lost.
	AfterLoss bool
}

// Crashes records the contents that targets had not answered when their processes ended. A
// content is refused, except for a few trials, after consecutive ends in one service. An
// answer clears a content of the ends in the service that answered, but not of those in other
// services. Hosts exchange their records and merge them. The same record may arrive more than
// once, and in any order. It is safe for concurrent use.
type Crashes struct {
	options CrashOptions
	// lastExpiry is when the last record expires. It is read without mu for each request.
	lastExpiry atomic.Int64
	// mu guards the fields below.
	mu      sync.Mutex
	records map[Fingerprint]*crashRecord
	// updates holds the contents whose records must be sent to the other hosts.
	updates map[Fingerprint]struct{}
	lastID  uint64
	// answered are the contents that services have answered to this host, also without a record.
	answered recentSet[answeredContent]
	// lastGrant is when this host granted the last trial.
	lastGrant time.Duration
	// begin is the time since which the hosts have kept records without losing them all. It may be
	// before this host's start. afterLoss is set if there were hosts with other records before.
	begin     time.Duration
	afterLoss bool
	// firstStart is the earliest start of a target that was observed, and restarts holds, by service, the
	// last start before begin of a target that had started again.
	firstStart time.Duration
	restarts   map[string]time.Duration
}

// answeredContent is a content that a service has answered.
type answeredContent struct {
	fingerprint Fingerprint
	service     string
}

// NewCrashes returns empty Crashes that begin at time zero.
func NewCrashes(o CrashOptions) *Crashes {
	return &Crashes{
		options: o, records: map[Fingerprint]*crashRecord{}, updates: map[Fingerprint]struct{}{}, lastID: o.IDBase,
		answered: newRecentSet[answeredContent](maxAnswered), lastGrant: distantPast, afterLoss: o.AfterLoss,
		firstStart: distantFuture, restarts: map[string]time.Duration{},
	}
}

// Empty reports whether there are no unexpired records.
func (c *Crashes) Empty(now time.Duration) bool { return int64(now) >= c.lastExpiry.Load() }

// RecordEnd records that the process of a target ended without answering a content. It sets the ID
// of the end and returns the number of consecutive ends.
func (c *Crashes) RecordEnd(now time.Duration, f Fingerprint, end ProcessEnd) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.getOrCreate(now, f)
	if last, answered := r.answered[end.Service]; answered && end.Ended <= last.at {
		return r.count()
	}
	c.lastID++
	end.ID = c.lastID
	r.add(end)
	c.markUpdated(now, f, r)
	return r.count()
}

// RecordAnswer clears a content of its ends in a service that has answered it. It returns the
// number of consecutive ends before the clearance.
func (c *Crashes) RecordAnswer(now time.Duration, f Fingerprint, service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered.add(answeredContent{f, service})
	r := c.lookup(now, f)
	if r == nil {
		return 0
	}
	before := r.count()
	if r.recordAnswer(service, now) {
		c.markUpdated(now, f, r)
	}
	return before
}

// Suspects returns the services because of which a content is quarantined.
func (c *Crashes) Suspects(now time.Duration, f Fingerprint) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.lookup(now, f)
	if r == nil {
		return nil
	}
	if suspects := aboveThreshold(r.countByService()); len(suspects) > 0 {
		return suspects
	}
	return r.successiveSuspects()
}

// Count returns the number of consecutive ends in the service with the most of them.
func (c *Crashes) Count(now time.Duration, f Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.lookup(now, f); r != nil {
		return r.count()
	}
	return 0
}

// MayRepeat reports whether a content may be sent more often than callers request it, as a
// retry or a hedge. cautious is as for Admit.
func (c *Crashes) MayRepeat(now time.Duration, f Fingerprint, cautious bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.lookup(now, f)
	return r == nil || !c.isQuarantined(now, f, r, cautious)
}

// Admit decides on a request: it returns Pass, Refuse or, once a trial is due, Trial. cautious is set if
// the records may lack earlier ends, as MayLackEnds reports. A content that is the sole cause of its
// ends is then quarantined already if two attempts of one request have met them one after the other,
// and its first trial is late.
func (c *Crashes) Admit(now time.Duration, f Fingerprint, cautious bool) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.lookup(now, f)
	switch {
	case r == nil || !c.isQuarantined(now, f, r, cautious):
		return Pass
	case now < c.nextTrialAt(now, f, r, cautious):
		return Refuse
	}
	return Trial
}

// isQuarantined reports whether the content of a record is quarantined. mu is held.
func (c *Crashes) isQuarantined(now time.Duration, f Fingerprint, r *crashRecord, cautious bool) bool {
	return r.count() >= quarantineThreshold || cautious && r.mayBeQuarantined() && c.isSoleCause(now, f, r)
}

// nextTrialAt returns when the next trial of a quarantined content is due. mu is held.
func (c *Crashes) nextTrialAt(now time.Duration, f Fingerprint, r *crashRecord, cautious bool) time.Duration {
	backoff, trials := trialBackoff, r.trials
	if c.isSoleCause(now, f, r) {
		backoff = soleCauseBackoff
		if cautious {
			// The trial may have been granted before the records were lost.
			trials++
		}
	}
	return r.lastEvent() + backoff[min(trials, len(backoff)-1)]
}

// isSoleCause reports whether the ends because of which the content of a record is quarantined can have no
// other cause: none of their services is known to have answered the content before, no other content was
// unanswered at all of them, and no target that did not run the content has ended at the same time. mu is
// held.
func (c *Crashes) isSoleCause(now time.Duration, f Fingerprint, r *crashRecord) bool {
	suspects := r.successiveSuspects()
	if slices.ContainsFunc(suspects, func(service string) bool { return c.answered.has(answeredContent{f, service}) }) {
		return false
	}
	ends := slices.DeleteFunc(r.successive(), func(end ProcessEnd) bool { return !slices.Contains(suspects, end.Service) })
	for g, other := range c.records {
		if g != f && now < other.expiresAt && (other.sharesAll(ends) || other.endedElsewhere(r, ends)) {
			return false
		}
	}
	return true
}

// GrantTrial reports whether a content may be sent once. It counts a trial if the content may be
// quarantined and a trial is due. Only the host that decides on trials calls it, for contents whose trial
// is due by Admit.
func (c *Crashes) GrantTrial(now time.Duration, f Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.lookup(now, f)
	if r == nil || !r.mayBeQuarantined() {
		return true
	}
	if now < c.nextTrialAt(now, f, r, false) || now < c.lastGrant+trialSpacing {
		return false
	}
	c.lastGrant = now
	r.trials++
	r.trialsChangedAt = now
	c.markUpdated(now, f, r)
	return true
}

// ReturnTrial takes back a trial that no target has run. The delay before the next trial
// starts again.
func (c *Crashes) ReturnTrial(now time.Duration, f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.lookup(now, f)
	if r == nil || r.trials == 0 {
		return
	}
	r.trials--
	r.trialsChangedAt = now
	c.markUpdated(now, f, r)
}

// Merge merges a record of another host. It returns the numbers of consecutive ends before and
// after the merge. If an answer that the other host does not know of has cleared the content of an
// end in the record, it also returns a correction, which is sent back to that host.
func (c *Crashes) Merge(now time.Duration, e *CrashRecord) (before, after int, correction *CrashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(e.Ends) == 0 && len(e.Clearances) == 0 && c.lookup(now, e.Fingerprint) == nil {
		return 0, 0, nil
	}
	r := c.getOrCreate(now, e.Fingerprint)
	before = r.count()
	for _, a := range e.Clearances {
		r.recordAnswer(a.Service, now-a.Age)
		r.markCleared(a.Service, now-a.Age)
	}
	corrects := false
	for _, end := range e.Ends {
		if end.EndedBy < 0 || end.Ended < end.EndedBy || end.Received < end.Ended || end.Received > c.options.TTL {
			continue
		}
		if end.Sent < end.Ended || end.Sent > end.Received {
			// The sender does not know it.
			end.Sent = end.Received
		}
		end.Received, end.Sent, end.Ended, end.EndedBy = now-end.Received, now-end.Sent, now-end.Ended, now-end.EndedBy
		if last, answered := r.answered[end.Service]; !answered || end.Ended > last.at {
			r.add(end)
		} else if end.Ended > last.clearedAt {
			r.markCleared(end.Service, last.at)
			corrects = true
		}
	}
	if at := now - e.TrialAge; at > r.trialsChangedAt && at > r.lastClearance() {
		r.trials, r.trialsChangedAt = int(e.Trials), at
	}
	c.resetExpiry(now, r)
	if corrects {
		m := r.message(now, e.Fingerprint)
		correction = &m
	}
	return before, r.count(), correction
}

// MergeCorrection merges a correction of a record that this host has sent. The corrected record
// must be sent to the other hosts.
func (c *Crashes) MergeCorrection(now time.Duration, e *CrashRecord) (before, after int) {
	before, after, _ = c.Merge(now, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.lookup(now, e.Fingerprint); r != nil {
		c.markUpdated(now, e.Fingerprint, r)
	}
	return before, after
}

// Updates returns the records that must be sent to other hosts, at most maxMessageRecords. The
// remaining ones are returned by the next call.
func (c *Crashes) Updates(now time.Duration) []CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var updates []CrashRecord
	for f := range c.updates {
		if len(updates) == maxMessageRecords {
			break
		}
		delete(c.updates, f)
		if r := c.lookup(now, f); r != nil {
			updates = append(updates, r.message(now, f))
		}
	}
	return updates
}

// Records returns the records of contents with ends, those with the most consecutive ends first,
// at most maxMessageRecords.
func (c *Crashes) Records(now time.Duration) []CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	type counted struct {
		f Fingerprint
		r *crashRecord
		n int
	}
	var list []counted
	for f := range c.records {
		if r := c.lookup(now, f); r != nil && len(r.ends) > 0 {
			list = append(list, counted{f, r, r.count()})
		}
	}
	slices.SortFunc(list, func(a, b counted) int {
		return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(b.r.expiresAt, a.r.expiresAt))
	})
	var all []CrashRecord
	for _, k := range list[:min(len(list), maxMessageRecords)] {
		all = append(all, k.r.message(now, k.f))
	}
	return all
}

// markUpdated resets the expiry of a record and marks the record to be sent to the other
// hosts.
func (c *Crashes) markUpdated(now time.Duration, f Fingerprint, r *crashRecord) {
	if len(c.updates) < c.options.MaxRecords {
		c.updates[f] = struct{}{}
	}
	c.resetExpiry(now, r)
}

func (c *Crashes) resetExpiry(now time.Duration, r *crashRecord) {
	r.expiresAt = now + c.options.TTL
	c.lastExpiry.Store(max(c.lastExpiry.Load(), int64(r.expiresAt)))
}

func (c *Crashes) lookup(now time.Duration, f Fingerprint) *crashRecord {
	r := c.records[f]
	if r == nil || now >= r.expiresAt {
		return nil
	}
	return r
}

// getOrCreate returns the record of a content, or a new one if there is none. If there are too
// many records, it evicts expired ones or else one with few consecutive ends.
func (c *Crashes) getOrCreate(now time.Duration, f Fingerprint) *crashRecord {
	if r := c.lookup(now, f); r != nil {
		return r
	}
	if len(c.records) >= c.options.MaxRecords {
		evict(c.records, c.options.MaxRecords, func(r *crashRecord) bool { return now >= r.expiresAt },
			func(r, other *crashRecord) bool {
				return cmp.Or(cmp.Compare(r.count(), other.count()), cmp.Compare(r.expiresAt, other.expiresAt)) < 0
			})
	}
	r := &crashRecord{answered: map[string]lastAnswer{}, trialsChangedAt: distantPast}
	c.records[f] = r
	return r
}
