// Package loadgen is an open-loop load generator. It sends callers' requests to
// nodes at a given rate, whether or not earlier ones have been answered, and
// measures the answers. Latency is measured from the time at which a request was
// due, so that a stall of the nodes or of the generator is not hidden.
package loadgen

import (
	"errors"
	"fmt"
	"time"
)

const (
	// DefaultMaxInFlight is the default of Options.MaxInFlight.
	DefaultMaxInFlight = 10_000
	// MaxDuration bounds the length of a run, including the warm-up.
	MaxDuration = time.Hour
	// MaxRequests bounds the number of requests of a run.
	MaxRequests = 10_000_000
	// defaultTimeout bounds an exchange whose request is sent without a deadline, so
	// that the service's default deadline applies.
	defaultTimeout = 30 * time.Second
	// answerGrace is how long after the deadline the client still waits for an answer.
	answerGrace = 2 * time.Second
	// defaultProgressInterval is the default of Options.ProgressInterval.
	defaultProgressInterval = 5 * time.Second
)

// Arrivals selects the spacing of the times at which requests are due.
type Arrivals string

// Values of Arrivals.
const (
	// Poisson draws independent, exponentially distributed intervals between requests.
	Poisson Arrivals = "poisson"
	// Constant makes the intervals between requests equal.
	Constant Arrivals = "constant"
)

// Stream is one kind of request in the mix.
type Stream struct {
	Customer string
	Service  string
	Class    string
	// Weight is the stream's share of the requests relative to the others.
	Weight float64
	// Submit makes the requests ones that must run at most once. A ticket is obtained
	// for each before it is sent.
	Submit bool
	Body   string
	// Limit is the maximum number of hits; zero means the host's default.
	Limit int
	// Shards is the number of leaf calls that a full answer needs, or zero if it is
	// not known.
	Shards int
	// Check, if set, returns an error if the result of a search is wrong.
	Check func(*Answer) error
}

// Name identifies the stream in reports.
func (s *Stream) Name() string {
	name := s.Customer + "/" + s.Service
	if s.Class != "" {
		name += "/" + s.Class
	}
	if s.Submit {
		name += " (submit)"
	}
	return name
}

// Options describe a run.
type Options struct {
	// Addresses are the addresses at which the nodes serve callers, as IP:PORT.
	Addresses []string
	Mix       []Stream
	Arrivals  Arrivals
	// Rate is the number of requests per second.
	Rate float64
	// Warmup is the time before the measured part. Requests that are due in it are
	// not measured.
	Warmup   time.Duration
	Duration time.Duration
	// MaxRequests ends the run after that many requests; zero means the constant
	// MaxRequests.
	MaxRequests int
	// MaxInFlight bounds the requests in flight; zero means DefaultMaxInFlight. A
	// request that is due while the bound is reached is not sent and is counted as
	// OutcomeNotSent.
	MaxInFlight int
	// Timeout is the deadline sent with each request; zero sends none.
	Timeout time.Duration
	Seed    uint64
	// TargetRequests, if set, returns the total number of requests that all leaves
	// have received so far.
	TargetRequests func() int
	// Started, if set, is called when the measured part begins.
	Started func()
	// Progress, if set, is called at every ProgressInterval.
	Progress         func(Progress)
	ProgressInterval time.Duration
}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed, Total time.Duration
	Sent, Answered int
	InFlight       int
	// P99 is the 99th percentile latency of the results measured so far.
	P99 time.Duration
}

func (o *Options) setDefaults() {
	if o.Arrivals == "" {
		o.Arrivals = Poisson
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = MaxRequests
	}
	if o.ProgressInterval == 0 {
		o.ProgressInterval = defaultProgressInterval
	}
}

func (o *Options) validate() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.New("load needs the address of at least one host")
	case len(o.Mix) == 0:
		return errors.New("load needs at least one kind of request")
	case o.Rate <= 0:
		return fmt.Errorf("rate %g is not positive", o.Rate)
	case o.Duration <= 0 || o.Warmup < 0:
		return fmt.Errorf("duration %v must be positive and warm-up %v must not be negative", o.Duration, o.Warmup)
	case o.Warmup+o.Duration > MaxDuration:
		return fmt.Errorf("a run of %v is longer than %v", o.Warmup+o.Duration, MaxDuration)
	case o.MaxRequests < 0 || o.MaxRequests > MaxRequests:
		return fmt.Errorf("%d requests are not between 1 and %d", o.MaxRequests, MaxRequests)
	case o.MaxInFlight < 0:
		return fmt.Errorf("maximum of %d requests in flight is negative", o.MaxInFlight)
	case o.Arrivals != Poisson && o.Arrivals != Constant:
		return fmt.Errorf("arrivals %q are neither %q nor %q", o.Arrivals, Poisson, Constant)
	}
	for i := range o.Mix {
		if o.Mix[i].Weight <= 0 {
			return fmt.Errorf("weight %g of %s is not positive", o.Mix[i].Weight, o.Mix[i].Name())
		}
	}
	return nil
}
