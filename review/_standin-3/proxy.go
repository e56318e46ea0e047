package main

import (
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// gate passes the calls of one node to the store. While it is cut, the address refuses connections and those
// that were open are reset.
type gate struct {
	address, target string
	mu              sync.Mutex
	server          *http.Server
	listener        net.Listener
	conns           map[net.Conn]bool
	// watches counts the watches that the node has begun.
	watches int
}

func newGate(address, target string) (*gate, error) {
	g := &gate{address: address, target: target}
	return g, g.open()
}

func (g *gate) open() error {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.address, g.listener, g.conns = l.Addr().String(), l, map[net.Conn]bool{}
	conns := g.conns
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: g.target})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	g.server = &http.Server{
		ErrorLog: quietLog(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/redwingshelf/kv-watch" {
				g.mu.Lock()
				g.watches++
				g.mu.Unlock()
			}
			proxy.ServeHTTP(w, r)
		}),
		ConnState: func(c net.Conn, s http.ConnState) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if s == http.StateNew {
				conns[c] = true
			} else if s == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	go func(s *http.Server) { _ = s.Serve(l) }(g.server)
	return nil
}

// cut refuses the node.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for c := range g.conns {
		reset(c)
	}
	go func(s *http.Server) { _ = s.Close() }(g.server)
}

// heal lets the node pass again. The port is taken again at once.
func (g *gate) heal() error {
	var err error
	for range 50 {
		if err = g.open(); err == nil {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

func (g *gate) watched() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watches
}
