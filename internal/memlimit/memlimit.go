// Package memlimit bounds the memory that a process uses for data of other processes.
package memlimit

import "sync/atomic"

// Default is the limit, in bytes, of a process that sets none.
const Default = 256 << 20

// Memory counts reserved bytes up to a limit. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// New returns a Memory of limit bytes, or of Default if limit is not positive.
func New(limit int64) *Memory {
	if limit <= 0 {
		limit = Default
	}
	return &Memory{limit: limit}
}

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// Reserve reserves n bytes, and reports false if they would exceed the limit.
func (m *Memory) Reserve(n int) bool {
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

// Release ends the reservation of n bytes.
func (m *Memory) Release(n int) { m.used.Add(-int64(n)) }
