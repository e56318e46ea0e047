// Package reqlog writes structured logs without blocking the code that logs, and
// limits the rate of lines about single requests.
package reqlog

import (
	"io"
	"sync/atomic"
)

// sinkCapacity is the maximum number of queued lines.
const sinkCapacity = 512

// Sink is a zapcore.WriteSyncer that writes lines in the background. It drops lines
// while its queue is full, and all lines after Close.
type Sink struct {
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewSink returns a sink that writes to w until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(w)
	return s
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		case <-s.closing:
			s.drain(w)
			return
		}
	}
}

// drain writes the queued lines.
func (s *Sink) drain(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		default:
			return
		}
	}
}

func (s *Sink) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

// Write implements io.Writer. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case <-s.closing:
		s.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were not written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink.
func (s *Sink) Close() {
	close(s.closing)
	<-s.done
}
