package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endsRefused is the number of requests one after the other that ended targets of a
	// service from which their content is refused, but for trials.
	endsRefused = 2
	// trialSpacing is the time between trials of all contents. One that ran beside the
	// content that crashes targets must not meet it again in its own trial.
	trialSpacing = 400 * time.Millisecond
	// maxEnds bounds the ends that are remembered of a content, and maxServices the
	// services whose answers are.
	maxEnds     = 16
	maxServices = 64
	// maxNews is the number of contents that News and All return at most.
	maxNews = 64
)

// trialPauses are the times from the last end, or the last trial, to the next trial; the
// last one repeats.
var trialPauses = []time.Duration{500 * time.Millisecond, 8 * time.Second, 90 * time.Second, 10 * time.Minute}

// ProcessEnd is the end of a target's process while it had a content to run.
type ProcessEnd struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	// ID names the observation over all hosts.
	ID      uint64
	Service string
	// Sent and Ended are the times since the request came and since its call was over, by
	// the end of the target or before.
	Sent, Ended time.Duration
}

// Acquittal is an answer of a service to a content.
type Acquittal struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Service  string
	// Age is the time since the answer.
	Age time.Duration
}

// never is before all times, also those that a host hears of and that were before its start.
const never = time.Duration(-1 << 62)

// CrashRecord is what hosts tell each other of a content.
type CrashRecord struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint Fingerprint
	Ends        []ProcessEnd
	Acquittals  []Acquittal
	// Trials is the number of trials since the last acquittal, and TrialAge the time
	// since that changed last.
	Trials   uint8
	TrialAge time.Duration
}

// CrashOptions bound Crashes.
type CrashOptions struct {
	// TTL is how long a content is remembered after the last news of it.
	TTL time.Duration
	// MaxRecords is the greatest number of contents that are remembered.
	MaxRecords int
	// IDBase is a random number that tells this host's observations from others.
	IDBase uint64
}

// Crashes knows the contents under which targets have ended. A content under which those of
// one service end one after the other is refused, but for few trials. An answer acquits a content of
// the ends in the service that gave it, and of no others. Hosts merge what they know; the
// order does not matter. It is safe for concurrent use.
type Crashes struct {
	options CrashOptions
	// latest is when the last record ends, read without mu for each request.
	latest atomic.Int64
	// mu guards the fields below.
	mu      sync.Mutex
	records map[Fingerprint]*crashRecord
	// news are the contents of which other hosts have to hear.
	news   map[Fingerprint]struct{}
	lastID uint64
	// granted is when this host granted the last trial.
	granted time.Duration
}

// crashRecord is what is known of a content. Its times are those of this host's clock.
type crashRecord struct {
	ends      []ProcessEnd
	acquitted map[string]time.Duration
	trials    int
	trialAt   time.Duration
	until     time.Duration
}

// NewCrashes returns Crashes without records.
func NewCrashes(o CrashOptions) *Crashes {
	return &Crashes{options: o, records: map[Fingerprint]*crashRecord{}, news: map[Fingerprint]struct{}{}, lastID: o.IDBase, granted: never}
}

// Empty reports whether no content is remembered.
func (c *Crashes) Empty(now time.Duration) bool { return int64(now) >= c.latest.Load() }

// RecordEnd records that a target of a service ended. The request with the content came at one
// time, and its call was over at another. It returns the number of ends in a row.
func (c *Crashes) RecordEnd(now time.Duration, f Fingerprint, service string, sent, over time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.record(now, f)
	if at, acquitted := r.acquitted[service]; acquitted && over <= at {
		return r.count()
	}
	c.lastID++
	r.add(ProcessEnd{ID: c.lastID, Service: service, Sent: sent, Ended: over})
	c.note(now, f, r)
	return r.count()
}

// RecordAnswer acquits a content of the ends in a service. It returns the number of ends in
// a row before.
func (c *Crashes) RecordAnswer(now time.Duration, f Fingerprint, service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.live(now, f)
	if r == nil {
		return 0
	}
	before := r.count()
	if r.acquit(service, now) {
		c.note(now, f, r)
	}
	return before
}

// Count returns the number of targets that have ended one after the other.
func (c *Crashes) Count(now time.Duration, f Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.live(now, f); r != nil {
		return r.count()
	}
	return 0
}

// MayRepeat reports whether a content may be sent beyond what callers ask for.
func (c *Crashes) MayRepeat(now time.Duration, f Fingerprint) bool {
	return c.Count(now, f) < endsRefused
}

// Admit returns Pass, Refuse or, once a trial is due, Trial.
func (c *Crashes) Admit(now time.Duration, f Fingerprint) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.live(now, f)
	switch {
	case r == nil || r.count() < endsRefused:
		return Pass
	case now < r.trialDue():
		return Refuse
	}
	return Trial
}

// GrantTrial lets a content through once if a trial is due. Only the host that decides on
// trials calls it.
func (c *Crashes) GrantTrial(now time.Duration, f Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.live(now, f)
	if r == nil || r.count() < endsRefused {
		return true
	}
	if now < r.trialDue() || now < c.granted+trialSpacing {
		return false
	}
	c.granted = now
	r.trials++
	r.trialAt = now
	c.note(now, f, r)
	return true
}

// ReturnTrial takes back a trial that no target has run.
func (c *Crashes) ReturnTrial(now time.Duration, f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.live(now, f)
	if r == nil || r.trials == 0 {
		return
	}
	r.trials--
	r.trialAt = now
	c.note(now, f, r)
}

// Merge takes over what another host says, and returns the number of ends in a row before
// and after.
func (c *Crashes) Merge(now time.Duration, e *CrashRecord) (before, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.live(now, e.Fingerprint)
	if r == nil && len(e.Ends) == 0 {
		return 0, 0
	}
	if r == nil {
		r = c.record(now, e.Fingerprint)
	}
	before = r.count()
	for _, a := range e.Acquittals {
		r.acquit(a.Service, now-a.Age)
	}
	for _, end := range e.Ends {
		if end.Sent < end.Ended || end.Ended < 0 || end.Sent > c.options.TTL {
			continue
		}
		end.Sent, end.Ended = now-end.Sent, now-end.Ended
		if at, acquitted := r.acquitted[end.Service]; !acquitted || end.Ended > at {
			r.add(end)
		}
	}
	if at := now - e.TrialAge; at > r.trialAt && at > r.lastAcquittal() {
		r.trials, r.trialAt = int(e.Trials), at
	}
	c.extend(now, r)
	return before, r.count()
}

// Updates returns the contents of which other hosts have to hear since the last call. Those
// that one call has no room for are returned by the next.
func (c *Crashes) Updates(now time.Duration) []CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var news []CrashRecord
	for f := range c.news {
		if len(news) == maxNews {
			break
		}
		delete(c.news, f)
		if r := c.live(now, f); r != nil {
			news = append(news, r.evidence(now, f))
		}
	}
	return news
}

// Records returns the contents under which targets have ended one after the other last, with
// those under which most ended first.
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
		if r := c.live(now, f); r != nil && len(r.ends) > 0 {
			list = append(list, counted{f, r, r.count()})
		}
	}
	slices.SortFunc(list, func(a, b counted) int {
		return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(b.r.until, a.r.until))
	})
	var all []CrashRecord
	for _, k := range list[:min(len(list), maxNews)] {
		all = append(all, k.r.evidence(now, k.f))
	}
	return all
}

// note extends a record and keeps its content for News.
func (c *Crashes) note(now time.Duration, f Fingerprint, r *crashRecord) {
	if len(c.news) < c.options.MaxRecords {
		c.news[f] = struct{}{}
	}
	c.extend(now, r)
}

func (c *Crashes) extend(now time.Duration, r *crashRecord) {
	r.until = now + c.options.TTL
	c.latest.Store(max(c.latest.Load(), int64(r.until)))
}

func (c *Crashes) live(now time.Duration, f Fingerprint) *crashRecord {
	r := c.records[f]
	if r == nil || now >= r.until {
		return nil
	}
	return r
}

// record returns the record of a content, a new one if there is none. It makes room by the
// records that have ended, or else by one with the fewest ends.
func (c *Crashes) record(now time.Duration, f Fingerprint) *crashRecord {
	if r := c.live(now, f); r != nil {
		return r
	}
	if len(c.records) >= c.options.MaxRecords {
		evict(c.records, c.options.MaxRecords, func(r *crashRecord) bool { return now >= r.until },
			func(r, other *crashRecord) bool {
				return cmp.Or(cmp.Compare(r.count(), other.count()), cmp.Compare(r.until, other.until)) < 0
			})
	}
	r := &crashRecord{acquitted: map[string]time.Duration{}, trialAt: never}
	c.records[f] = r
	return r
}

// add takes an end unless it is known. Of too many it keeps those that count.
func (r *crashRecord) add(end ProcessEnd) {
	if slices.ContainsFunc(r.ends, func(known ProcessEnd) bool { return known.ID == end.ID }) {
		return
	}
	r.ends = append(r.ends, end)
	slices.SortFunc(r.ends, func(a, b ProcessEnd) int {
		return cmp.Or(cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.ID, b.ID))
	})
	if len(r.ends) > maxEnds {
		r.ends = r.inARow()
	}
	if len(r.ends) > maxEnds {
		r.ends = r.ofMostEnds()
	}
}

// inARow returns the ends one after the other in each service. Of requests beside each
// other, and of the attempts of one, only one counts, since one cause may have ended all
// their targets.
func (r *crashRecord) inARow() []ProcessEnd {
	var row []ProcessEnd
	last := map[string]time.Duration{}
	for _, end := range r.ends {
		if over, known := last[end.Service]; !known || end.Sent >= over {
			row = append(row, end)
			last[end.Service] = end.Ended
		}
	}
	return row
}

// ofMostEnds returns the last ends of the service with most of them.
func (r *crashRecord) ofMostEnds() []ProcessEnd {
	services := map[string][]ProcessEnd{}
	var most []ProcessEnd
	for _, end := range r.ends {
		services[end.Service] = append(services[end.Service], end)
		if list := services[end.Service]; len(list) > len(most) {
			most = list
		}
	}
	return most[max(len(most)-maxEnds, 0):]
}

// count returns the ends one after the other in the service with most of them.
func (r *crashRecord) count() int {
	most := 0
	services := map[string]int{}
	for _, end := range r.inARow() {
		services[end.Service]++
		most = max(most, services[end.Service])
	}
	return most
}

// acquit drops the ends in a service up to a time, and reports whether there were any.
func (r *crashRecord) acquit(service string, at time.Duration) bool {
	known, acquitted := r.acquitted[service]
	if acquitted && known >= at {
		return false
	}
	before := len(r.ends)
	r.ends = slices.DeleteFunc(r.ends, func(end ProcessEnd) bool { return end.Service == service && end.Ended <= at })
	if len(r.ends) == before {
		return false
	}
	if len(r.acquitted) >= maxServices {
		clear(r.acquitted)
	}
	r.acquitted[service] = at
	if r.count() < endsRefused {
		r.trials = 0
	}
	return true
}

func (r *crashRecord) lastAcquittal() time.Duration {
	last := never
	for _, at := range r.acquitted {
		last = max(last, at)
	}
	return last
}

// trialDue returns when the next trial may be sent.
func (r *crashRecord) trialDue() time.Duration {
	last := r.trialAt
	if n := len(r.ends); n > 0 {
		last = max(last, r.ends[n-1].Ended)
	}
	return last + trialPauses[min(r.trials, len(trialPauses)-1)]
}

func (r *crashRecord) evidence(now time.Duration, f Fingerprint) CrashRecord {
	e := CrashRecord{Fingerprint: f, Trials: uint8(min(r.trials, 255)), TrialAge: now - r.trialAt}
	for _, end := range r.ends {
		end.Sent, end.Ended = now-end.Sent, now-end.Ended
		e.Ends = append(e.Ends, end)
	}
	for service, at := range r.acquitted {
		e.Acquittals = append(e.Acquittals, Acquittal{Service: service, Age: now - at})
	}
	return e
}
