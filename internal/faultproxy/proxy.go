// Package faultproxy provides a TCP proxy that injects faults between a client and a
// server, for tests on loopback.
package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize = 16 << 10
	// holdPollInterval is the interval at which a connection whose bytes are held back
	// checks whether the fault has been lifted.
	holdPollInterval = 2 * time.Millisecond
)

// Faults describes the faults of the connections from one source, or from all.
type Faults struct {
	// Refuse closes new connections immediately.
	Refuse bool
	// StallToServer and StallToClient hold back the bytes to the server and to the client,
	// without closing the connection, until the fault is lifted. Either of them alone
	// is a one-way partition.
	StallToServer, StallToClient bool
	// Delay is added to each chunk of bytes in both directions.
	Delay time.Duration
	// BytesPerSecond limits the rate in each direction; zero sets no limit.
	BytesPerSecond int
	// TruncateAfter closes a connection after that many bytes to the client; zero
	// disables it.
	TruncateAfter int
}

// Identify reads from a new connection until it can determine the source. It returns
// the name of the source and the bytes that it has read.
type Identify func(r io.Reader) (source string, read []byte, err error)

// Proxy forwards connections to one server.
type Proxy struct {
	server   string
	identify Identify
	listener net.Listener
	wg       sync.WaitGroup
	// mu guards the fields below.
	mu            sync.Mutex
	defaultFaults Faults
	bySource      map[string]Faults
	conns         map[*proxiedConn]struct{}
	closed        bool
	accepted      int
}

// proxiedConn is a connection from a client together with the one to the server.
type proxiedConn struct {
	proxy  *Proxy
	source string
	client net.Conn
	server net.Conn
	// blackholed is set if all bytes are dropped until the connection ends.
	blackholed bool
}

// New starts a proxy on a loopback port that forwards to server. identify may be nil,
// in which case every source is "".
func New(server string, identify Identify) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the proxy to %s: %w", server, err)
	}
	p := &Proxy{
		server:   server,
		identify: identify,
		listener: listener,
		bySource: map[string]Faults{},
		conns:    map[*proxiedConn]struct{}{},
	}
	p.wg.Go(p.serve)
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults of the connections whose source has no faults of its
// own.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.defaultFaults = f
}

// SetSourceFaults replaces the faults of the connections from one source. They take
// precedence over those of SetFaults.
func (p *Proxy) SetSourceFaults(source string, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bySource[source] = f
}

// CloseConnections closes all open connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// Blackhole drops all further bytes of the connections that are open now. New
// connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = true
	}
}

// Accepted returns the number of connections forwarded to the server so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.CloseConnections()
	p.wg.Wait()
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.open(client) })
	}
}

func (p *Proxy) open(client net.Conn) {
	source, read, err := p.source(client)
	if err != nil || p.faults(source).Refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxiedConn{proxy: p, source: source, client: client, server: server}
	if !p.add(c) {
		c.close()
		return
	}
	p.wg.Go(func() { c.copy(server, io.MultiReader(bytes.NewReader(read), client), true) })
	p.wg.Go(func() { c.copy(client, server, false) })
}

func (p *Proxy) source(client net.Conn) (string, []byte, error) {
	if p.identify == nil {
		return "", nil, nil
	}
	return p.identify(client)
}

func (p *Proxy) add(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.accepted++
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) faults(source string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, found := p.bySource[source]; found {
		return f
	}
	return p.defaultFaults
}

// action is what happens to bytes in one direction.
type action uint8

const (
	pass action = iota
	hold
	drop
)

func (c *proxiedConn) action(toServer bool) action {
	f := c.proxy.faults(c.source)
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	_, open := c.proxy.conns[c]
	switch {
	case c.blackholed || !open || c.proxy.closed:
		return drop
	case toServer && f.StallToServer || !toServer && f.StallToClient:
		return hold
	default:
		return pass
	}
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (c *proxiedConn) copy(to net.Conn, from io.Reader, toServer bool) {
	defer func() {
		c.proxy.mu.Lock()
		delete(c.proxy.conns, c)
		c.proxy.mu.Unlock()
		c.close()
	}()
	sent := 0
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && c.forward(to, buffer[:n], toServer, &sent) != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

var errTruncated = errors.New("connection truncated by fault")

func (c *proxiedConn) forward(to net.Conn, data []byte, toServer bool, sent *int) error {
	f := c.proxy.faults(c.source)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.BytesPerSecond > 0 {
		time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(f.BytesPerSecond))
	}
	v := c.action(toServer)
	for v == hold {
		time.Sleep(holdPollInterval)
		v = c.action(toServer)
	}
	if v == drop {
		return nil
	}
	if !toServer && f.TruncateAfter > 0 && *sent+len(data) > f.TruncateAfter {
		_, _ = to.Write(data[:max(f.TruncateAfter-*sent, 0)])
		return errTruncated
	}
	*sent += len(data)
	_, err := to.Write(data)
	return err
}
