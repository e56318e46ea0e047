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

// Refusal reasons of the HTTP contract with leaves.
const (
	refusalLeaving  = "leaving"
	refusalShed     = "shed"
	refusalSnapshot = "snapshot"
	refusalDeadline = "deadline"
	refusalCanceled = "canceled"
)

// noDeadline is the time that remains for a request without a deadline.
const noDeadline = time.Duration(math.MaxInt64)

// admitted is a request that the leaf has admitted.
type admitted struct {
	record   *Record
	snapshot *Snapshot
	duration time.Duration
	faults   Faults
	crash    bool
	// previousBody is the body of the previously admitted request. If the leaf crosses
	// answers, that request is answered instead.
	previousBody []byte
}

// admit records a request and decides whether to refuse it. It returns the refusal
// reason, or "" if the request is admitted.
func (l *Leaf) admit(r *http.Request, body []byte) (admitted, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	snapshot, found := l.findSnapshot(r.Header.Get(target.HeaderSnapshot))
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
	previousBody := l.lastBody
	l.lastBody = body
	l.begin()
	return admitted{
		record:       record,
		snapshot:     snapshot,
		duration:     l.duration(),
		faults:       l.faults,
		previousBody: previousBody,
		crash:        l.faults.Poison != "" && bytes.Contains(body, []byte(l.faults.Poison)),
	}, ""
}

// refusal returns the reason to refuse a new request, or "" to admit it. A cold leaf that
// exceeds its cold slots falls over here. The caller must hold mu.
func (l *Leaf) refusal(now time.Time, held bool) string {
	switch {
	case l.faults.Leaving:
		return refusalLeaving
	case l.faults.Refuse != "":
		return l.faults.Refuse
	case !held:
		return refusalSnapshot
	case now.Before(l.refuseAllUntil):
		return refusalShed
	case l.exceedsColdSlots():
		l.fallOver(now)
		return refusalShed
	}
	return ""
}

// exceedsColdSlots reports whether one more request is too much for a cold leaf. The
// caller must hold mu.
func (l *Leaf) exceedsColdSlots() bool {
	return l.options.FallTime > 0 && l.cold && l.running >= max(l.options.ColdSlots, 1)
}

// fallOver cancels the running requests, starts the warm-up again and refuses all
// requests for FallTime. The caller must hold mu.
func (l *Leaf) fallOver(now time.Time) {
	l.refuseAllUntil = now.Add(l.options.FallTime)
	l.successes = 0
	l.counts.Falls++
	l.counts.MaxCold = max(l.counts.MaxCold, l.running+1)
	for _, cancel := range l.cancels {
		cancel()
	}
}

// begin counts a request that starts to run. The caller must hold mu.
func (l *Leaf) begin() {
	l.running++
	l.counts.MaxConcurrent = max(l.counts.MaxConcurrent, l.running)
	if l.cold {
		l.counts.MaxCold = max(l.counts.MaxCold, l.running)
	}
}

// findSnapshot returns the snapshot with the given name, or the newest if the name is
// empty. The caller must hold mu.
func (l *Leaf) findSnapshot(name string) (*Snapshot, bool) {
	for _, s := range l.held {
		if name == "" || s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// duration returns the service time of a request that starts now. The caller must hold
// mu.
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

// work waits for the service time d. It returns a refusal reason if the request is
// canceled or its deadline passes before, or else "".
func (l *Leaf) work(r *http.Request, d time.Duration) string {
	limit := noDeadline
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
