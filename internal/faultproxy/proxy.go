// Package faultproxy is a TCP proxy that injects faults between two ends, for
// tests on loopback.
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
	// holdInterval is the time between two looks at a fault that holds bytes back.
	holdInterval = 2 * time.Millisecond
)

// Faults are applied to connections from one source, or to all.
type Faults struct {
	// Refuse closes new connections at once.
	Refuse bool
	// StallToServer and SilentDown hold the bytes towards the server and towards the
	// client back, without closing anything, until the fault is lifted. One of
	// them is a one-way cut.
	StallToServer, StallToClient bool
	// Delay is added to each chunk of bytes in both directions.
	Delay time.Duration
	// BytesPerSecond throttles each direction; zero does not.
	BytesPerSecond int
	// TruncateAfter closes a connection after that many bytes towards the
	// client; zero does not.
	TruncateAfter int
}

// Identify reads from a new connection until it knows its source. It returns
// the source's name and the bytes that it has read.
type Identify func(r io.Reader) (source string, read []byte, err error)

// Proxy forwards connections to one server.
type Proxy struct {
	server   string
	identify Identify
	listener net.Listener
	wg       sync.WaitGroup
	// mu guards the fields below.
	mu       sync.Mutex
	all      Faults
	bySource map[string]Faults
	pairs    map[*pair]struct{}
	closed   bool
	accepted int
}

// pair is one proxied connection.
type pair struct {
	proxy  *Proxy
	source string
	client net.Conn
	server net.Conn
	// silent is set for a connection that stays silent for good.
	silent bool
}

// New starts a proxy to a server on a loopback port. identify may be nil, in
// which case every source is "".
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
		pairs:    map[*pair]struct{}{},
	}
	p.wg.Go(p.serve)
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults of every connection.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = f
}

// SetSourceFaults replaces the faults of the connections from one source.
func (p *Proxy) SetSourceFaults(source string, f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bySource[source] = f
}

// CloseConnections closes the open connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.close()
	}
}

// Blackhole makes the connections that are open now silent for good, while new
// ones work.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
}

// Accepted returns the number of connections so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close ends the proxy and its connections.
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
	c := &pair{proxy: p, source: source, client: client, server: server}
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

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.accepted++
	p.pairs[c] = struct{}{}
	return true
}

func (p *Proxy) faults(source string) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, found := p.bySource[source]; found {
		return f
	}
	return p.all
}

// verdict says what happens to bytes in one direction.
type verdict uint8

const (
	pass verdict = iota
	hold
	drop
)

func (c *pair) verdict(up bool) verdict {
	f := c.proxy.faults(c.source)
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	_, open := c.proxy.pairs[c]
	switch {
	case c.silent || !open || c.proxy.closed:
		return drop
	case up && f.StallToServer || !up && f.StallToClient:
		return hold
	default:
		return pass
	}
}

func (c *pair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (c *pair) copy(to net.Conn, from io.Reader, up bool) {
	defer func() {
		c.proxy.mu.Lock()
		delete(c.proxy.pairs, c)
		c.proxy.mu.Unlock()
		c.close()
	}()
	sent := 0
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && c.forward(to, buffer[:n], up, &sent) != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

var errTruncated = errors.New("connection is truncated")

func (c *pair) forward(to net.Conn, data []byte, up bool, sent *int) error {
	f := c.proxy.faults(c.source)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.BytesPerSecond > 0 {
		time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(f.BytesPerSecond))
	}
	v := c.verdict(up)
	for v == hold {
		time.Sleep(holdInterval)
		v = c.verdict(up)
	}
	if v == drop {
		return nil
	}
	if !up && f.TruncateAfter > 0 && *sent+len(data) > f.TruncateAfter {
		_, _ = to.Write(data[:max(f.TruncateAfter-*sent, 0)])
		return errTruncated
	}
	*sent += len(data)
	_, err := to.Write(data)
	return err
}
