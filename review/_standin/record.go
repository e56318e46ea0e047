package main

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// runEvent is a request that a leaf has begun to work on.
type runEvent struct {
	leaf, service string
	at            time.Time
	// status is the leaf's answer, or zero if it gave none.
	status int
}

// record holds what was sent, answered and run, and writes it as text.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  map[string][]runEvent
	// quiet keeps the runs of gathers out of the text.
	quiet bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now(), runs: map[string][]runEvent{}}, nil
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writef(format, args...)
}

func (r *record) writef(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the record and to standard output.
func (r *record) sayf(format string, args ...any) {
	r.addf(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(attempt, leaf, service, method, uri string, body int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], runEvent{leaf: leaf, service: service, at: time.Now()})
	if !r.quiet {
		r.writef("leaf %s of %s runs %s: %s %s, body of %d bytes", leaf, service, attempt, method, uri, body)
	}
}

func (r *record) answered(attempt, leaf string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.runs[attempt] {
		if e := &r.runs[attempt][i]; e.leaf == leaf {
			e.status = status
		}
	}
	if !r.quiet {
		r.writef("leaf %s answers %s with %d", leaf, attempt, status)
	}
}

// runsOf returns the runs of an attempt.
func (r *record) runsOf(attempt string) []runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runEvent(nil), r.runs[attempt]...)
}

// busiest returns the IDs of the leaves in the order of the requests that they have run, most first.
func (r *record) busiest() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, events := range r.runs {
		for _, e := range events {
			counts[e.leaf]++
		}
	}
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}
