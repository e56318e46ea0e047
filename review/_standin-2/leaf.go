package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one request as a leaf sees it.
type arrival struct {
	leaf    *leaf
	conn    net.Conn
	request *http.Request
	body    []byte
	id      string
	path    string
}

// leaf is one server of a service. A start of it is an incarnation with an ID of its own.
type leaf struct {
	service, zone, address string
	slots, queue           int
	work                   time.Duration
	store                  *store
	record                 *record
	// before is called for each request that names this leaf, before the leaf decides on it. It
	// may be nil.
	before func(a *arrival)
	// early is called when the head of a request has been read, and before its body is read. It
	// returns false if the connection has ended. It may be nil.
	early func(id string, c net.Conn, r *http.Request) bool
	// listen opens the listener; nil means net.Listen.
	listen func(address string) (net.Listener, error)
	// crashes reports whether a request crashes the leaf when it begins to run it. It may be nil.
	crashes func(a *arrival) bool

	mu       sync.Mutex
	id       string
	starts   int
	born     time.Time
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	freed    *sync.Cond
	alive    bool
}

const heartbeat = 1200 * time.Millisecond

// begin starts an incarnation of the leaf at its address.
func (l *leaf) begin() {
	listen := l.listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	listener, err := listen(l.address)
	if err != nil {
		unable("leaf: %v", err)
	}
	l.mu.Lock()
	l.address, l.listener = listener.Addr().String(), listener
	l.starts++
	l.sequence, l.born, l.alive = 0, time.Now(), true
	l.id = fmt.Sprintf("i-%s-%s-%d", l.service, strings.ReplaceAll(l.address[strings.LastIndexByte(l.address, ':')+1:], ".", ""), l.starts)
	l.conns = map[net.Conn]bool{}
	l.running, l.waiting = 0, 0
	l.freed = sync.NewCond(&l.mu)
	id := l.id
	l.mu.Unlock()
	l.beat(id)
	go func() {
		for {
			time.Sleep(heartbeat)
			if !l.beat(id) {
				return
			}
		}
	}()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(id, c)
		}
	}()
}

// beat writes the entry of an incarnation; it reports false if that has ended. The store's entry
// changes only if more than its sequence does.
func (l *leaf) beat(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.alive || l.id != id {
		return false
	}
	l.sequence++
	if l.sequence > 1 {
		return true
	}
	l.store.put("servers/"+id, map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots, "state": "ready",
		"warmupLeftMs": 0, "sequence": l.sequence, "born": l.born.UnixMilli(),
	})
	return true
}

// crash ends the process: all connections are reset, and the address refuses new ones until the
// leaf starts again after down, under a new ID. The entry goes three heartbeats after the last one.
func (l *leaf) crash(down time.Duration) {
	l.mu.Lock()
	if !l.alive {
		l.mu.Unlock()
		return
	}
	l.alive = false
	id := l.id
	_ = l.listener.Close()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	l.freed.Broadcast()
	l.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { l.store.remove("servers/" + id) })
	time.AfterFunc(down, l.begin)
}

func (l *leaf) serve(id string, c net.Conn) {
	l.mu.Lock()
	if !l.alive || l.id != id {
		l.mu.Unlock()
		_ = c.Close()
		return
	}
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		read := time.Now()
		if l.early != nil && !l.early(id, c, r) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := &arrival{leaf: l, conn: c, request: r, body: body, id: r.Header.Get("Attempt-Id"), path: r.URL.Path}
		if r.URL.Path == "/health" {
			write(c, 200, http.Header{"Instance-Id": {id}}, nil)
			continue
		}
		if target := r.Header.Get("Target-Instance"); target != "" && target != id {
			write(c, http.StatusMisdirectedRequest, http.Header{"Instance-Id": {id}, "Attempt-Id": {a.id}}, nil)
			continue
		}
		l.record.add(event{Kind: "arrival", ID: a.id, Leaf: id, Service: l.service, Path: a.path})
		if l.before != nil {
			l.before(a)
		}
		ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		if err != nil {
			ms = int(defaultDeadline.Milliseconds())
		}
		deadline := read.Add(time.Duration(ms) * time.Millisecond)
		if !l.enter(id, deadline) {
			l.record.add(event{Kind: "rejected", ID: a.id, Leaf: id, Service: l.service, Path: a.path})
			write(c, http.StatusServiceUnavailable, http.Header{"Attempt-Id": {a.id}, "Not-Executed": {"1"}}, nil)
			continue
		}
		l.record.add(event{Kind: "run", ID: a.id, Leaf: id, Service: l.service, Path: a.path})
		if l.crashes != nil && l.crashes(a) {
			l.record.add(event{Kind: "crash", ID: a.id, Leaf: id, Service: l.service, Path: a.path})
			l.crash(crashTime)
			return
		}
		l.mu.Lock()
		work := l.work
		l.mu.Unlock()
		status := http.StatusOK
		if left := time.Until(deadline); left < work {
			// The leaf stops work at the deadline.
			status, work = http.StatusGatewayTimeout, left
		}
		time.Sleep(work)
		l.leave(id)
		answer := wholeAnswer(id, a.id)
		write(c, status, http.Header{"Attempt-Id": {a.id}, "Response-Stamp": {stamp(id, a.id)}}, answer)
	}
}

// defaultDeadline is the deadline of a request that states none.
const defaultDeadline = 10 * time.Second

// crashTime is how long a leaf is down that a request has crashed.
const crashTime = 2 * time.Second

func stamp(leaf, id string) string { return leaf + "." + id }

// wholeAnswer is the body that a leaf answers a request with.
func wholeAnswer(leaf, id string) []byte {
	line := "answer of " + leaf + " to " + id + "\n"
	return append(bytes.Repeat([]byte(line), 60), "end of the answer\n"...)
}

// setWork changes how long the work of a request takes.
func (l *leaf) setWork(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work = d
}

// startLeaves starts the leaves of a service, in turn in the three zones.
func startLeaves(n int, name string, s *store, r *record, work time.Duration, configure func(i int, l *leaf)) []*leaf {
	var leaves []*leaf
	for i := range n {
		l := &leaf{service: name, zone: zones[i%3], address: "127.0.0.1:0", slots: 2, queue: 8, work: work, store: s, record: r}
		configure(i, l)
		l.begin()
		leaves = append(leaves, l)
	}
	return leaves
}

// enter waits for a slot. It reports false if the leaf is full or has ended, or if the deadline has
// passed in its queue.
func (l *leaf) enter(id string, deadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.slots && l.waiting >= l.queue {
		return false
	}
	l.waiting++
	for l.alive && l.id == id && l.running >= l.slots {
		l.freed.Wait()
	}
	if !l.alive || l.id != id {
		return false
	}
	l.waiting--
	if time.Now().After(deadline) {
		l.freed.Signal()
		return false
	}
	l.running++
	return true
}

func (l *leaf) leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.running--
		l.freed.Signal()
	}
}

// write writes a complete answer.
func write(c net.Conn, status int, h http.Header, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range h {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}
