package experiment

import (
	"slices"
	"time"
)

// callerPatience is the fraction of the time left that callers wait at most before they send a
// refused request again.
const callerPatience = 1.0 / 3

// request is one request of a caller, with all its attempts.
type request struct {
	sim      *simulation
	class    *Requests
	begin    time.Duration
	deadline time.Duration
	retries  int
	// hop is the latency between the node that has the request and its helper, if it has one.
	hop time.Duration
}

// scheduleArrival schedules the next arrival of a class of requests.
func (s *simulation) scheduleArrival(c *Requests) {
	rate := c.PerSecond * s.burst
	gap, batch := seconds(s.arrivals.ExpFloat64()/rate), 1
	if c.WaveMS > 0 {
		gap, batch = milliseconds(c.WaveMS), max(int(rate*c.WaveMS/1000+0.5), 1)
	}
	s.clock.after(gap, func() {
		if s.clock.now >= seconds(s.config.Seconds) {
			return
		}
		for range batch {
			r := &request{sim: s, class: c, begin: s.clock.now, deadline: s.clock.now + milliseconds(c.DeadlineMS)}
			r.send()
		}
		s.scheduleArrival(c)
	})
}

// send sends the request to a node that is ready.
func (r *request) send() {
	s := r.sim
	r.hop = 0
	s.result.countSent(r)
	ready := slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.down || n.unready })
	if len(ready) == 0 {
		s.clock.after(0, r.failed)
		return
	}
	n := ready[s.random.IntN(len(ready))]
	s.clock.after(milliseconds(s.config.Network.CallersMS), func() {
		if n.down {
			r.failed()
			return
		}
		n.serve(r)
	})
}

// toCaller calls f once a response has reached the caller.
func (r *request) toCaller(f func()) {
	r.sim.clock.after(r.hop+milliseconds(r.sim.config.Network.CallersMS), f)
}

// answered delivers an answer with some of the parts.
func (r *request) answered(parts, total int) {
	r.toCaller(func() { r.sim.result.countAnswer(r, r.sim.clock.now-r.begin, parts == total) })
}

// refused delivers a refusal. The caller sends the request again after that time if it has enough
// time left.
func (r *request) refused(after time.Duration) {
	r.toCaller(func() {
		r.sim.result.countRefusal(r)
		if r.class.AtOnce {
			after = 0
		}
		left := r.deadline - r.sim.clock.now
		if r.retries >= r.class.CallerRetries || float64(after) > callerPatience*float64(left) {
			r.sim.result.countEnd(r, outcomeRefused)
			return
		}
		r.retries++
		r.sim.clock.after(after, r.send)
	})
}

// failed delivers a failure. The caller sends the request again if it may be repeated.
func (r *request) failed() {
	r.toCaller(func() {
		if r.class.NonIdempotent || r.retries >= r.class.CallerRetries || r.sim.clock.now >= r.deadline {
			r.sim.result.countEnd(r, outcomeFailed)
			return
		}
		r.retries++
		r.send()
	})
}
