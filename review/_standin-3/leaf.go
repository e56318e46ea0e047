package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a leaf began to work on.
type run struct {
	leaf string
	at   time.Time
}

// book records what leaves have run, by attempt.
type book struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newBook() *book { return &book{runs: map[string][]run{}} }

func (b *book) add(attempt string, r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[attempt] = append(b.runs[attempt], r)
}

func (b *book) of(attempt string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs[attempt]...)
}

// leaf is a stand-in of a leaf that answers each request after a fixed time.
type leaf struct {
	id, service, zone, address string
	store                      *store
	book                       *book
	slots                      int
	work                       time.Duration
	born                       int64
	// mu guards the fields below.
	mu       sync.Mutex
	sequence int
	leaving  bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// start listens on a free port of the address and writes the entry. Later beats would not change it, so that the
// stand-in leaves them out.
func (l *leaf) start() error {
	listener, err := net.Listen("tcp", l.address+":0")
	if err != nil {
		return err
	}
	l.address, l.listener, l.conns, l.born = listener.Addr().String(), listener, map[net.Conn]bool{}, time.Now().UnixMilli()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns[c] = true
			l.mu.Unlock()
			go l.serve(c)
		}
	}()
	l.report("ready")
	return nil
}

func (l *leaf) report(state string) {
	l.mu.Lock()
	l.sequence++
	sequence := l.sequence
	l.mu.Unlock()
	l.store.put("servers/"+l.id, map[string]any{"service": l.service, "address": l.address, "zone": l.zone, "version": "v1",
		"slots": l.slots, "state": state, "warmupLeftMs": 0, "sequence": sequence, "born": l.born})
}

// leave removes the entry, as leaves do that never report draining, and returns when the store has accepted that.
// From then on all answers say that the leaf is leaving.
func (l *leaf) leave() time.Time {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.store.remove("servers/" + l.id)
}

// end closes the leaf and all its connections.
func (l *leaf) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *leaf) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

func (l *leaf) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		attempt := request.Header.Get("Attempt-Id")
		status, fields, body := "200 OK", "Response-Stamp: "+l.service+"."+l.id+"."+attempt+"\r\n", "answer to "+attempt
		if request.Header.Get("Target-Instance") != l.id {
			status, fields, body = "421 Misdirected Request", "Instance-Id: "+l.id+"\r\n", ""
		} else {
			l.book.add(attempt, run{leaf: l.id, at: time.Now()})
			time.Sleep(l.work)
		}
		if l.isLeaving() {
			fields += "Server-Leaving: 1\r\n"
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, attempt, len(body), fields, body)
		if err != nil {
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
