package experiment

import (
	"container/heap"
	"time"
)

// clock runs actions in the order of their virtual times, and in the order in which they were
// scheduled where the times are equal.
type clock struct {
	now     time.Duration
	pending actions
	count   uint64
}

type action struct {
	at    time.Duration
	order uint64
	run   func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = action{}
	*a = (*a)[:last]
	return x
}

// at schedules an action; one in the past runs next.
func (c *clock) at(when time.Duration, run func()) {
	c.count++
	heap.Push(&c.pending, action{at: max(when, c.now), order: c.count, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// runUntil runs all actions up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		next := heap.Pop(&c.pending).(action)
		c.now = next.at
		next.run()
	}
	c.now = end
}
