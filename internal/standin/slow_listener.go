package standin

import (
	"net"
	"sync"
	"time"
)

// slowListener delays the first read from each connection, to simulate a leaf that is
// slow to set up connections.
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
