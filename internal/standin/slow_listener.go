package standin

import (
	"net"
	"sync"
	"time"
)

// slowListener makes the first read of each connection take a time, as a leaf
// does that sets up a connection slowly.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delay: l.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}
