package demo

import (
	"sync"
	"time"
)

// takenOutGrace is the time after which a data centre that is taken out must
// receive no new work.
const takenOutGrace = 3 * time.Second

// outWatch counts the requests that data centres receive although they have
// been taken out for longer than takenOutGrace.
type outWatch struct {
	// mu guards the fields below.
	mu     sync.Mutex
	late   int
	begins map[string]*time.Timer
	// before holds the requests that a watched data centre had received when the
	// grace ended.
	before map[string]int
}

func newOutWatch() *outWatch {
	return &outWatch{begins: map[string]*time.Timer{}, before: map[string]int{}}
}

// out begins to watch a data centre. count returns the requests that it has
// received so far.
func (w *outWatch) out(centre string, count func() int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begins[centre] != nil {
		return
	}
	w.begins[centre] = time.AfterFunc(takenOutGrace, func() {
		received := count()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.begins[centre] != nil {
			w.before[centre] = received
		}
	})
}

// in ends the watch of a data centre.
func (w *outWatch) in(centre string, count func() int) {
	received := count()
	w.mu.Lock()
	defer w.mu.Unlock()
	begin := w.begins[centre]
	if begin == nil {
		return
	}
	begin.Stop()
	if before, watched := w.before[centre]; watched {
		w.late += received - before
	}
	delete(w.begins, centre)
	delete(w.before, centre)
}

// centres returns the data centres that are watched.
func (w *outWatch) centres() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var centres []string
	for centre := range w.begins {
		centres = append(centres, centre)
	}
	return centres
}

func (w *outWatch) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// LateRequests ends every watch and returns the number of requests that data
// centres received although they had been taken out for longer than 3 s.
func (s *Site) LateRequests() int {
	for _, centre := range s.outs.centres() {
		s.outs.in(centre, s.requestsIn(centre))
	}
	return s.outs.total()
}

// requestsIn returns a function that counts the requests of a data centre.
func (s *Site) requestsIn(centre string) func() int {
	return func() int {
		received := 0
		for _, l := range s.leaves {
			if l.dataCentre == centre {
				received += l.Counts().Requests
			}
		}
		return received
	}
}
