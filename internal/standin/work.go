package standin

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/target"
)

// Refusal words of the target contract.
const (
	refusalLeaving  = "leaving"
	refusalShed     = "shed"
	refusalSnapshot = "snapshot"
	refusalDeadline = "deadline"
	refusalCanceled = "canceled"
)

// noLimit stands for the time of a request without a deadline.
const noLimit = time.Duration(math.MaxInt64)

// admitted is a request that the leaf has begun.
type admitted struct {
	record   *Record
	snapshot *Snapshot
	duration time.Duration
	faults   Faults
	crash    bool
	// crossed is the body of the request that is answered instead, if the leaf
	// crosses answers.
	crossed []byte
}

// admit records a request and decides whether it is refused.
func (l *Leaf) admit(r *http.Request, body []byte) (admitted, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	snapshot, found := l.find(r.Header.Get(target.HeaderSnapshot))
	record := &Record{
		RequestID:  r.Header.Get(target.HeaderRequestID),
		Body:       string(body),
		Idempotent: r.Header.Get(target.HeaderIdempotent) == "true",
		Start:      time.Now(),
		Cold:       l.cold,
	}
	l.recorder.add(record)
	if refusal := l.refusal(record.Start, found); refusal != "" {
		l.counts.Refused++
		record.End = record.Start
		return admitted{}, refusal
	}
	record.Snapshot = snapshot.Name
	crossed := l.lastBody
	l.lastBody = body
	l.begin()
	return admitted{
		record:   record,
		snapshot: snapshot,
		duration: l.duration(),
		faults:   l.faults,
		crossed:  crossed,
		crash:    l.faults.Poison != "" && bytes.Contains(body, []byte(l.faults.Poison)),
	}, ""
}

// refusal needs mu. It returns the word with which a new request is refused.
func (l *Leaf) refusal(now time.Time, held bool) string {
	switch {
	case l.faults.Leaving:
		return refusalLeaving
	case l.faults.Refuse != "":
		return l.faults.Refuse
	case !held:
		return refusalSnapshot
	case now.Before(l.fallenUntil):
		return refusalShed
	case l.fallsOver():
		l.fall(now)
		return refusalShed
	}
	return ""
}

// fallsOver needs mu. It reports whether one more request is too much for a
// cold leaf.
func (l *Leaf) fallsOver() bool {
	return l.options.FallTime > 0 && l.cold && l.running >= max(l.options.ColdSlots, 1)
}

// fall needs mu. It drops the running requests and starts the cold start again.
func (l *Leaf) fall(now time.Time) {
	l.fallenUntil = now.Add(l.options.FallTime)
	l.successes = 0
	l.counts.Falls++
	l.counts.MaxCold = max(l.counts.MaxCold, l.running+1)
	for _, cancel := range l.cancels {
		cancel()
	}
}

// begin needs mu.
func (l *Leaf) begin() {
	l.running++
	l.counts.MaxConcurrent = max(l.counts.MaxConcurrent, l.running)
	if l.cold {
		l.counts.MaxCold = max(l.counts.MaxCold, l.running)
	}
}

// find needs mu.
func (l *Leaf) find(name string) (*Snapshot, bool) {
	for _, s := range l.held {
		if name == "" || s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// duration needs mu. It returns the time that a request takes which begins now.
func (l *Leaf) duration() time.Duration {
	d := float64(l.options.ServiceTime)
	if l.options.ServiceSigma > 0 {
		d *= math.Exp(l.options.ServiceSigma * l.rng.NormFloat64())
	}
	if l.options.SlowEvery > 0 && l.rng.IntN(l.options.SlowEvery) == 0 {
		d *= float64(l.options.SlowFactor)
	}
	if l.options.Slots > 0 && l.running > l.options.Slots {
		d *= float64(l.running) / float64(l.options.Slots)
	}
	return time.Duration(d) + l.faults.Delay
}

// work waits out the service time. It returns the refusal word if the caller
// canceled or the deadline passed.
func (l *Leaf) work(r *http.Request, d time.Duration) string {
	limit := noLimit
	if ms, err := strconv.Atoi(r.Header.Get(target.HeaderTimeout)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if d <= 0 {
		return ""
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	id := r.Header.Get(target.HeaderRequestID)
	l.register(id, cancel)
	defer l.unregister(id)
	timer := time.NewTimer(min(d, limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		if limit < d {
			return refusalDeadline
		}
		return ""
	case <-ctx.Done():
		return refusalCanceled
	}
}

func (l *Leaf) register(id string, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels[id] = cancel
}

func (l *Leaf) unregister(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cancels, id)
}

func (l *Leaf) finish(record *Record, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.recorder.finish(record, ran)
	if !ran {
		l.counts.Canceled++
		return
	}
	l.counts.Ran++
	l.successes++
	if l.cold && l.successes >= l.options.WarmAfter {
		l.cold = false
	}
}
