package quota

import (
	"time"
)

const (
	// returnTTL is how long a credit can be returned.
	returnTTL = 5 * time.Second
	// fractionWindow is the time over which the fraction of the shares is measured that a grantor
	// holds.
	fractionWindow = 2 * time.Second
	// senderTTL is how long a grantor remembers a process that sends no allotments. It is much
	// longer than a message can be delayed.
	senderTTL = 10 * time.Minute
	// minWait and maxWait bound the time that a tenant without credit is told to wait. A grantor
	// that has just started has credit within maxWait.
	minWait = time.Millisecond
	maxWait = 250 * time.Millisecond
	// maxBuckets bounds the buckets that are kept although they are full.
	maxBuckets = 4096
	// sweepInterval is the time between two removals of what is no longer needed.
	sweepInterval = time.Second
)

// Limit is the limit on the requests of a tenant.
type Limit struct {
	Tenant string
	// Rate is in requests per second.
	Rate float64
	// Burst is the size of the token bucket in requests.
	Burst float64
}

// Pot holds what a grantor has been allotted and grants credits from it.
type Pot struct {
	slots   [slotCount]slotState
	senders map[string]*sender
	buckets map[string]*bucket
	// granted are the credits that can still be returned, by their IDs.
	granted map[uint64]grant
	lastID  uint64
	sweepAt time.Duration
}

// slotState counts the allotments of a slot.
type slotState struct {
	// earned is the time, in seconds, for which the limits as a whole have been allotted.
	earned float64
	// allowance bounds earned: it grows with the time itself, up to maxSpan.
	allowance allowance
	// current and previous are what has been earned in this fractionWindow and in the one before.
	current, previous float64
	windowEnd         time.Duration
	// start is when the pot was created.
	start time.Duration
}

// allowance is a time that grows with the clock up to maxSpan, and is used up.
type allowance struct {
	left time.Duration
	at   time.Duration
}

// take uses up at most d and returns how much it was.
func (a *allowance) take(now, d time.Duration) time.Duration {
	a.left = min(a.left+max(now-a.at, 0), maxSpan)
	a.at = max(now, a.at)
	d = min(d, a.left)
	a.left -= d
	return d
}

// sender is a process that sends allotments.
type sender struct {
	sequence  uint64
	allowance allowance
}

// bucket is the token bucket of a tenant.
type bucket struct {
	limit  Limit
	tokens float64
	// earned is the slot's earned up to which tokens were added.
	earned float64
}

type grant struct {
	tenant string
	at     time.Duration
}

// NewPot returns an empty pot.
func NewPot(now time.Duration) *Pot {
	p := &Pot{senders: map[string]*sender{}, buckets: map[string]*bucket{}, granted: map[uint64]grant{}}
	for i := range p.slots {
		p.slots[i].allowance.at = now
		p.slots[i].windowEnd = now + fractionWindow
		p.slots[i].start = now
	}
	return p
}

// Add adds an allotment. It ignores one that is invalid, or not newer than the last one of its
// sender; and it counts no more time of one sender than has passed, so that allotments which were
// delayed and arrive together can't be spent together.
func (p *Pot) Add(now time.Duration, a *Allotment) {
	if !a.valid() {
		return
	}
	s := p.senders[a.Process]
	if s == nil {
		s = &sender{allowance: allowance{left: AllotInterval, at: now}}
		p.senders[a.Process] = s
	}
	if a.Sequence <= s.sequence {
		return
	}
	s.sequence = a.Sequence
	span := s.allowance.take(now, a.Span)
	for slot := range slotCount {
		if a.Slots.has(slot) {
			p.slots[slot].add(now, span, a.Share)
		}
	}
}

// add adds a share of the limits for a span.
func (s *slotState) add(now, span time.Duration, share float64) {
	s.roll(now)
	amount := s.allowance.take(now, time.Duration(share*float64(span))).Seconds()
	s.earned += amount
	s.current += amount
}

// roll begins a new fractionWindow if the current one has ended.
func (s *slotState) roll(now time.Duration) {
	if now < s.windowEnd {
		return
	}
	s.previous = s.current
	if now >= s.windowEnd+fractionWindow {
		s.previous = 0
	}
	s.current, s.windowEnd = 0, now+fractionWindow
}

// fraction returns which fraction of the limits the grantor has been allotted lately.
func (s *slotState) fraction(now time.Duration) float64 {
	s.roll(now)
	window := min(max(now-s.start, AllotInterval/2), fractionWindow)
	return min(max(s.previous, s.current)/window.Seconds(), 1)
}

// Grant takes a credit for one request. Without credit it returns false and the time after which
// there will be some. Since the credit of a tenant is divided among its grantors, one that holds its
// part may overdraw the bucket by less than one request; smaller parts may do so by less, so that
// the sum over all grantors stays the same.
func (p *Pot) Grant(now time.Duration, l Limit) (id uint64, wait time.Duration, ok bool) {
	p.sweep(now)
	b := p.bucket(now, l)
	fraction := p.slots[slotOf(l.Tenant)].fraction(now)
	missing := 1 - min(maxReplicas*fraction, 1) - b.tokens
	if fraction == 0 || missing >= 0 {
		return 0, waitFor(missing, l.Rate*fraction), false
	}
	b.tokens--
	p.lastID++
	p.granted[p.lastID] = grant{tenant: l.Tenant, at: now}
	return p.lastID, 0, true
}

// waitFor returns the time in which a number of tokens is earned at a rate.
func waitFor(tokens, rate float64) time.Duration {
	if rate <= 0 || tokens/rate >= maxWait.Seconds() {
		return maxWait
	}
	return max(time.Duration(tokens/rate*float64(time.Second)), minWait)
}

// Return returns a credit that was not used. It has no effect a second time.
func (p *Pot) Return(now time.Duration, id uint64) {
	g, found := p.granted[id]
	delete(p.granted, id)
	if !found || now-g.at > returnTTL {
		return
	}
	if b := p.buckets[g.tenant]; b != nil {
		b.tokens++
		p.refill(now, b)
	}
}

// bucket returns the bucket of a tenant, filled up to now. One that is new holds what has been
// allotted since the start, up to its size.
func (p *Pot) bucket(now time.Duration, l Limit) *bucket {
	b := p.buckets[l.Tenant]
	if b == nil {
		b = new(bucket)
		p.buckets[l.Tenant] = b
	}
	b.limit = l
	p.refill(now, b)
	return b
}

// refill adds what the bucket has earned. Its size is the allotted fraction of the burst, since
// other grantors may hold the rest.
func (p *Pot) refill(now time.Duration, b *bucket) {
	s := &p.slots[slotOf(b.limit.Tenant)]
	b.tokens += b.limit.Rate * (s.earned - b.earned)
	b.earned = s.earned
	b.tokens = min(b.tokens, s.fraction(now)*max(b.limit.Burst, 1))
}

// sweep removes what is no longer needed.
func (p *Pot) sweep(now time.Duration) {
	if now < p.sweepAt {
		return
	}
	p.sweepAt = now + sweepInterval
	for id, g := range p.granted {
		if now-g.at > returnTTL {
			delete(p.granted, id)
		}
	}
	for process, s := range p.senders {
		if now-s.allowance.at > senderTTL {
			delete(p.senders, process)
		}
	}
	if len(p.buckets) <= maxBuckets {
		return
	}
	for tenant, b := range p.buckets {
		// A full bucket is the same when it is created again.
		if p.refill(now, b); b.tokens >= p.slots[slotOf(tenant)].fraction(now)*max(b.limit.Burst, 1) {
			delete(p.buckets, tenant)
		}
	}
}
