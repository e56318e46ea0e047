package peer

import (
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// pingInterval is the time between two checks of the links.
	pingInterval = 250 * time.Millisecond
	// pongTimeout is the time without a frame after a ping at which a link counts as
	// unresponsive and is closed, so that a new one is dialled.
	pongTimeout = time.Second
)

// liveness is the state used to detect a link that is open but delivers no frames from
// the other end.
type liveness struct {
	// sent is set by calls and by one-way messages on an open link, and received by
	// every frame received.
	sent     atomic.Bool
	received atomic.Bool
	// pingedAt is the time of the unanswered ping, or zero if there is none. Only the
	// goroutine that checks links uses it.
	pingedAt time.Time
	// lastCheck is the time of the last check. Once the link is in the pool, only the
	// goroutine that checks links uses it.
	lastCheck time.Time
}

// closeUnresponsive pings the other ends of the links that are in use, and closes the links
// that deliver no answer. One goroutine checks all links, so that idle links in a large fleet
// need no timers.
func (p *Pool) closeUnresponsive() {
	now := time.Now()
	for _, l := range p.links() {
		if l.isUnresponsive(now) {
			l.close()
		}
	}
}

// links returns the live links, except those of addresses that are being dialled.
func (p *Pool) links() []*clientLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*clientLink, 0, len(p.peers))
	for _, r := range p.peers {
		if l := r.current(); l != nil {
			links = append(links, l)
		}
	}
	return links
}

// isUnresponsive reports whether a ping has been unanswered for pongTimeout, and sends a
// ping if none is pending and the link has been used. After a pause of this process the
// timeout starts again.
func (l *clientLink) isUnresponsive(now time.Time) bool {
	s := &l.liveness
	paused := now.Sub(s.lastCheck) > 2*pingInterval
	s.lastCheck = now
	if s.received.Swap(false) {
		s.pingedAt = time.Time{}
	}
	switch {
	case s.pingedAt.IsZero() && s.sent.Swap(false):
		s.pingedAt = now
		l.offer(wire.Frame{Type: wire.TypePing})
		return false
	case s.pingedAt.IsZero():
		return false
	case paused:
		s.pingedAt = now
		return false
	default:
		return now.Sub(s.pingedAt) >= pongTimeout
	}
}
