package peer

import (
	"sync/atomic"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/wire"
)

const (
	// pingInterval is the time between two looks at a link in use.
	pingInterval = 250 * time.Millisecond
	// silentAfter is the time without a frame after a ping at which a link is
	// taken for silent and closed, so that a new one is dialled.
	silentAfter = time.Second
)

// silence finds links that carry nothing back although they are open.
type silence struct {
	// sent is set by every frame but pings, and heard by every frame received.
	sent  atomic.Bool
	heard atomic.Bool
	// pingedAt is the time of the ping that has not been answered, zero for none.
	// Only the goroutine that looks at links uses it.
	pingedAt time.Time
	// lastLook is the time of the last look. Only the goroutine that looks at links uses
	// it once the link is in the pool.
	lastLook time.Time
}

// closeSilent pings the other ends of the links that are in use and closes those on which
// nothing comes back. One goroutine looks at all links, so that those of a large fleet cost
// no timers while they are idle.
func (p *Pool) closeSilent() {
	now := time.Now()
	for _, l := range p.links() {
		if l.isSilent(now) {
			l.close()
		}
	}
}

// links returns the live links but those of addresses that are being dialled.
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

// isSilent reports whether a ping has gone unanswered for too long. A pause of
// this process does not count against the link.
func (l *clientLink) isSilent(now time.Time) bool {
	s := &l.silence
	paused := now.Sub(s.lastLook) > 2*pingInterval
	s.lastLook = now
	if s.heard.Swap(false) {
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
		return now.Sub(s.pingedAt) >= silentAfter
	}
}
