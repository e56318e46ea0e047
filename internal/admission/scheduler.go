// Package admission decides which calls to one leaf start, wait or are refused.
//
// A Scheduler keeps the number of running calls within the holder's slots,
// serves classes by priority and customers of a class by start-time fair
// queueing, and refuses a call as soon as it is not expected to start within
// the bound on waiting or in time for its deadline. The calls of one customer
// and class are served by a rank that depends on the query alone, so that
// overloaded leaves answer the same queries. A call that the scheduler refuses
// has never left the queue, so "not run" is true of it.
//
// The package is pure: time is passed in as a monotonic offset, and the caller
// serializes the calls of one Scheduler.
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
	// Utilization is the offered load, as a share of the slots, above which
	// calls are refused on arrival, the same queries at every leaf. Zero turns
	// this off.
	Utilization float64
	// Classes is the number of priorities; a class beyond it counts as the last.
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
	cfg     Config
	slots   int
	service time.Duration
	seq     uint64
	queue   queue
	fair    fairness
	gate    gate
	running map[uint64]running
	started []Item
	refused []Refusal
}

// New returns a Scheduler with an empty queue.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:     cfg,
		slots:   max(cfg.Slots, 0),
		fair:    newFairness(cfg.Classes),
		gate:    newGate(cfg.Utilization),
		running: make(map[uint64]running),
	}
}

// Submit decides on a new call.
func (s *Scheduler) Submit(now time.Duration, it Item) Decision {
	s.reset()
	it.Class = min(max(it.Class, 0), s.cfg.Classes-1)
	if s.known(it.ID) {
		return Decision{Verdict: Shed, Kind: kind.AlreadyRunning}
	}
	if it.Deadline <= now {
		return Decision{Verdict: Shed, Kind: kind.DeadlinePassed}
	}
	if !s.gate.admit(now, it, s.slots) {
		return Decision{Verdict: Shed, Kind: kind.Overloaded}
	}
	if len(s.queue.entries) == 0 && len(s.running) < s.slots && s.inTime(now, it) {
		s.startNow(now, it)
		return Decision{Verdict: Start}
	}
	if !s.inTime(now, it) {
		return Decision{Verdict: Shed, Kind: kind.DeadlinePassed}
	}
	return s.enqueue(now, it)
}

// Done ends a running call that was answered or ran into its timeout and starts
// the next ones. Its duration counts towards the average service time.
func (s *Scheduler) Done(now time.Duration, id uint64) Batch {
	if r, ok := s.running[id]; ok {
		s.observe(now - r.started)
	}
	return s.Release(now, id)
}

// Release ends a running call without an answer, for example after a failed
// connection. It must only be called once the leaf no longer runs the call.
func (s *Scheduler) Release(now time.Duration, id uint64) Batch {
	s.reset()
	delete(s.running, id)
	return s.dispatch(now)
}

// Cancel removes a queued call and reports whether it was queued; a call that
// was has not run. A running call keeps its slot until Done or Release.
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
	s.reset()
	return s.dispatch(now)
}

// NextExpiry returns the instant at which Expire has to be called next, and
// false if the queue is empty.
func (s *Scheduler) NextExpiry() (time.Duration, bool) {
	if len(s.queue.entries) == 0 {
		return 0, false
	}
	next := s.queue.entries[0].latest
	for _, e := range s.queue.entries[1:] {
		next = min(next, e.latest)
	}
	return next, true
}

// SetSlots changes the number of calls that may run at once. When it falls,
// running calls finish and none starts until their number is below it.
func (s *Scheduler) SetSlots(now time.Duration, slots int) Batch {
	s.reset()
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
func (s *Scheduler) ServiceTime() time.Duration { return s.service }

func (s *Scheduler) reset() {
	s.started = s.started[:0]
	s.refused = s.refused[:0]
}

func (s *Scheduler) known(id uint64) bool {
	if _, ok := s.running[id]; ok {
		return true
	}
	return s.queue.index(id) >= 0
}

func (s *Scheduler) estimate(it Item) time.Duration {
	if it.Estimate > 0 {
		return it.Estimate
	}
	return s.service
}

// inTime reports whether a call that starts at now is expected to end before
// its deadline. A call on an idle leaf is always let through, so that an average
// that has become too high is corrected.
func (s *Scheduler) inTime(now time.Duration, it Item) bool {
	if len(s.running) == 0 && it.Estimate == 0 {
		return now < it.Deadline
	}
	return now+s.estimate(it) < it.Deadline
}

func (s *Scheduler) observe(d time.Duration) {
	s.gate.observe(d)
	if s.service == 0 {
		s.service = d
		return
	}
	s.service += time.Duration(serviceWeight * float64(d-s.service))
}

func (s *Scheduler) startNow(now time.Duration, it Item) {
	start := s.fair.tag(it.Class, it.Customer, s.cost(it))
	s.fair.served(it.Class, start)
	s.running[it.ID] = running{started: now, estimate: s.estimate(it)}
}

// cost returns the work of a call in the unit of the fairness tags.
func (s *Scheduler) cost(it Item) float64 {
	return float64(max(s.estimate(it), time.Millisecond))
}

// enqueue inserts a call and refuses every call from its place on that is no
// longer expected to start in time, which may be the new call itself.
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
		item:   it,
		seq:    s.seq,
		start:  s.fair.tag(it.Class, it.Customer, cost),
		cost:   cost,
		rank:   rank(it),
		latest: min(now+s.cfg.MaxWait, it.Deadline-s.estimate(it)),
	}
	return e
}

// refuseLate refuses the calls from index from on whose expected start is later
// than they may wait. One call for each slot may always wait, so that a slot
// that frees earlier than expected finds work.
func (s *Scheduler) refuseLate(now time.Duration, from int) {
	if s.slots == 0 {
		return
	}
	work := s.remaining(now)
	for i := 0; i < len(s.queue.entries); i++ {
		e := s.queue.entries[i]
		start := now + work/time.Duration(s.slots)
		if i >= max(from, s.slots) && start > e.latest {
			s.refuse(i, kind.Overloaded)
			i--
			continue
		}
		work += s.estimate(e.item)
	}
}

// remaining returns the expected work left in the running calls.
func (s *Scheduler) remaining(now time.Duration) time.Duration {
	var work time.Duration
	for _, r := range s.running {
		work += max(r.started+r.estimate-now, 0)
	}
	return work
}

// dispatch refuses the calls that may no longer start and starts the next ones
// while slots are free.
func (s *Scheduler) dispatch(now time.Duration) Batch {
	for i := 0; i < len(s.queue.entries); i++ {
		e := s.queue.entries[i]
		if now >= e.latest {
			s.refuse(i, s.lateKind(now, e))
			i--
		}
	}
	for len(s.queue.entries) > 0 && len(s.running) < s.slots {
		e := s.queue.remove(0)
		s.fair.served(e.item.Class, e.start)
		s.running[e.item.ID] = running{started: now, estimate: s.estimate(e.item)}
		s.started = append(s.started, e.item)
	}
	return Batch{Start: s.started, Refused: s.refused}
}

func (s *Scheduler) lateKind(now time.Duration, e *entry) kind.Kind {
	if now >= e.item.Deadline {
		return kind.DeadlinePassed
	}
	return kind.Overloaded
}

// refuse records the refusal of the queued call at index at.
func (s *Scheduler) refuse(at int, why kind.Kind) {
	id := s.queue.entries[at].item.ID
	s.drop(at)
	s.refused = append(s.refused, Refusal{ID: id, Kind: why})
}

// drop takes the call at index at out of the queue without running it.
func (s *Scheduler) drop(at int) {
	e := s.queue.remove(at)
	s.fair.untag(e.item.Class, e.item.Customer, e.cost)
}
