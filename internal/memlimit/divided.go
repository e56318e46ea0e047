package memlimit

const (
	// largeBytes is the size beyond which a reservation is large.
	largeBytes = 16 << 10
	// largeRatio is the fraction of the memory that large reservations may take.
	largeRatio = 0.75
)

// Divided is a Memory of which a part is kept for small reservations. It is safe for concurrent use.
type Divided struct {
	all, large *Memory
}

// NewDivided returns a Divided of limit bytes, or of Default if limit is not positive.
func NewDivided(limit int64) *Divided {
	all := New(limit)
	return &Divided{all: all, large: New(int64(largeRatio * float64(all.limit)))}
}

// Used returns the number of bytes in use.
func (d *Divided) Used() int64 { return d.all.Used() }

// Reserve reserves n bytes, and reports false if they would exceed the limit.
func (d *Divided) Reserve(n int) bool {
	if n <= largeBytes {
		return d.all.Reserve(n)
	}
	if !d.large.Reserve(n) {
		return false
	}
	if !d.all.Reserve(n) {
		d.large.Release(n)
		return false
	}
	return true
}

// Release ends a reservation of n bytes as a whole.
func (d *Divided) Release(n int) {
	if n > largeBytes {
		d.large.Release(n)
	}
	d.all.Release(n)
}
