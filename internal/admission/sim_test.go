package admission

import (
	"math/rand/v2"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// never is later than any event of a simulation.
const never = time.Duration(1) << 62

// admitter is the part of Scheduler that the simulation drives.
type admitter interface {
	Submit(now time.Duration, it Item) Decision
	Done(now time.Duration, id uint64) Batch
	Expire(now time.Duration) Batch
	NextExpiry() (time.Duration, bool)
}

// fifo is the baseline: a queue without bounds in order of arrival.
type fifo struct {
	slots, running int
	waiting        []Item
	started        []Item
}

func (f *fifo) Submit(_ time.Duration, it Item) Decision {
	if f.running < f.slots {
		f.running++
		return Decision{Verdict: Start}
	}
	f.waiting = append(f.waiting, it)
	return Decision{Verdict: Queued}
}

func (f *fifo) Done(time.Duration, uint64) Batch {
	f.started = f.started[:0]
	f.running--
	if len(f.waiting) > 0 {
		f.started = append(f.started, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
	return Batch{Start: f.started}
}

func (f *fifo) Expire(time.Duration) Batch        { return Batch{} }
func (f *fifo) NextExpiry() (time.Duration, bool) { return 0, false }

// call is one arrival of a simulation.
type call struct {
	Item
	at      time.Duration
	service time.Duration
}

// load describes a Poisson stream of calls with exponential service times.
type load struct {
	seed     uint64
	rate     float64
	length   time.Duration
	service  time.Duration
	deadline time.Duration
	// shape sets the customer and class of a call.
	shape func(*rand.Rand, *Item)
}

func (l load) calls() []call {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	var calls []call
	at := time.Duration(0)
	for id := uint64(1); ; id++ {
		at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))
		if at > l.length {
			return calls
		}
		c := call{at: at, service: time.Duration(rng.ExpFloat64() * float64(l.service))}
		c.Item = Item{ID: id, Query: id, Deadline: at + l.deadline}
		if l.shape != nil {
			l.shape(rng, &c.Item)
		}
		calls = append(calls, c)
	}
}

// result sums up a simulation.
type result struct {
	offered, good, refused int
	goodBy                 map[flowKey]int
	offeredBy              map[flowKey]int
	latestRefusal          time.Duration
	maxRunning             int
	goodIDs                []uint64
}

func (r result) share(class int, customer string) float64 {
	key := flowKey{class, customer}
	return float64(r.goodBy[key]) / float64(r.offeredBy[key])
}

// leafSim runs one leaf in virtual time.
type leafSim struct {
	sched   admitter
	calls   map[uint64]call
	ends    map[uint64]time.Duration
	result  result
	refused map[uint64]bool
}

func simulate(s admitter, calls []call) result {
	sim := &leafSim{
		sched:   s,
		calls:   make(map[uint64]call),
		ends:    make(map[uint64]time.Duration),
		refused: make(map[uint64]bool),
		result: result{
			goodBy:    make(map[flowKey]int),
			offeredBy: make(map[flowKey]int),
		},
	}
	for _, c := range calls {
		sim.until(c.at)
		sim.arrive(c)
	}
	sim.until(never)
	return sim.result
}

// until handles the ends and expiries before at in order of time.
func (s *leafSim) until(at time.Duration) {
	for {
		next, id := never, uint64(0)
		for candidate, end := range s.ends {
			if end < next || end == next && candidate < id {
				next, id = end, candidate
			}
		}
		if expiry, ok := s.sched.NextExpiry(); ok && expiry < next {
			if expiry > at {
				return
			}
			s.apply(expiry, s.sched.Expire(expiry))
			continue
		}
		if next >= at {
			return
		}
		s.end(next, id)
	}
}

func (s *leafSim) arrive(c call) {
	s.calls[c.ID] = c
	s.result.offered++
	s.result.offeredBy[flowKey{c.Class, c.Customer}]++
	d := s.sched.Submit(c.at, c.Item)
	s.apply(c.at, Batch{Refused: d.Refused})
	switch d.Verdict {
	case Start:
		s.start(c.at, c.ID)
	case Shed:
		s.refuse(c.at, Refusal{ID: c.ID, Kind: d.Kind})
	}
}

func (s *leafSim) start(now time.Duration, id uint64) {
	if s.refused[id] {
		panic("a refused call started")
	}
	s.ends[id] = now + s.calls[id].service
	s.result.maxRunning = max(s.result.maxRunning, len(s.ends))
}

func (s *leafSim) end(now time.Duration, id uint64) {
	delete(s.ends, id)
	c := s.calls[id]
	if now <= c.Deadline {
		s.result.good++
		s.result.goodBy[flowKey{c.Class, c.Customer}]++
		s.result.goodIDs = append(s.result.goodIDs, id)
	}
	s.apply(now, s.sched.Done(now, id))
}

func (s *leafSim) apply(now time.Duration, b Batch) {
	for _, r := range b.Refused {
		s.refuse(now, r)
	}
	for _, it := range b.Start {
		s.start(now, it.ID)
	}
}

func (s *leafSim) refuse(now time.Duration, r Refusal) {
	if _, running := s.ends[r.ID]; running || s.refused[r.ID] {
		panic("a running or refused call was refused")
	}
	if r.Kind.Answer().Run != kind.RunNo {
		panic("a refusal does not say not run")
	}
	s.refused[r.ID] = true
	s.result.refused++
	s.result.latestRefusal = max(s.result.latestRefusal, now-s.calls[r.ID].at)
}

// redraw replaces the service times, as on another leaf of the same query.
func redraw(calls []call, seed uint64, service time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range calls {
		calls[i].service = time.Duration(rng.ExpFloat64() * float64(service))
	}
}
