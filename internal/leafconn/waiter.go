package leafconn

import (
	"slices"

	"github.com/redwingshelf/redwingshelf/internal/admission"
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	tenant   string
	// tag is the start tag of fair queueing; lower ones are served first.
	tag float64
	// granted receives a connection, or nil as the permission to open one.
	granted chan *conn
}

// requestCost is the cost of a request in fair queueing. The work of a request is not known, so that
// tenants share the connections by the number of requests.
const requestCost = 1

// addWaiter adds a waiter for a request. The pool's mutex is held.
func (p *Pool) addWaiter(r *Request) *waiter {
	w := &waiter{priority: r.Priority, tenant: r.Tenant, granted: make(chan *conn, 1)}
	if p.sharedByTenants(r) {
		w.tag = p.fair.AssignTag(r.Priority, r.Tenant, requestCost)
	}
	p.waiters = append(p.waiters, w)
	return w
}

// sharedByTenants reports whether waiters are ordered by their tenants. The pool's mutex is held.
func (p *Pool) sharedByTenants(r *Request) bool {
	if p.fair == nil && r.Tenant != "" {
		p.fair = admission.NewFairness()
	}
	return p.fair != nil
}

// countServed counts a request that did not have to wait. The pool's mutex is held.
func (p *Pool) countServed(r *Request) {
	if p.sharedByTenants(r) {
		p.fair.Advance(r.Priority, p.fair.AssignTag(r.Priority, r.Tenant, requestCost))
	}
}

// refund removes the cost of a waiter that is not served. The pool's mutex is held.
func (p *Pool) refund(w *waiter) {
	if p.fair != nil {
		p.fair.Refund(w.priority, w.tenant, requestCost)
	}
}

// popWaiter removes and returns the most urgent waiter. Among equals it is one of the tenant that has
// received the least service, and of its waiters the newest one: under overload, the oldest are too
// late in any case. The pool's mutex is held.
func (p *Pool) popWaiter() *waiter {
	first := 0
	for i, w := range p.waiters {
		if f := p.waiters[first]; w.priority < f.priority || w.priority == f.priority && w.tag < f.tag {
			first = i
		}
	}
	next := len(p.waiters) - 1
	for w, f := p.waiters[next], p.waiters[first]; w.priority != f.priority || w.tenant != f.tenant; w = p.waiters[next] {
		next--
	}
	w := p.waiters[next]
	// The start tags stay in order, so that the service of each tenant does not change.
	w.tag, p.waiters[first].tag = p.waiters[first].tag, w.tag
	if p.fair != nil {
		p.fair.Advance(w.priority, w.tag)
	}
	p.waiters = slices.Delete(p.waiters, next, next+1)
	return w
}
