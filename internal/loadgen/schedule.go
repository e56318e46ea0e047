package loadgen

import (
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one request to send.
type arrival struct {
	// number is the index of the request in the run, from 0.
	number int
	// due is when to send the request, relative to the start of the run.
	due     time.Duration
	stream  int
	address string
}

// schedule draws the arrivals of a run from a seed. Equal options give equal
// arrivals. It is not safe for concurrent use.
type schedule struct {
	options *Options
	rng     *rand.Rand
	// cumulative holds the cumulative weights of the streams.
	cumulative []float64
	count      int
	due        time.Duration
}

func newSchedule(o *Options) *schedule {
	s := &schedule{options: o, rng: rand.New(rand.NewPCG(o.Seed, 3))}
	sum := 0.0
	for i := range o.Mix {
		sum += o.Mix[i].Weight
		s.cumulative = append(s.cumulative, sum)
	}
	return s
}

// next returns the next arrival, or false at the end of the run.
func (s *schedule) next() (arrival, bool) {
	s.due += s.gap()
	if s.count >= s.options.MaxRequests || s.due >= s.options.Warmup+s.options.Duration {
		return arrival{}, false
	}
	a := arrival{
		number:  s.count,
		due:     s.due,
		stream:  s.pickStream(),
		address: s.options.Addresses[s.rng.IntN(len(s.options.Addresses))],
	}
	s.count++
	return a, true
}

func (s *schedule) gap() time.Duration {
	gap := float64(time.Second) / s.options.Rate
	if s.options.Arrivals == Poisson {
		gap *= s.rng.ExpFloat64()
	}
	return time.Duration(gap)
}

func (s *schedule) pickStream() int {
	total := s.cumulative[len(s.cumulative)-1]
	drawn := s.rng.Float64() * total
	return sort.Search(len(s.cumulative)-1, func(i int) bool { return s.cumulative[i] > drawn })
}
