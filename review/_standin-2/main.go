// Command standin-2 plays the cases of the second review: it runs the processes of the system with
// the commands of the deploy file, and stands in for the platform's store, leaves and clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// event is one line of the record.
type event struct {
	Kind    string
	ID      string
	Leaf    string
	Service string
	Path    string
	Machine string
	Status  int
	Note    string
	At      time.Duration
}

// record holds what was sent, answered and run.
type record struct {
	start  time.Time
	mu     sync.Mutex
	events []event
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

func (r *record) count(kind string) int {
	n := 0
	for _, e := range r.all() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (r *record) write(file string) {
	f, err := os.Create(file)
	if err != nil {
		unable("%v", err)
	}
	w := bufio.NewWriter(f)
	for _, e := range r.all() {
		fmt.Fprintf(w, "%9.3f %-9s", e.At.Seconds(), e.Kind)
		for _, v := range []string{e.ID, e.Path, e.Service, e.Leaf, e.Machine} {
			if v != "" {
				fmt.Fprintf(w, " %s", v)
			}
		}
		if e.Status != 0 {
			fmt.Fprintf(w, " %d", e.Status)
		}
		if e.Note != "" {
			fmt.Fprintf(w, " %s", e.Note)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		unable("%v", err)
	}
	_ = f.Close()
}

var (
	exitMu sync.Mutex
	onExit []func()
)

func atExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	onExit = append(onExit, f)
}

func finish(code int) {
	exitMu.Lock()
	for _, f := range onExit {
		f()
	}
	os.Exit(code)
}

// unable ends a case that can't run.
func unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	finish(2)
}

// client is a client with one connection that it keeps.
type client struct {
	address string
	record  *record
	machine string
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a client gets; status is zero if the connection ended without a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends one attempt and waits for its answer.
func (c *client) send(method, host, path, id string, deadline time.Duration, body []byte) answer {
	c.record.add(event{Kind: "sent", ID: id, Path: path, Machine: c.machine})
	a, note := c.exchange(method, host, path, id, deadline, body)
	c.record.add(event{Kind: "answered", ID: id, Path: path, Machine: c.machine, Status: a.status, Note: note})
	return a
}

func (c *client) exchange(method, host, path, id string, deadline time.Duration, body []byte) (a answer, note string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{}, "no connection: " + err.Error()
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		c.close()
		return answer{}, err.Error()
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{}, err.Error()
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		c.close()
		return answer{}, err.Error()
	}
	if r.Close {
		c.close()
	}
	return answer{r.StatusCode, r.Header, got}, r.Header.Get("Response-Stamp")
}

// close closes the connection, if there is one.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// host is the host of all routes.
const host = "leno12.example"

// trouble is false for the run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 {
		unable("usage: standin-2 CASE RECORD")
	}
	cases := map[string]func(*record) (string, bool){
		"early": caseEarly, "extra": caseExtra, "gone": caseGone, "poison": casePoison,
	}
	run := cases[os.Args[1]]
	if run == nil {
		unable("no case %q", os.Args[1])
	}
	rec := newRecord()
	verdict, broken := run(rec)
	rec.add(event{Kind: "verdict", Note: verdict})
	rec.write(os.Args[2])
	fmt.Println(verdict)
	if broken {
		finish(1)
	}
	finish(0)
}
