// Package memlimit bounds the memory that a process uses for data of other processes.
package memlimit

import (
	"runtime/debug"
	"sync/atomic"
	"time"
)

// Default is the limit, in bytes, of a process that sets none.
const Default = 256 << 20

// releaseTimeout bounds the time for which Reserve waits until reclaimed bytes are released.
const releaseTimeout = 100 * time.Millisecond

const (
	// programBytes is about the resident size of the program itself, its code and its tables.
	programBytes = 16 << 20
	// minDataRatio is the least fraction of the memory of a process that is for data.
	minDataRatio = 0.5
	// runtimeRatio is the fraction of the memory for data that is set as the limit of the Go runtime.
	runtimeRatio = 0.8
)

// DataBytes returns the memory for data in a process that may use total bytes; the rest is for the program
// itself. It returns zero, which means no limit, for zero.
func DataBytes(total int64) int64 {
	return max(total-programBytes, int64(minDataRatio*float64(total)))
}

// LimitRuntime limits the memory of the Go runtime in a process that may use total bytes.
func LimitRuntime(total int64) {
	if total > 0 {
		debug.SetMemoryLimit(int64(runtimeRatio * float64(DataBytes(total))))
	}
}

// Memory counts reserved bytes up to a limit. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
	// reclaim is nil if no bytes can be reclaimed.
	reclaim atomic.Pointer[func() bool]
	// released receives a value when bytes have been released.
	released chan struct{}
}

// New returns a Memory of limit bytes, or of Default if limit is not positive.
func New(limit int64) *Memory {
	if limit <= 0 {
		limit = Default
	}
	return &Memory{limit: limit, released: make(chan struct{}, 1)}
}

// SetReclaim sets a function that makes a holder of bytes release them soon. It returns false if there is
// no holder that can do without them.
func (m *Memory) SetReclaim(reclaim func() bool) { m.reclaim.Store(&reclaim) }

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// Reserve reserves n bytes, and reports false if they would exceed the limit. It waits for bytes that are
// being reclaimed.
func (m *Memory) Reserve(n int) bool {
	for !m.tryReserve(n) {
		reclaim := m.reclaim.Load()
		if reclaim == nil || int64(n) > m.limit || !(*reclaim)() || !m.awaitRelease() {
			return false
		}
	}
	return true
}

func (m *Memory) tryReserve(n int) bool {
	for {
		used := m.used.Load()
		if used+int64(n) > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

// awaitRelease waits until bytes are released. It returns false after releaseTimeout.
func (m *Memory) awaitRelease() bool {
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case <-m.released:
		return true
	case <-timer.C:
		return false
	}
}

// Release ends the reservation of n bytes.
func (m *Memory) Release(n int) {
	m.used.Add(-int64(n))
	select {
	case m.released <- struct{}{}:
	default:
	}
}
