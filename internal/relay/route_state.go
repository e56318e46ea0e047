package relay

import (
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/dispatch"
)

// routeStates holds the state of each route.
type routeStates struct {
	start time.Time
	// mu guards byName.
	mu     sync.Mutex
	byName map[string]*routeState
}

// routeState is the state of one route.
type routeState struct {
	objective time.Duration
	// mu guards route.
	mu    sync.Mutex
	route *dispatch.Route
}

func newRouteStates() *routeStates {
	return &routeStates{start: time.Now(), byName: map[string]*routeState{}}
}

func (s *routeStates) now() time.Duration { return time.Since(s.start) }

func (s *routeStates) get(r *catalog.Route) *routeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.byName[r.Name]
	if state == nil {
		route := dispatch.NewRoute(s.now(), r.Objective)
		state = &routeState{objective: route.Objective, route: route}
		s.byName[r.Name] = state
	}
	return state
}

// locked calls f with the state of the route.
func (s *routeState) locked(f func(r *dispatch.Route)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.route)
}

func (s *routeState) meanLatency() (mean time.Duration) {
	s.locked(func(r *dispatch.Route) { mean = r.MeanLatency() })
	return mean
}
