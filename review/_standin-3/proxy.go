package main

import (
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// gate passes the calls of one node to the store. While it is cut, no request of the node gets through, silently;
// answers of the store still reach the node, and what the node still waits for gets through after the cut.
type gate struct {
	address string
	mu      sync.Mutex
	// open is closed while requests get through.
	open chan struct{}
	// watches counts the watches that the node has begun.
	watches int
}

func newGate(address, target string) (*gate, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String(), open: make(chan struct{})}
	close(g.open)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	server := &http.Server{ErrorLog: quietLog(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		open := g.open
		if r.URL.Path == "/redwingshelf/kv-watch" {
			g.watches++
		}
		g.mu.Unlock()
		select {
		case <-open:
			proxy.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})}
	go func() { _ = server.Serve(l) }()
	return g, nil
}

// cut holds all requests that the node sends from now on.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

// heal lets requests through again, those that are held too.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) watched() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watches
}
