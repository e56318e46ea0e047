package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// listenNarrow listens with the segments and the small windows of a link between machines, so that a
// leaf that does not read blocks the writer.
func listenNarrow(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return lc.Listen(context.Background(), "tcp", address)
}

// caseEarly: leaves answer some long requests before they have read them, without a length. With the
// disruption, these answers are reset on the way.
func caseEarly(r *record) (string, bool) {
	const (
		share, spoiled = 0.5, 0.05
		window, pause  = 5 * time.Second, time.Second
		windows        = 15
		clients        = 24
	)
	s := newStore()
	s.put("op/config", config{Version: 7, Limits: limits(), Services: []service{newService("depot", 96)}, Routes: []route{
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "idempotent", TimeoutMS: 2500, TargetLatencyMS: 250, Priority: 2, MaxAttempts: 2, Service: "depot"},
	}})
	var disturbed atomic.Bool
	startLeaves(14, "depot", s, r, 60*time.Millisecond, func(i int, l *leaf) {
		l.listen = listenNarrow
		if i >= 14*share {
			return
		}
		l.early = func(id string, c net.Conn, q *http.Request) bool {
			if !disturbed.Load() || rand.Float64() >= spoiled {
				return true
			}
			attempt := q.Header.Get("Attempt-Id")
			r.add(event{Kind: "run", ID: attempt, Leaf: id, Path: q.URL.Path, Note: "answered early, without a length"})
			body := wholeAnswer(id, attempt)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: "+attempt+"\r\nResponse-Stamp: "+stamp(id, attempt)+"\r\n\r\n")
			if trouble {
				_, _ = c.Write(body[:len(body)/2])
				time.Sleep(30 * time.Millisecond)
				r.add(event{Kind: "reset", ID: attempt, Leaf: id, Note: "in the middle of this answer"})
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			_, _ = c.Write(body)
			_, _ = io.Copy(io.Discard, q.Body)
			return false
		}
	})
	machines := startMachines(6, s)
	var wg sync.WaitGroup
	done := make(chan struct{})
	var mu sync.Mutex
	wrong, served := 0, 0
	long := bytes.Repeat([]byte("pane "), 240<<10/5)
	for i := range clients {
		wg.Go(func() {
			m := machines[i%len(machines)]
			c := &client{address: m.front(), record: r, machine: m.name}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(40+rand.IntN(60)) * time.Millisecond):
				}
				id := fmt.Sprintf("a-%02d-%04d", i, n)
				a := c.send("POST", host, "/book/x", id, 2500*time.Millisecond, long)
				if a.status != 200 {
					continue
				}
				leaf := strings.TrimSuffix(a.header.Get("Response-Stamp"), "."+id)
				whole := wholeAnswer(leaf, id)
				mu.Lock()
				served++
				if !bytes.Equal(a.body, whole) {
					wrong++
					r.add(event{Kind: "wrong", ID: id, Leaf: leaf, Note: fmt.Sprintf("a success with %d of the %d bytes of the leaf's body", len(a.body), len(whole))})
				}
				mu.Unlock()
			}
		})
	}
	for range windows {
		disturbed.Store(true)
		time.Sleep(window)
		disturbed.Store(false)
		time.Sleep(pause)
	}
	close(done)
	wg.Wait()
	resets := r.count("reset")
	return fmt.Sprintf("%d answers reset on the way; %d successes, %d of them with a part of the leaf's body", resets, served, wrong), wrong > 0
}
