// Package admission decides which calls to one leaf start, wait or are refused.
//
// A Scheduler limits the number of running calls to the holder's slots. It
// serves classes by priority, and the customers of a class by start-time fair
// queueing. It refuses a call as soon as the call is not expected to start
// within the maximum wait or in time for its deadline. The calls of one customer
// and class are served in the order of a rank that depends only on the query, so
// that overloaded leaves answer the same queries. A refused call has never
// started, so it can safely be reported as not run.
//
// The package does no I/O and reads no clock: time is passed in as a monotonic
// offset, and the caller serializes the calls of one Scheduler.
package admission

import (
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// Defaults of Config.
const (
	DefaultMaxQueue = 64
	DefaultMaxWait  = 40 * time.Millisecond
	DefaultClasses  = 4
)

// serviceWeight is the weight of a new sample in the average service time.
const serviceWeight = 0.1

// Config bounds a Scheduler. Zero values take the defaults.
type Config struct {
	// Slots is the initial number of calls that may run at once.
	Slots int
	// MaxQueue is the greatest number of queued calls.
	MaxQueue int
	// MaxWait is the longest time that a call may be queued.
	MaxWait time.Duration
	// Utilization is the offered load, as a fraction of the slots, above which
	// calls are refused on arrival. All leaves refuse the same queries. Zero
	// disables these refusals.
	Utilization float64
	// Classes is the number of priority classes. A higher class number counts as
	// the last class.
	Classes int
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Classes <= 0 {
		c.Classes = DefaultClasses
	}
	return c
}

// running is a call that holds a slot.
type running struct {
	started  time.Duration
	estimate time.Duration
}

// Scheduler admits the calls to one leaf.
type Scheduler struct {
	cfg         Config
	slots       int
	serviceTime time.Duration
	seq         uint64
	queue       queue
	fair        *Fairness
	gate        gate
	running     map[uint64]running
	started     []Item
	refused     []Refusal
}

// New returns a Scheduler with an empty queue.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:     cfg,
		slots:   max(cfg.Slots, 0),
		fair:    NewFairness(),
		gate:    newGate(cfg.Utilization),
		running: make(map[uint64]running),
	}
}

// Submit decides on a new call.
func (s *Scheduler) Submit(now time.Duration, it Item) Decision {
	s.resetResults()
	it.Class = min(max(it.Class, 0), s.cfg.Classes-1)
	if s.isActive(it.ID) {
		return Decision{Verdict: Shed, Kind: kind.AlreadyRunning}
	}
	if it.Deadline <= now {
		return Decision{Verdict: Shed, Kind: kind.DeadlinePassed}
	}
	if !s.gate.admit(now, it, s.slots) {
		return Decision{Verdict: Shed, Kind: kind.Overloaded}
	}
	if len(s.queue.entries) == 0 && len(s.running) < s.slots && s.meetsDeadline(now, it) {
		s.startNow(now, it)
		return Decision{Verdict: Start}
	}
	if !s.meetsDeadline(now, it) {
		return Decision{Verdict: Shed, Kind: kind.DeadlinePassed}
	}
	return s.enqueue(now, it)
}

// Done ends a running call that was answered or timed out, and starts the next
// calls. The duration of the call counts towards the average service time.
func (s *Scheduler) Done(now time.Duration, id uint64) Batch {
	if r, ok := s.running[id]; ok {
		s.observeServiceTime(now - r.started)
	}
	return s.Release(now, id)
}

// Release ends a running call that got no answer, for example because the
// connection failed. It must only be called once the leaf no longer runs the
// call.
func (s *Scheduler) Release(now time.Duration, id uint64) Batch {
	s.resetResults()
	delete(s.running, id)
	return s.dispatch(now)
}

// Cancel removes a queued call and reports whether the call was queued. A call
// that was queued has not run. A running call keeps its slot until Done or
// Release.
func (s *Scheduler) Cancel(id uint64) bool {
	at := s.queue.index(id)
	if at < 0 {
		return false
	}
	s.drop(at)
	return true
}

// Expire refuses the queued calls that may no longer start at now.
func (s *Scheduler) Expire(now time.Duration) Batch {
	s.resetResults()
	return s.dispatch(now)
}

// NextExpiry returns the time at which Expire must be called next, and false if
// the queue is empty.
func (s *Scheduler) NextExpiry() (time.Duration, bool) {
	if len(s.queue.entries) == 0 {
		return 0, false
	}
	next := s.queue.entries[0].latestStart
	for _, e := range s.queue.entries[1:] {
		next = min(next, e.latestStart)
	}
	return next, true
}

// SetSlots changes the number of calls that may run at once. When it decreases,
// running calls finish, and no call starts until fewer calls than slots run.
func (s *Scheduler) SetSlots(now time.Duration, slots int) Batch {
	s.resetResults()
	s.slots = max(slots, 0)
	return s.dispatch(now)
}

// Slots returns the number of calls that may run at once.
func (s *Scheduler) Slots() int { return s.slots }

// Running returns the number of calls that hold a slot.
func (s *Scheduler) Running() int { return len(s.running) }

// Queued returns the number of queued calls.
func (s *Scheduler) Queued() int { return len(s.queue.entries) }

// ServiceTime returns the moving average of the service time, and zero before
// the first answer.
func (s *Scheduler) ServiceTime() time.Duration { return s.serviceTime }

func (s *Scheduler) resetResults() {
	s.started = s.started[:0]
	s.refused = s.refused[:0]
}

func (s *Scheduler) isActive(id uint64) bool {
	if _, ok := s.running[id]; ok {
		return true
	}
	return s.queue.index(id) >= 0
}

func (s *Scheduler) estimate(it Item) time.Duration {
	if it.Estimate > 0 {
		return it.Estimate
	}
	return s.serviceTime
}

// meetsDeadline reports whether a call that starts at now is expected to end
// before its deadline. On an idle leaf, a call without its own estimate only needs
// its deadline to lie ahead, so that an average that has become too high is
// corrected.
func (s *Scheduler) meetsDeadline(now time.Duration, it Item) bool {
	if len(s.running) == 0 && it.Estimate == 0 {
		return now < it.Deadline
	}
	return now+s.estimate(it) < it.Deadline
}

func (s *Scheduler) observeServiceTime(d time.Duration) {
	s.gate.observeServiceTime(d)
	if s.serviceTime == 0 {
		s.serviceTime = d
		return
	}
	s.serviceTime += time.Duration(serviceWeight * float64(d-s.serviceTime))
}

func (s *Scheduler) startNow(now time.Duration, it Item) {
	start := s.fair.AssignTag(it.Class, it.Customer, s.cost(it))
	s.fair.Advance(it.Class, start)
	s.running[it.ID] = running{started: now, estimate: s.estimate(it)}
}

// cost returns the work of a call in the unit of the fairness tags.
func (s *Scheduler) cost(it Item) float64 {
	return float64(max(s.estimate(it), time.Millisecond))
}

// enqueue inserts a call into the queue. It refuses every call, from the position
// of the new one on, that is no longer expected to start in time. This may be the
// new call itself.
func (s *Scheduler) enqueue(now time.Duration, it Item) Decision {
	at := s.queue.insert(s.newEntry(now, it))
	s.refuseLate(now, at)
	if len(s.queue.entries) > s.cfg.MaxQueue {
		s.refuse(len(s.queue.entries)-1, kind.Overloaded)
	}
	for i, r := range s.refused {
		if r.ID == it.ID {
			s.refused = append(s.refused[:i], s.refused[i+1:]...)
			return Decision{Verdict: Shed, Kind: r.Kind, Refused: s.refused}
		}
	}
	return Decision{Verdict: Queued, Refused: s.refused}
}

func (s *Scheduler) newEntry(now time.Duration, it Item) *entry {
	s.seq++
	cost := s.cost(it)
	e := s.queue.alloc()
	*e = entry{
		item:        it,
		seq:         s.seq,
		startTag:    s.fair.AssignTag(it.Class, it.Customer, cost),
		cost:        cost,
		rank:        rank(it),
		latestStart: min(now+s.cfg.MaxWait, it.Deadline-s.estimate(it)),
	}
	return e
}

// refuseLate refuses the calls, from index from on, that are expected to start
// after their latest start. One call per slot may always wait, so that a slot that
// becomes free earlier than expected is used.
func (s *Scheduler) refuseLate(now time.Duration, from int) {
	if s.slots == 0 {
		return
	}
	work := s.remainingWork(now)
	for i := 0; i < len(s.queue.entries); i++ {
		e := s.queue.entries[i]
		start := now + work/time.Duration(s.slots)
		if i >= max(from, s.slots) && start > e.latestStart {
			s.refuse(i, kind.Overloaded)
			i--
			continue
		}
		work += s.estimate(e.item)
	}
}

// remainingWork returns the expected remaining service time of all running calls.
func (s *Scheduler) remainingWork(now time.Duration) time.Duration {
	var work time.Duration
	for _, r := range s.running {
		work += max(r.started+r.estimate-now, 0)
	}
	return work
}

// dispatch refuses the queued calls that may no longer start, and starts the next
// calls while slots are free.
func (s *Scheduler) dispatch(now time.Duration) Batch {
	for i := 0; i < len(s.queue.entries); i++ {
		e := s.queue.entries[i]
		if now >= e.latestStart {
			s.refuse(i, s.expiryKind(now, e))
			i--
		}
	}
	for len(s.queue.entries) > 0 && len(s.running) < s.slots {
		e := s.queue.remove(0)
		s.fair.Advance(e.item.Class, e.startTag)
		s.running[e.item.ID] = running{started: now, estimate: s.estimate(e.item)}
		s.started = append(s.started, e.item)
	}
	return Batch{Start: s.started, Refused: s.refused}
}

func (s *Scheduler) expiryKind(now time.Duration, e *entry) kind.Kind {
	if now >= e.item.Deadline {
		return kind.DeadlinePassed
	}
	return kind.Overloaded
}

// refuse records the refusal of the queued call at index at.
func (s *Scheduler) refuse(at int, reason kind.Kind) {
	id := s.queue.entries[at].item.ID
	s.drop(at)
	s.refused = append(s.refused, Refusal{ID: id, Kind: reason})
}

// drop removes the call at index at from the queue without running it.
func (s *Scheduler) drop(at int) {
	e := s.queue.remove(at)
	s.fair.Refund(e.item.Class, e.item.Customer, e.cost)
}
