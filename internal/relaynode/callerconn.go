package relaynode

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/redwingshelf/redwingshelf/internal/callerconn"
)

const (
	// defaultRoundTrip is used for the round trip to a caller if the kernel does not
	// report it.
	defaultRoundTrip = 6 * time.Millisecond
	// maxRoundTrip bounds the measured round trip, which can include a retransmission.
	maxRoundTrip = 100 * time.Millisecond
	// writeMargin allows for a late wake-up and the time to write an answer.
	writeMargin = 2 * time.Millisecond
)

// callerConn is a connection of a caller.
type callerConn struct {
	conn net.Conn
	// mu guards the fields below.
	mu        sync.Mutex
	requests  int
	roundTrip time.Duration
}

type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the server.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(callerconn.WithConn(ctx, c), callerConnKey{}, &callerConn{conn: c})
}

// callerMargin returns the time that a request and its answer take between the caller and
// the node. The first request of a connection also had to wait for the connection to open.
func callerMargin(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return defaultRoundTrip + writeMargin
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if c.requests == 1 {
		c.roundTrip = roundTrip(c.conn)
		return 2*c.roundTrip + writeMargin
	}
	return c.roundTrip + writeMargin
}

// roundTrip returns the round-trip time that the kernel has measured.
func roundTrip(c net.Conn) time.Duration {
	tcp, ok := callerconn.Underlying(c).(*net.TCPConn)
	if !ok {
		return defaultRoundTrip
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return defaultRoundTrip
	}
	measured := defaultRoundTrip
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			measured = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return defaultRoundTrip
	}
	return min(measured, maxRoundTrip)
}
