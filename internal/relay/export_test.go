package relay

import (
	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/memlimit"
)

// AnswerBytes returns the total size of the answer bodies that are held.
func (s *Services) AnswerBytes() int64 { return s.memory.Used() }

// SetAnswerBytes sets the limit for answer bodies. It must be called before any connection is
// opened.
func (s *Services) SetAnswerBytes(limit int64) {
	s.memory = memlimit.New(limit)
	for _, service := range *s.byName.Load() {
		for id := range service.pools {
			service.pools[id].pool.Close()
			delete(service.pools, id)
		}
	}
	s.Refresh()
}

// PriorityOf returns the priority of a request of a tenant, which may be nil, on a route.
func PriorityOf(t *catalog.Tenant, route *catalog.Route) int {
	r := &request{route: route}
	if t != nil {
		r.caller = &caller{tenant: t}
	}
	return r.priority()
}
