package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
