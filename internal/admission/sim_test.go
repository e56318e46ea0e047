package admission

import (
	"math/rand/v2"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/kind"
)

// never is later than any event of a simulation.
const never = time.Duration(1) << 62

// call is one arriving call of a simulation.
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

// fifo returns the number of answers within the deadline for the baseline: two
// slots and an unbounded queue in order of arrival.
func fifo(calls []call) (inTime int) {
	var free [2]time.Duration
	for _, c := range calls {
		slot := 0
		if free[1] < free[0] {
			slot = 1
		}
		free[slot] = max(c.at, free[slot]) + c.service
		if free[slot] <= c.Deadline {
			inTime++
		}
	}
	return inTime
}

// result summarizes a simulation.
type result struct {
	offered, answeredInTime, refused int
	answeredByFlow                   map[flowKey]int
	offeredByFlow                    map[flowKey]int
	slowestRefusal                   time.Duration
	maxRunning                       int
	answeredIDs                      []uint64
}

func (r result) answeredShare(class int, customer string) float64 {
	key := flowKey{class, customer}
	return float64(r.answeredByFlow[key]) / float64(r.offeredByFlow[key])
}

// leafSim simulates one leaf in virtual time.
type leafSim struct {
	sched    *Scheduler
	calls    map[uint64]call
	endTimes map[uint64]time.Duration
	result   result
	refused  map[uint64]bool
}

func simulate(s *Scheduler, calls []call) result {
	sim := &leafSim{
		sched:    s,
		calls:    make(map[uint64]call),
		endTimes: make(map[uint64]time.Duration),
		refused:  make(map[uint64]bool),
		result: result{
			answeredByFlow: make(map[flowKey]int),
			offeredByFlow:  make(map[flowKey]int),
		},
	}
	for _, c := range calls {
		sim.runUntil(c.at)
		sim.arrive(c)
	}
	sim.runUntil(never)
	return sim.result
}

// runUntil processes, in order of time, the expiries of calls up to the time at and
// the ends of calls before it.
func (s *leafSim) runUntil(at time.Duration) {
	for {
		next, id := never, uint64(0)
		for candidate, end := range s.endTimes {
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
	s.result.offeredByFlow[flowKey{c.Class, c.Customer}]++
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
	s.endTimes[id] = now + s.calls[id].service
	s.result.maxRunning = max(s.result.maxRunning, len(s.endTimes))
}

func (s *leafSim) end(now time.Duration, id uint64) {
	delete(s.endTimes, id)
	c := s.calls[id]
	if now <= c.Deadline {
		s.result.answeredInTime++
		s.result.answeredByFlow[flowKey{c.Class, c.Customer}]++
		s.result.answeredIDs = append(s.result.answeredIDs, id)
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
	if _, running := s.endTimes[r.ID]; running || s.refused[r.ID] {
		panic("a running or refused call was refused")
	}
	if r.Kind.Answer().Run != kind.RunNo {
		panic("the kind of a refusal does not mean that the call has not run")
	}
	s.refused[r.ID] = true
	s.result.refused++
	s.result.slowestRefusal = max(s.result.slowestRefusal, now-s.calls[r.ID].at)
}

// redrawServiceTimes draws new service times for the calls, to simulate another leaf
// that serves the same queries.
func redrawServiceTimes(calls []call, seed uint64, service time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range calls {
		calls[i].service = time.Duration(rng.ExpFloat64() * float64(service))
	}
}
