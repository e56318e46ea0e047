package relaynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingshelf/redwingshelf/internal/periodic"
)

// idleConns closes callers' connections that have been idle for longer than the timeout of
// the table in force. Unlike the idle timeout of http.Server, this timeout can change while
// connections are open.
type idleConns struct {
	timeout func() time.Duration
	// mu guards idleSince.
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns(timeout func() time.Duration) *idleConns {
	return &idleConns{timeout: timeout, idleSince: map[net.Conn]time.Time{}}
}

// track is the ConnState hook of the server.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

func (i *idleConns) run(ctx context.Context) {
	periodic.Run(ctx, idleSweepInterval, func() { i.sweep(time.Now()) })
}

func (i *idleConns) sweep(now time.Time) {
	timeout := i.timeout()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, idleSince := range i.idleSince {
		if now.Sub(idleSince) > timeout {
			delete(i.idleSince, c)
			_ = c.Close()
		}
	}
}
