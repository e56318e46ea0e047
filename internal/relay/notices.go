package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingshelf/redwingshelf/internal/catalog"
	"github.com/redwingshelf/redwingshelf/internal/leafpick"
)

const (
	// departureNewsAge is how long a node tells its peers of a departure after it has learnt
	// of it, and maxDepartureNews the maximum number of departures in a message.
	departureNewsAge = 5 * time.Second
	maxDepartureNews = 64
)

// departures guards leafpick.Departures.
type departures struct {
	mu    sync.Mutex
	known *leafpick.Departures
}

func (d *departures) add(now time.Duration, new leafpick.Departure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Add(now, new)
}

func (d *departures) has(p catalog.Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Has(p)
}

func (d *departures) listed(now time.Duration, p catalog.Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Listed(now, p)
}

func (d *departures) recent(now time.Duration) []leafpick.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Recent(now, departureNewsAge, maxDepartureNews)
}

// markLeaving stops new requests to a leaf and closes its idle connections. It reports false if
// the leaf was known to be leaving.
func (s *Services) markLeaving(d leafpick.Departure) bool {
	if !s.departures.add(s.now(), d) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if service := s.get(d.Service); service != nil && s.view != nil {
		service.update(s.view, s.view.Leaves[d.Service], positionOf(s.view.Shards(), d.Service))
	}
	return true
}

// learnDepartures applies the departures that a peer has sent.
func (h *Handler) learnDepartures(list []leafpick.Departure) {
	for _, d := range list[:min(len(list), maxDepartureNews)] {
		if h.services.markLeaving(d) {
			h.log.Note(leafLeavingEvent, "", zap.String("service", d.Service), zap.String("leaf", d.Process.ID), zap.String("source", "peer"))
		}
	}
}

// recentDepartures returns the departures to tell a peer of.
func (h *Handler) recentDepartures() []leafpick.Departure {
	return h.services.departures.recent(h.services.now())
}

// Log messages about what leaves say of themselves.
const (
	leafLeavingEvent  = "leaf is leaving, no more requests are sent to it"
	leafQuietEvent    = "leaf wants no requests for some time"
	invalidQuietEvent = "invalid Retry-After in the answer of a leaf"
)

// heed applies what the leaf has said about itself in the answer to an attempt.
func (q *query) heed(a *attempt, p *leafPool) {
	if a.head.WrongLeaf {
		return
	}
	fields := []zap.Field{zap.String("service", a.call.service), zap.String("leaf", a.pick.ID)}
	if a.head.Leaving && q.handler.services.markLeaving(leafpick.Departure{Service: a.call.service, Process: p.process}) {
		q.handler.log.Note(leafLeavingEvent, q.request.id, append(fields, zap.String("source", "answer"))...)
	}
	if a.head.InvalidQuiet != "" {
		q.handler.log.Note(invalidQuietEvent, q.request.id, append(fields, zap.String("value", truncate(a.head.InvalidQuiet)))...)
	}
	if a.head.QuietFor > 0 {
		a.serviceState.quiet(p, a.head.QuietFor)
		q.handler.log.Note(leafQuietEvent, q.request.id, append(fields, zap.Duration("quiet_for", a.head.QuietFor))...)
	}
}

// maxLoggedHeader bounds the part of an invalid header that is logged, in bytes.
const maxLoggedHeader = 64

func truncate(s string) string { return s[:min(len(s), maxLoggedHeader)] }

// quiet keeps all requests from a leaf for a time. Requests that wait for a connection to it go
// to other leaves.
func (s *serviceState) quiet(p *leafPool, d time.Duration) {
	s.mu.Lock()
	s.calls.Group.Quiet(p.process, s.owner.now()+d)
	s.mu.Unlock()
	p.pool.Pause(time.Now().Add(d))
}

// quietLeft returns the time until a leaf may be called again if all leaves have asked for
// quiet, and zero otherwise.
func (s *serviceState) quietLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.Group.QuietLeft(s.owner.now())
}
